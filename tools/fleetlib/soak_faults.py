"""What tools/soak does to a registered fleet: series of faults, each drawn whole before it begins.

A series is a thread with random numbers of its own, so that a seed draws the same faults in each series, however long
they take. Each fault is healed by its end, and ends early when the soak is over.
"""

import random
import signal
import threading
import time
from contextlib import ExitStack

from fleetlib.registered_node import END_SECONDS

WARM_UP_SECONDS = 4
WIPE_SETTLES_SECONDS = 6
START_SECONDS = 2
ENVIRONMENT, PROMOTION = "environment", "promotion"


def both_ways(ones, others):
    return [pair for one in ones for other in others if one != other for pair in ((one, other), (other, one))]


def draw_seconds(numbers):
    """Of a cut, a hold or a freeze: short, as long as an election takes, or as long as voters are kept."""
    shortest, longest = numbers.choice([(0.3, 2), (2, 8), (6, 30)])
    return numbers.uniform(shortest, longest)


class Series(threading.Thread):
    """Faults one after another; a subclass draws them."""

    name_of_series = ""
    is_certain = True  # some fault of it comes about in each run that lasts long enough
    shortest_pause, longest_pause = 0.5, 3.0

    def __init__(self, soak):
        super().__init__(name=self.name_of_series, daemon=True)
        self.soak = soak
        self.numbers = random.Random(f"{soak.seed}/{self.name_of_series}")
        self.pace = self.numbers.choice([0.5, 1, 3])  # of its pauses: some runs are quiet in one series and not in another
        self.came_about = 0

    def run(self):
        self.soak.pause(WARM_UP_SECONDS)
        while not self.soak.is_over():
            name, fault = self.draw()
            pause = self.pace * self.numbers.uniform(self.shortest_pause, self.longest_pause)
            try:
                done = fault()
            except Exception as error:  # the others go on; the run fails
                self.soak.note_problem(f"{name}: {error!r}")
                done = True
            possible = done is None or done
            self.came_about += bool(possible)
            self.soak.count(name if possible else f"{name} (not possible)")
            self.soak.pause(pause)

    def draw(self):
        """(name, function that breaks and heals); the function returns False when it could not be done."""
        raise NotImplementedError

    def beside(self, part, *words):
        """A started thread for a part of a fault."""
        def run():
            try:
                part(*words)
            except Exception as error:  # the rest goes on; the run fails
                self.soak.note_problem(repr(error))

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        return thread

    # Parts of faults

    def freeze(self, node, seconds):
        with node.reserved() as free:
            if not free:
                return False
            self.soak.say(f"SIGSTOP {node.name} for {seconds:.1f} s")
            node.process.send(signal.SIGSTOP)
            self.soak.pause(seconds)
            node.process.send(signal.SIGCONT)
        return True

    def kill(self, node, seconds):
        with node.reserved() as free:
            if not free:
                return False
            self.soak.say(f"SIGKILL {node.name} for {seconds:.1f} s")
            node.kill()
            self.soak.pause(seconds)
            node.start()
        return True

    def terminate(self, node, seconds=0.0):
        with node.reserved() as free:
            if not free:
                return False
            self.soak.say(f"SIGTERM {node.name}")
            process = node.process.current()
            if process:
                process.send(signal.SIGTERM)
                self.await_end(node, process)
            self.soak.pause(seconds)
            node.start()
        return True

    def await_end(self, node, process):
        """After its SIGTERM; another series may start the node again meanwhile."""
        limit = self.soak.end_limit
        if not process.wait_until_ended(limit):
            raise RuntimeError(f"{node.name} did not end within {limit} s of SIGTERM")

    def wipe(self, node, seconds):
        """Only while the fleet has no more disks lost than it tolerates."""
        with node.reserved() as free:
            if not free or not self.soak.disks.take(node):
                return False
            self.soak.say(f"SIGKILL {node.name} for {seconds:.1f} s, its disk is lost")
            node.lose_disk()
            self.soak.pause(seconds)
            node.start()
        return True

    def reread_settings(self):
        self.soak.say("SIGHUP all")
        self.reread_settings_of(self.soak.controls + self.soak.proxies)

    def reread_settings_of(self, nodes):
        """Of all but those that have not got as far as to take the signal."""
        for node in nodes:
            if time.monotonic() - node.started_at > START_SECONDS:
                node.process.send(signal.SIGHUP)


