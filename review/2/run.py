"""Acknowledged commits are lost when the only replica that holds them leaves as planned while the other one receives
nothing, and then the primary crashes and the proxy that acknowledged them is killed."""
import asyncio
import os
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
from standins import (Backend, Caller, Fleet, Group, Platform, Record, find_program, make_config,  # noqa: E402
                      wait_for)

TROUBLE = os.environ.get("TROUBLE") != "0"
SERVICE, DATABASE = "records1", "learners"


async def write(fleet, record, acknowledged, front, number):
    """One write in a session of its own, tried again only after a promise that nothing is kept."""
    for attempt in range(150):
        caller = Caller(fleet.front(front), DATABASE, record)
        statement_id = f"w{number}x{attempt}"
        if await caller.open():
            answer = await caller.query(statement_id, f"WRITE thing{number} value{number}")
            caller.close()
            if answer and answer[1] == "DONE":
                acknowledged[statement_id] = number
                return True
            if not answer or answer[2].split(" ")[0] not in ("BUSY", "ABORTED", "LAGGING", "READONLY"):
                return False
        await asyncio.sleep(0.1)
    return False


async def play(fleet, record):
    group = Group(SERVICE, record)
    platform = Platform(fleet.platform_address, [group], record)
    await platform.start()
    backends = [Backend(group, f"i-{i}", f"{fleet.addresses.next()}:{fleet.port}", fleet.zones[i], fleet.controls)
                for i in range(3)]
    primary, leaving, behind = backends
    for backend in backends:
        await backend.start()
    fleet.start_all()
    if not await fleet.put_config(make_config(1, [(DATABASE, "primary", SERVICE)], [SERVICE])):
        return 2
    first, second = list(fleet.fronts)
    for front in fleet.fronts:
        if not await wait_for(lambda front=front: fleet.is_ready(front), 10):
            return 2
    acknowledged = {}
    for number in range(5):
        if not await write(fleet, record, acknowledged, first, number):
            return 2
    await asyncio.sleep(2)

    if TROUBLE:
        # A planned end (release): draining, DrainMs after the acknowledgement, DELETE, end.
        leaving.state = "draining"
        record(f"{leaving.id} is draining, acknowledged: {await leaving.tell('PUT')}")
        await asyncio.sleep(6.0)
        # replica_lag, deaf: the other replica receives nothing for a while.
        behind.deaf = True
        record(f"{behind.id} receives nothing from now on")
        await asyncio.sleep(0.5)
    for number in range(5, 15):
        await write(fleet, record, acknowledged, first, number)
    if TROUBLE:
        await asyncio.sleep(0.5)
        leaving.beats = False
        record(f"{leaving.id} sends DELETE, acknowledged: {await leaving.tell('DELETE')}")
        await asyncio.sleep(0.1)
        record(f"{leaving.id} ends with {len(leaving.log)} commits")
        leaving.end()
        await asyncio.sleep(0.2)
        # srv_crash of the primary, node_kill of a proxy, which starts again at once.
        primary.crash()
        fleet.signal(first, signal.SIGKILL)
        await asyncio.sleep(0.5)
        fleet.start(first)
    asking = asyncio.create_task(write(fleet, record, acknowledged, second, 15))
    await wait_for(lambda: group.promotions, 2)
    if TROUBLE:
        # The log of the one that left passes to a new backend at its address.
        successor = Backend(group, "i-3", leaving.address, leaving.zone, fleet.controls)
        successor.log = list(leaving.log)
        await successor.come_back()
        await wait_for(lambda: group.promotions, 4)
        if not primary.running:
            await primary.come_back()
        behind.deaf = False
    await asyncio.sleep(1)
    for front in fleet.fronts:
        await wait_for(lambda front=front: fleet.is_ready(front), 10)
    await asking
    await asyncio.sleep(2)

    for name in fleet.core:
        for event in fleet.events(name, "promotion_chosen", "group_opened"):
            record(f"{name}: {event['event']} primary {event['primary']} term {event['term']}: {event['why']}")
    broken = False
    for at, backend, log in group.promotions:
        held = {entry[1] for entry in log}
        missing = [statement_id for statement_id in acknowledged if statement_id not in held and
                   acknowledged[statement_id] < 15]
        record(f"LOST check: {backend.id}, promoted at {at:.3f}, lacks {len(missing)} acknowledged commits: {missing}")
        broken = broken or bool(missing)
    caller = Caller(fleet.front(second), DATABASE, record)
    if await caller.open():
        for statement_id, number in acknowledged.items():
            answer = await caller.query(f"r{number}", f"READ thing{number}")
            if answer and answer[1] == "DONE" and f"value{number}" not in answer[0][0]:
                record(f"the caller reads thing{number} without its acknowledged write {statement_id}")
    return 1 if broken else 0


async def main():
    if not find_program("cairnhollow-proxy") or not find_program("cairnhollow-control"):
        print("build the programs first: sh deploy/build", file=sys.stderr)
        return 2
    record = Record(HERE / "record.txt")
    fleet = Fleet(record)
    try:
        async with asyncio.timeout(100):
            result = await play(fleet, record)
    except asyncio.TimeoutError:
        result = 2
    finally:
        fleet.stop()
    record(f"result {result}")
    os._exit(result)  # without waiting for the stand-ins' open connections


asyncio.run(main())
