"""The links of a registered fleet: started with a relay (tools/fleetlib/soak_relay.py), cut, healed, and judged by the
orders that passed.

Whoever shall be known by the relay is started with the variables of variables_for(), which preload link_shim.c.
"""

import json
import os
import queue
import shutil
import subprocess
import sys
import threading
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

START_SECONDS = 10
SHIM = Path(__file__).with_name("link_shim.c")
RELAY = Path(__file__).resolve().parents[2] / "tools" / "fleetlib" / "soak_relay.py"


@dataclass
class Order:
    """One promotion call. Times are of the monotonic clock; 0: that has not happened."""

    number: int
    node: str
    group: str
    backend: str
    fencing: int
    seen_at: float
    held: bool
    passed_at: float = 0.0
    taken_back_at: float = 0.0
    status: int = 0

    @property
    def accepted(self):
        return self.status // 100 == 2


class LinksError(Exception):
    """Told to the user as one line."""


class Links:
    def __init__(self, folder):
        self.folder = folder
        self.links = []
        self.sources = {}
        self.orders = {}
        self.seen = queue.Queue()  # orders that are held
        self.lock = threading.Lock()
        self.cuts = []  # a list of pairs for each cut that is in force
        self.holds = []  # a list of nodes for each hold that is in force
        self.listening = threading.Event()
        self.process = None
        self.reader = None

    def add(self, node, address, port, orders=False, only_for=""):
        """An endpoint that others reach through the relay. `orders`: it takes promotion calls. `only_for`: nodes whose
        names begin so; the others connect directly."""
        self.links.append({"node": node, "address": address, "port": port, "orders": orders, "only_for": only_for})

    def add_source(self, node, address):
        """Who connects from there; an address of its own."""
        self.sources[address] = node

    def variables_for(self, node, address):
        """For the process of a node whose connections shall go through the relay, but those to itself."""
        linked = ",".join(f"{link['address']}:{link['port']}" for link in self.links
                          if link["node"] != node and node.startswith(link["only_for"]))
        return {"LD_PRELOAD": str(self.folder / "link_shim.so"), "CAIRNHOLLOW_LINKS": linked,
                "CAIRNHOLLOW_LINK_ADDRESS": address}

    def start(self):
        self.folder.mkdir(parents=True, exist_ok=True)
        compiler = os.environ.get("CC") or shutil.which("cc") or shutil.which("gcc")
        if not compiler:
            raise LinksError("links need a C compiler (cc, or the variable CC)")
        subprocess.run([compiler, "-O2", "-shared", "-fPIC", "-o", str(self.folder / "link_shim.so"), str(SHIM), "-ldl"],
                       check=True)
        file = self.folder / "links.json"
        file.write_text(json.dumps({"links": self.links, "sources": self.sources}))
        with open(self.folder / "relay.log", "wb") as log:
            self.process = subprocess.Popen([sys.executable, str(RELAY), str(file)],
                                            stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=log, text=True,
                                            start_new_session=True)
        self.reader = threading.Thread(target=self._read_events, daemon=True)
        self.reader.start()
        if not self.listening.wait(START_SECONDS):
            self.stop()
            raise LinksError(f"the relay does not listen; see {self.folder / 'relay.log'}")

    def stop(self):
        """The relay ends, and whatever waits in it is lost."""
        if self.process is None:
            return
        try:
            self.process.stdin.close()
        except OSError:
            pass
        try:
            self.process.wait(START_SECONDS)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        self.reader.join(START_SECONDS)

    @property
    def running(self):
        return self.process is not None and self.process.poll() is None

    @contextmanager
    def cut(self, pairs):
        """Cuts from each pair's first node to its second, until the end of the block."""
        pairs = list(pairs)
        with self.lock:
            self.cuts.append(pairs)
            self._send_cuts()
        try:
            yield
        finally:
            with self.lock:
                self.cuts.remove(pairs)
                self._send_cuts()

    @contextmanager
    def hold_orders(self, nodes):
        """Orders of these nodes wait until release(), those that come before the end of the block; they appear in `seen`."""
        nodes = list(nodes)
        with self.lock:
            self.holds.append(nodes)
            self._send_holds()
        try:
            yield
        finally:
            with self.lock:
                self.holds.remove(nodes)
                self._send_holds()

    def release(self, order):
        with self.lock:
            self._send({"release": order.number})

    def lose_power_of(self, nodes):
        """What they have sent and what still waits is lost."""
        with self.lock:
            self._send({"power_lost": list(nodes)})

    def all_orders(self):
        with self.lock:
            return list(self.orders.values())

    def _send_cuts(self):
        self._send({"cuts": sorted({pair for pairs in self.cuts for pair in pairs})})

    def _send_holds(self):
        self._send({"hold": sorted({node for nodes in self.holds for node in nodes})})

    def _send(self, command):
        try:
            self.process.stdin.write(json.dumps(command) + "\n")
            self.process.stdin.flush()
        except OSError:
            pass  # the relay has ended, which `running` tells

    def _read_events(self):
        with open(self.folder / "orders.jsonl", "w", encoding="utf-8") as copy, self.process.stdout as events:
            for line in events:
                copy.write(line)
                copy.flush()
                self._take(json.loads(line))

    def _take(self, event):
        if event["event"] == "listening":
            self.listening.set()
            return
        with self.lock:
            order = self.orders.get(event["order"])
            if event["event"] == "order":
                order = Order(event["order"], event["node"], event["group"], event["backend"], event["fencing"], event["at"],
                              event["held"])
                self.orders[order.number] = order
            elif event["event"] == "passed":
                order.passed_at = event["at"]
            elif event["event"] == "taken_back":
                order.taken_back_at = event["at"]
            elif event["event"] == "answer":
                order.status = event["status"]
        if event["event"] == "order" and event["held"]:
            self.seen.put(order)


def find_lower_after_higher(orders):
    """Pairs of accepted orders of a group, in the order in which they were passed on, of which the later one carries a
    lower fencing token: a holder that had been replaced still decided."""
    highest = {}
    found = []
    for order in sorted((order for order in orders if order.accepted), key=lambda order: order.passed_at):
        before = highest.get(order.group)
        if before and order.fencing < before.fencing:
            found.append((before, order))
        if before is None or order.fencing >= before.fencing:
            highest[order.group] = order
    return found
