"""CONFIG: a proxy that has obeyed a new version hands a statement to a proxy that is cut off from the core, which runs it
under the older version: at the service that the database's route has left."""

import asyncio
import os
import re
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))

from database import Backend, Service
from fleet import BOUNDS, CannotRun, Fleet, Operator, Record, document

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICES = ["svc1a", "svc2b", "svc3c"]
CONTROL = [1, 2, 3]
FRONTS = list(range(4, 16))
RELAYS = [25, 26, 27]  # stand for the links to the core
# Proxies to which others hand statements of db1, for even and odd versions in turn. Which ones these are follows from the
# names of the nodes and services; it was found by stopping one proxy after the other.
TARGETS = [14, 10, 15, 12]
CUT_SECONDS = 1.5  # the pages: 5.5 s
PAUSE_SECONDS = 1.5
SLACK_SECONDS = BOUNDS["DowngradeSlackMs"] / 1000


class Session:
    """A session of one database at one proxy."""

    def __init__(self, fleet, front, database):
        self.fleet, self.front, self.database = fleet, front, database
        self.writer = None

    async def query(self, statement, text):
        """The answer, or None."""
        try:
            async with asyncio.timeout(2):
                if self.writer is None:
                    self.reader, self.writer = await asyncio.open_connection(self.fleet.ip(self.front),
                                                                             self.fleet.front_port)
                    self.writer.write(f"START {self.database} u{self.front}\r\n".encode())
                    if not (await self.reader.readline()).startswith(b"READY"):
                        raise OSError("no session")
                self.writer.write(f"QUERY {statement} {text}\r\n".encode())
                answer = None
                while line := (await self.reader.readline()).decode():
                    if line.startswith(("DONE", "ERR")):
                        answer = line.strip()
                    if line.startswith("READY"):
                        return answer
                raise OSError("closed")
        except (OSError, asyncio.TimeoutError):
            self.close()
            return None

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.writer = None


def service_of(answer):
    """The number of the service whose backend signed this answer, or 0."""
    return int(answer.split()[1].split(".")[0].split("-")[1]) if answer and answer.startswith("DONE i-") else 0


def configuration(version):
    """Odd versions: db1 at the first service, db2 at the second. Even ones: db1 at the second, db2 at the third."""
    first, second = (SERVICES[0], SERVICES[1]) if version % 2 else (SERVICES[1], SERVICES[2])
    routes = [(f"r-db1v{version}", "db1", "primary", first, {}), (f"r-db2v{version}", "db2", "primary", second, {})]
    return document(version, SERVICES, routes)


class Fronts:
    """What the proxies did with what they were sent."""

    def __init__(self, fleet, record):
        self.fleet, self.record = fleet, record
        self.one = {front: Session(fleet, front, "db1") for front in FRONTS}
        self.two = {front: Session(fleet, front, "db2") for front in FRONTS}

    async def write(self, sessions, front, version):
        """(the time before it was sent, the time after the answer, the service that ran it)"""
        session = sessions[front]
        statement = f"{session.database}f{front}v{version}"
        sent = self.record.now()
        answer = await session.query(statement, f"WRITE t{front} d{statement}")
        ended = self.record.now()
        self.record.write(f"{statement} at machine {front}, sent at {sent:.3f}: {answer}")
        return sent, ended, service_of(answer)

    async def write_all(self, sessions, fronts, version):
        results = await asyncio.gather(*(self.write(sessions, front, version) for front in fronts))
        return dict(zip(fronts, results))


class CoreLinks:
    """The links of the proxies to the core. One proxy's can be cut: nothing passes in either direction, and what is sent
    meanwhile arrives when the cut heals."""

    def __init__(self, fleet, record):
        self.fleet, self.record = fleet, record
        self.whole = {front: asyncio.Event() for front in FRONTS}
        for event in self.whole.values():
            event.set()

    async def start(self, number):
        port = self.fleet.internal
        await asyncio.start_server(self.handler(number, port), self.fleet.ip(RELAYS[CONTROL.index(number)]), port)

    def handler(self, number, port):
        async def serve(reader, writer):
            onward = None
            try:
                first = await reader.read(65536)
                # A conversation begins with the name of the node.
                name = re.search(rb"node-(1[0-5]|[4-9])", first)
                front = int(name.group(1)) if name else None
                answers, onward = await asyncio.open_connection(self.fleet.ip(number), port)
                onward.write(first)
                await asyncio.gather(self.pass_on(reader, onward, front), self.pass_on(answers, writer, front))
            except (OSError, asyncio.CancelledError):
                pass
            finally:
                writer.close()
                if onward is not None:
                    onward.close()
        return serve

    async def pass_on(self, reader, writer, front):
        try:
            while data := await reader.read(65536):
                if front is not None:
                    await self.whole[front].wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    def cut(self, front):
        self.whole[front].clear()
        self.record.write(f"TROUBLE: machine {front} is cut off from the core")

    def heal(self, front):
        self.whole[front].set()
        self.record.write(f"machine {front} reaches the core again")


