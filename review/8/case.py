"""CONFIG: a configuration in which two routes have the same name is acknowledged and read back whole, but only one of the
two routes is in force."""

import asyncio
import json
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))

from database import Backend, Service
from fleet import BOUNDS, CannotRun, Fleet, Operator, Record, document

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICE = "svc1a"
APPLY_SECONDS = BOUNDS["ConfigApplyMs"] / 1000
ROUNDS = 5


async def start_session(fleet, front, database):
    """The answer to START."""
    reader, writer = await asyncio.open_connection(fleet.ip(front), fleet.front_port)
    try:
        async with asyncio.timeout(3):
            writer.write(f"START {database} u1\r\n".encode())
            return (await reader.readline()).decode().strip()
    finally:
        writer.close()


async def ask(fleet, record, fronts, databases):
    """How many sessions were refused because there is no such database, by database."""
    refused = dict.fromkeys(databases, 0)
    for _ in range(ROUNDS):
        for front in fronts:
            for database in databases:
                answer = await start_session(fleet, front, database)
                record.write(f"START {database} at machine {front}: {answer}")
                refused[database] += answer.startswith("ERR NODB")
        await asyncio.sleep(0.5)
    return refused


async def play(fleet, record):
    control, fronts = [1, 2, 3], [11, 12]
    seeds = [fleet.control_address(number) for number in control]
    for number in control:
        fleet.start("control", number, f"z{number}", seeds, bootstrap=True)
    for number in fronts:
        fleet.start("proxy", number, f"z{number - 10}", seeds, bootstrap=True)
    service = Service(SERVICE, fleet, record, control)
    await service.start()
    for place in (1, 2, 3):
        await Backend(service, f"i-b{place}", fleet.ip(20 + place), fleet.backend_port, f"z{place}",
                      "primary" if place == 1 else "replica").start()
    operator = Operator(fleet, record, control)
    first = document(1, [SERVICE], [("r-1", "db1", "primary", SERVICE, {})])
    if await operator.put_config(first) is None:
        raise CannotRun("the configuration was not acknowledged")
    await asyncio.sleep(APPLY_SECONDS + 1)
    before = await ask(fleet, record, fronts, ["db1"])
    if any(before.values()):
        raise CannotRun("the first configuration is not served")
    name = "r-1" if TROUBLE else "r-2"
    second = document(2, [SERVICE], [("r-1", "db1", "primary", SERVICE, {}), (name, "db2", "primary", SERVICE, {})])
    answer = await operator.order("PUT", "/config", json.dumps(second), 10, accepts=lambda status: status != 503)
    if answer is None:
        raise CannotRun("the second configuration was not answered")
    if not 200 <= answer[0] < 300:
        record.write(f"the configuration was refused with {answer[0]}")
        return False
    await asyncio.sleep(APPLY_SECONDS + 1)
    read_back = await operator.get_config()
    hosts = sorted(route["Hostname"] for route in read_back["Routes"]) if read_back else None
    record.write(f"read back: routes of {hosts}")
    refused = await ask(fleet, record, fronts, ["db1", "db2"])
    record.write(f"more than ConfigApplyMs after the acknowledgement, of {ROUNDS * len(fronts)} sessions each, refused "
                 f"with NODB: {refused}")
    return any(refused.values())


async def main(record):
    fleet = Fleet(record)
    try:
        broken = await play(fleet, record)
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