class ProcessFaults(Series):
    """One process at a time, unless all."""

    name_of_series = "processes"

    def draw(self):
        numbers, soak = self.numbers, self.soak
        proxy, control = numbers.choice(soak.proxies), numbers.choice(soak.founders)
        some, all_proxies = numbers.sample(soak.proxies, max(1, len(soak.proxies) // 2)), list(soak.proxies)
        numbers.shuffle(all_proxies)
        short, power, moment = numbers.uniform(0.1, 4), numbers.uniform(0.5, 2.5), numbers.uniform(0.1, 1)
        return numbers.choice([
            ("kill proxy", lambda: self.kill(proxy, short)),
            ("freeze proxy", lambda: self.freeze(proxy, short)),
            ("terminate proxy", lambda: self.terminate(proxy)),
            ("kill control", lambda: self.kill(control, short)),
            ("freeze control", lambda: self.freeze(control, short)),
            ("terminate control", lambda: self.terminate(control)),
            ("wipe control", lambda: self.wipe_alone(control, short / 2)),
            ("kill all", lambda: self.kill_all(moment)),
            ("lose power of half", lambda: self.lose_power(some, power)),
            ("lose power of all", lambda: self.lose_power(soak.controls + soak.proxies, power)),
            ("terminate in turn", lambda: self.terminate_in_turn(all_proxies))])

    def wipe_alone(self, node, seconds):
        done = self.wipe(node, seconds)
        self.soak.pause(WIPE_SETTLES_SECONDS)
        return done

    def kill_all(self, seconds):
        nodes = self.soak.controls + self.soak.proxies
        self.soak.say("SIGKILL all")
        self.kill_together(nodes)
        self.soak.pause(seconds)
        self.start_all(nodes)

    def lose_power(self, nodes, seconds):
        """The nodes fall silent without closing a connection, then lose all that they held in memory."""
        self.soak.say(f"power lost: {', '.join(node.name for node in nodes)}")
        for node in nodes:
            node.process.send(signal.SIGSTOP)
        self.soak.links.lose_power_of(node.name for node in nodes)
        self.soak.pause(seconds)
        self.kill_together(nodes)
        self.start_all(nodes)

    def kill_together(self, nodes):
        processes = [process for process in (node.process.current() for node in nodes) if process]
        for process in processes:
            process.send(signal.SIGKILL)
        for process in processes:
            process.wait_until_ended(END_SECONDS)

    def start_all(self, nodes):
        for node in nodes:
            node.start()

    def terminate_in_turn(self, nodes):
        """The next proxy is stopped as soon as the one before has started again."""
        for node in nodes:
            if self.soak.is_over():
                break
            self.terminate(node)


class ControlFaults(Series):
    """Control nodes frozen, killed, wiped, terminated and added, also two at a time, for as long as elections and the
    replacement of voters take."""

    name_of_series = "controls"
    longest_pause = 6.0

    def draw(self):
        numbers, soak = self.numbers, self.soak
        first, second = numbers.sample(soak.founders, 2)
        leader = numbers.random() < 0.6
        seconds, other_seconds, gap = draw_seconds(numbers), draw_seconds(numbers), numbers.uniform(0, 3)
        long = numbers.uniform(6, 30)
        kind = numbers.choice([self.freeze, self.kill, self.wipe])
        other_kind = numbers.choice([self.freeze, self.kill])
        return numbers.choice([
            ("freeze control for long", lambda: self.freeze(soak.leader_or(first) if leader else first, long)),
            ("kill control for long", lambda: self.kill(soak.leader_or(first) if leader else first, long)),
            ("two controls at once", lambda: self.two(first, second, leader, (kind, seconds), (other_kind, other_seconds), gap)),
            ("two controls at once", lambda: self.two(first, second, leader, (kind, seconds), (other_kind, other_seconds), gap)),
            ("wipe control", lambda: self.wipe(first, seconds)),
            ("terminate controls in turn", lambda: self.in_turn(gap)),
            ("reread settings", self.reread_settings),
            ("another control node joins", soak.add_control)])

    def two(self, first, second, leader, fault, other_fault, gap):
        first = self.soak.leader_or(first) if leader else first
        if first == second:
            second = next(node for node in self.soak.controls if node != first)
        kind, seconds = fault
        other_kind, other_seconds = other_fault
        thread = self.beside(kind, first, seconds)
        self.soak.pause(gap)
        done = other_kind(second, other_seconds)
        thread.join()
        return done

    def in_turn(self, gap):
        for node in list(self.soak.controls):
            if self.soak.is_over():
                break
            self.terminate(node, gap / 4)


class SignalFaults(Series):
    """Signals soon after one another: settings reread again and again, also while a process ends; several processes
    terminated at once, or one again as soon as it runs; SIGKILL when a process's time to end is over."""

    name_of_series = "signals"

    def draw(self):
        numbers, soak = self.numbers, self.soak
        gaps = [numbers.uniform(0.02, 1.5) for _ in range(numbers.randint(2, 8))]
        proxies = numbers.sample(soak.proxies, max(1, len(soak.proxies) // 2))
        controls = numbers.sample(soak.founders, 2)
        node = numbers.choice([*soak.proxies, *soak.founders])
        grace = numbers.uniform(0.2, 6)
        return numbers.choice([
            ("SIGHUP in series", lambda: self.reread_again(gaps)),
            ("SIGHUP around SIGTERM", lambda: self.terminate_while_rereading(node, gaps)),
            ("terminate proxies at once", lambda: self.terminate_together(proxies)),
            ("terminate controls at once", lambda: self.terminate_together(controls)),
            ("SIGTERM in series", lambda: self.terminate_again(node, gaps)),
            ("SIGTERM twice", lambda: self.terminate_hard(node, signal.SIGTERM, grace / 3)),
            ("SIGTERM, then SIGKILL", lambda: self.terminate_hard(node, signal.SIGKILL, grace)),
            ("another control node joins", soak.add_control)])

    def reread_again(self, gaps):
        for gap in gaps:
            self.reread_settings()
            self.soak.pause(gap)

    def terminate_while_rereading(self, node, gaps):
        """All are told to reread before, while it ends and when it has."""
        thread = None
        for gap in gaps:
            self.reread_settings()
            thread = thread or self.beside(self.terminate, node)
            self.soak.pause(gap)
        thread.join()

    def terminate_together(self, nodes):
        for thread in [self.beside(self.terminate, node) for node in nodes]:
            thread.join()

    def terminate_again(self, node, gaps):
        """It is terminated again soon after it has started, or while it starts."""
        done = False
        for gap in gaps:
            if self.soak.is_over():
                break
            done = self.terminate(node) or done
            self.soak.pause(gap)
        return done

    def terminate_hard(self, node, last_signal, seconds):
        """It is left this time to end."""
        with node.reserved() as free:
            if not free:
                return False
            self.soak.say(f"SIGTERM {node.name}, {signal.Signals(last_signal).name} after {seconds:.1f} s")
            process = node.process.current()
            if process:
                process.send(signal.SIGTERM)
                self.soak.pause_until(lambda: process.state() is None, seconds)
                process.send(last_signal)
                self.await_end(node, process)
            node.start()
        return True


class LinkFaults(Series):
    """Links of one or two control nodes or of a zone, cut in silence, one way or both."""

    name_of_series = "links"
    shortest_pause, longest_pause = 1.0, 6.0

    def draw(self):
        numbers, soak = self.numbers, self.soak
        chosen = numbers.sample(soak.founders, numbers.choice([1, 1, 2]))
        leader = numbers.random() < 0.6
        seconds = draw_seconds(numbers)
        kinds = [kind for kind, share in (("peers", 0.8), ("promotion", 0.5), ("backends", 0.4), ("proxies", 0.4),
                                          (ENVIRONMENT, 0.2)) if numbers.random() < share] or ["peers"]
        direction = numbers.choice(["both", "both", "both", "from", "to"])
        zone = numbers.choice(soak.zones())
        return numbers.choice([
            ("cut control", lambda: self.cut(chosen, leader, kinds, direction, seconds)),
            ("cut control", lambda: self.cut(chosen, leader, kinds, direction, seconds)),
            ("cut zone", lambda: self.cut_zone(zone, seconds))])

    def cut(self, chosen, leader, kinds, direction, seconds):
        if leader:
            chosen = list({node.name: node for node in [self.soak.leader_or(chosen[0]), *chosen[1:]]}.values())
        names = [node.name for node in chosen]
        others = [name for kind in kinds for name in self.soak.names_of(kind) if name not in names]
        pairs = both_ways(names, others)
        if direction == "from":
            pairs = [(one, other) for one, other in pairs if one in names]
        if direction == "to":
            pairs = [(one, other) for one, other in pairs if other in names]
        self.soak.say(f"cut ({direction}) {', '.join(names)} - {', '.join(kinds)} for {seconds:.1f} s")
        with self.soak.links.cut(pairs):
            self.soak.pause(seconds)

    def cut_zone(self, zone, seconds):
        self.soak.say(f"cut zone {zone} for {seconds:.1f} s")
        with self.soak.links.cut(self.soak.pairs_of_zone(zone)):
            self.soak.pause(seconds)


class OrderFaults(Series):
    """A promotion call is held back on its way while its sender is frozen, cut off, killed or terminated, and let through
    later: after a time, or when a successor has decided otherwise."""

    name_of_series = "orders"
    is_certain = False
    longest_pause = 2.0

    def draw(self):
        numbers = self.numbers
        plan = {
            "sender": numbers.choice(["goes on", "is cut from peers", "is cut with its zone", "is cut with its zone",
                                      "is frozen", "is frozen", "is killed", "is terminated", "loses the answer"]),
            "seconds": draw_seconds(numbers),
            "until": numbers.choice(["time", "another decided", "backend is behind", "backend is behind", "backend is behind"]),
            "after": numbers.uniform(0.1, 2),
            "heals_after": numbers.uniform(0, 3),
            "backend is cut": numbers.random() < 0.6,
            "proxy frozen": numbers.choice(self.soak.proxies) if numbers.random() < 0.5 else None,
            "second": numbers.choice([None, None, self.freeze, self.kill, self.wipe]),
            "second_seconds": draw_seconds(numbers),
            "second_choice": numbers.random(),
        }
        return f"order held, sender {plan['sender']}", lambda: self.hold_one(plan)

    def hold_one(self, plan):
        soak = self.soak
        with soak.links.hold_orders(node.name for node in soak.controls):
            order = soak.next_held_order()
        if order is None:
            return False
        soak.say(f"order {order.number} of {order.node} held: {order.backend} of {order.group}, token {order.fencing}; "
                 f"sender {plan['sender']}, until {plan['until']}")
        with ExitStack() as until_healed:
            threads = self.begin(order, plan, until_healed)
            self.wait(order, plan)
            soak.links.release(order)
            soak.release_held_orders()
            soak.say(f"order {order.number} {'was taken back' if order.taken_back_at else 'let through'}")
            soak.pause(plan["seconds"] if plan["sender"] == "loses the answer" else plan["heals_after"])
        for thread in threads:
            thread.join()
        return True

    def begin(self, order, plan, until_healed):
        """What happens while the order waits; threads that end by themselves, the rest when `until_healed` is closed."""
        soak = self.soak
        sender = next(node for node in soak.controls if node.name == order.node)
        others = [node for node in soak.controls if node != sender]
        cuts = []
        if plan["sender"] == "is cut from peers":
            cuts += both_ways([sender.name], soak.names_of("peers") + soak.names_of("proxies"))
        if plan["sender"] == "is cut with its zone":
            cuts += [pair for pair in soak.pairs_of_zone(sender.zone) if PROMOTION not in pair]
        if plan["sender"] == "loses the answer":
            cuts.append((PROMOTION, sender.name))
        if plan["backend is cut"]:
            cuts += both_ways([order.backend], [node.name for node in others])
        until_healed.enter_context(soak.links.cut(cuts))
        threads = []
        if plan["sender"] == "is frozen" and until_healed.enter_context(sender.reserved()):
            sender.process.send(signal.SIGSTOP)
            until_healed.callback(sender.process.send, signal.SIGCONT)
        if plan["sender"] == "is killed":
            threads.append(self.beside(self.kill, sender, plan["second_seconds"]))
        if plan["sender"] == "is terminated":
            threads.append(self.beside(self.terminate, sender))
        if plan["proxy frozen"]:
            threads.append(self.beside(self.freeze, plan["proxy frozen"], plan["seconds"]))
        if plan["second"]:
            second = others[int(plan["second_choice"] * len(others))]
            threads.append(self.beside(plan["second"], second, plan["second_seconds"]))
        return threads

    def wait(self, order, plan):
        soak = self.soak
        if plan["sender"] == "loses the answer":
            return
        if plan["until"] == "time":
            soak.pause_until(lambda: order.taken_back_at > 0, plan["seconds"])
            return
        decided = soak.pause_until(lambda: order.taken_back_at > 0 or soak.was_decided_otherwise(order), 30)
        soak.pause(plan["after"])
        if decided and plan["until"] == "backend is behind":
            soak.pause_until(lambda: order.taken_back_at > 0 or soak.lacks_commits(order), 15)


SERIES = {series.name_of_series: series
          for series in (ProcessFaults, ControlFaults, SignalFaults, LinkFaults, OrderFaults)}
