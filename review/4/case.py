"""LOST: the replicas of a running primary receive nothing for two seconds, and a backend that joins meanwhile is
registered a second late. Control replaces the primary by a replica that lacks acknowledged commits."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))

from database import Backend, Client, Service
from fleet import CannotRun, Fleet, Operator, Record, document

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICE = "svc1a"
DATABASE = "db1"
DEAF_SECONDS = 2.0  # the pages: up to 6.5 s
JOINS_AFTER = 0.7  # after the replicas turned deaf
HELD_UP_SECONDS = 2.5  # the joining backend's first heartbeat; it calls the next node after one second


async def wait_for(condition, seconds, what):
    for _ in range(int(seconds / 0.05)):
        if condition():
            return
        await asyncio.sleep(0.05)
    raise CannotRun(f"not within {seconds} s: {what}")


async def play(fleet, record):
    control, fronts = [1, 2, 3], [11, 12]
    seeds = [fleet.control_address(number) for number in control]
    for number in control:
        fleet.start("control", number, f"z{number}", seeds, bootstrap=True)
    for number in fronts:
        fleet.start("proxy", number, f"z{number - 10}", seeds, bootstrap=True)
    service = Service(SERVICE, fleet, record, control)
    await service.start()
    operator = Operator(fleet, record, control)
    routes = [("r-1", DATABASE, "primary", SERVICE, {})]
    if await operator.put_config(document(1, [SERVICE], routes)) is None:
        raise CannotRun("the configuration was not acknowledged")
    backends = [Backend(service, f"i-b{place}", fleet.ip(20 + place), fleet.backend_port, f"z{place}",
                        "primary" if place == 1 else "replica") for place in (1, 2, 3)]
    for backend in backends:
        await backend.start()
    clients = [Client(number, f"{fleet.ip(fronts[number % 2])}:{fleet.front_port}", DATABASE, record)
               for number in range(4)]
    tasks = [asyncio.create_task(client.run()) for client in clients]
    await wait_for(lambda: all(len(client.acknowledged) > 20 for client in clients), 20, "writes are served")
    await asyncio.sleep(2)

    if TROUBLE:
        record.write("TROUBLE: the replicas receive nothing from now on")
        for replica in backends[1:]:
            replica.deaf = True
    await asyncio.sleep(JOINS_AFTER)
    joining = Backend(service, "i-b4", fleet.ip(24), fleet.backend_port, "z1")
    if TROUBLE:
        joining.first_beat_delay = HELD_UP_SECONDS
    await joining.start()
    await asyncio.sleep(DEAF_SECONDS - JOINS_AFTER)
    for replica in backends[1:]:
        replica.deaf = False
    record.write("the replicas receive again")
    await asyncio.sleep(6)
    for client in clients:
        client.stopped = True
    await asyncio.gather(*tasks)
    return service, clients


def judge(service, clients, record):
    acknowledged = {statement: seconds for client in clients for statement, seconds in client.acknowledged}
    record.write(f"{len(acknowledged)} writes were acknowledged to clients; answers: "
                 f"{[client.answers for client in clients]}")
    broken = False
    newest = service.primary()
    for seconds, backend, kept, term in service.promotions:
        lost = sorted((when, statement) for statement, when in acknowledged.items()
                      if when < seconds and statement not in kept)
        record.write(f"promotion of {backend} to term {term} at {seconds:.3f}: lacks {len(lost)} acknowledged commits "
                     f"{[statement for _, statement in lost[:10]]}")
        broken = broken or bool(lost)
    gone = set(acknowledged) - {entry.statement for entry in newest.log}
    record.write(f"the log of {newest.name}, the primary at the end, lacks {len(gone)} acknowledged commits")
    return broken or bool(gone)


async def main(record):
    fleet = Fleet(record)
    try:
        service, clients = await play(fleet, record)
        broken = judge(service, clients, record)
        fleet.copy_log_events([1, 2, 3, 11, 12], "commits_stall", "primary_suspected", "primary_examined",
                              "group_closing", "promotion_chosen", "promotion_sent", "group_opened",
                              "backend_registered")
        record.write("BROKEN: LOST" if broken else "held")
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