async def play(fleet, record):
    seeds = [fleet.control_address(number) for number in CONTROL]
    for number in CONTROL:
        fleet.start("control", number, f"z{number}", seeds, bootstrap=True)
    links = CoreLinks(fleet, record)
    through = [f"{fleet.ip(number)}:{fleet.control_port}" for number in RELAYS]
    services = [Service(name, fleet, record, CONTROL) for name in SERVICES]
    await services[0].start()
    for service in services[1:]:
        service.replication = asyncio.create_task(service.replicate())
    for place, service in enumerate(services):
        for member in range(3):
            await Backend(service, f"i-{place + 1}-b{member}", fleet.ip(16 + 3 * place + member), fleet.backend_port,
                          f"z{member + 1}", "replica" if member else "primary").start()
    operator = Operator(fleet, record, CONTROL)
    fronts = Fronts(fleet, record)
    if await operator.put_config(configuration(1)) is None:
        raise CannotRun("the configuration was not acknowledged")
    # The seeds are relays, which stand for the links to the core. Only the leader's listens at first, so that each proxy's
    # conversation with the leader goes through it and can be cut.
    elected = [(event["time"], number) for number in CONTROL
               for event in fleet.log_events(number, "consensus_leader_elected")]
    await links.start(max(elected)[1])
    for number in FRONTS:
        fleet.start("proxy", number, f"z{number % 3 + 1}", through, bootstrap=True)
    await asyncio.sleep(BOUNDS["ConfigApplyMs"] / 1000 + 1)
    regressions = 0
    for place, front in enumerate(TARGETS):
        regressions += await play_round(links, operator, fronts, place + 2, front)
        await asyncio.sleep(PAUSE_SECONDS)
    record.write(f"{regressions} requests were handled as only an older version allows")
    return regressions > 0


async def play_round(links, operator, fronts, version, target):
    """How many requests were handled as only the version before allows."""
    record = fronts.record
    old, new = ((1, 2), (2, 3)) if version % 2 == 0 else ((2, 3), (1, 2))
    others = [front for front in FRONTS if front != target]
    if TROUBLE:
        links.cut(target)
    heal_at = time.monotonic() + CUT_SECONDS
    if await operator.put_config(configuration(version)) is None:
        raise CannotRun(f"version {version} was not acknowledged")
    await asyncio.sleep(0.05)
    shown = await fronts.write_all(fronts.two, others, version)
    await asyncio.sleep(SLACK_SECONDS + 0.03)
    ran = await fronts.write_all(fronts.one, others, version)
    await asyncio.sleep(max(0, heal_at - time.monotonic()))
    if TROUBLE:
        links.heal(target)
    regressions = 0
    for front in others:
        saw, late = shown[front], ran[front]
        if saw[2] == new[1] and late[2] == old[0] and late[0] > saw[1] + SLACK_SECONDS:
            record.write(f"REGRESSION of machine {front}: it obeyed version {version} at {saw[1]:.3f} (db2 at service "
                         f"{saw[2]}); sent at {late[0]:.3f}, a write to db1 was run by service {late[2]}, where its "
                         f"route led before")
            regressions += 1
    return regressions


async def main(record):
    fleet = Fleet(record)
    try:
        broken = await play(fleet, record)
        fleet.copy_log_events(FRONTS, "document_in_force", "control_lost", "control_found")
        record.write("BROKEN: CONFIG" if broken else "held")
        return 1 if broken else 0
    finally:
        fleet.end()


if __name__ == "__main__":
    RECORD = Record(Path(__file__).resolve().parent / "record.txt")
    try:
        CODE = asyncio.run(main(RECORD))
    except CannotRun as error:
        RECORD.write(f"could not run: {error}")
        CODE = 2
    sys.exit(CODE)
