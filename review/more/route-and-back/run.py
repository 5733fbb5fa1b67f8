"""A session reads without its own acknowledged write after its route went to another service and back."""
import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parents[1] / "lib"))
from standins import (Backend, Caller, Fleet, Group, Platform, Record, find_program, make_config,  # noqa: E402
                      now, wait_for)

TROUBLE = os.environ.get("TROUBLE") != "0"
FIRST, SECOND, DATABASE = "records1", "records2", "decks"
ROUNDS = 3


async def play(fleet, record):
    first, second = Group(FIRST, record), Group(SECOND, record)
    await Platform(fleet.platform_address, [first, second], record).start()
    # The primaries are in zone b, a replica of each is in zone a, where the caller's proxy is.
    for group in (first, second):
        for number, zone in enumerate(("b", "a", "c")):
            backend = Backend(group, f"i-{group.name}-{number}", f"{fleet.addresses.next()}:{fleet.port}", zone,
                              fleet.controls)
            await backend.start()
    behind = first.members[1]
    fleet.start_all()
    version = 0

    async def route_to(service):
        nonlocal version
        version += 1
        return await fleet.put_config(make_config(version, [(DATABASE, "read_your_writes", service)], [FIRST, SECOND]))

    if not await route_to(FIRST):
        return 2
    front = list(fleet.fronts)[0]
    if not await wait_for(lambda: fleet.is_ready(front), 10):
        return 2
    await asyncio.sleep(2)
    broken = False
    for turn in range(ROUNDS):
        caller = Caller(fleet.front(front), DATABASE, record)
        if not await caller.open():
            return 2

        async def write(name, data):
            """Returns the service that ran the acknowledged write; None without an acknowledgement."""
            for attempt in range(20):
                answer = await caller.query(f"{name}x{attempt}", f"WRITE {name} {data}")
                if answer and answer[1] == "DONE":
                    return answer[2].split(".")[1]
                await asyncio.sleep(0.02)
            return None

        if await write(f"t{turn}-before", "known") != FIRST:
            return 2
        await asyncio.sleep(0.1)
        if TROUBLE:
            behind.deaf = True
            record(f"{behind.id} receives nothing from now on")
        if await write(f"t{turn}-own", "mine") != FIRST:
            return 2
        acknowledged_at = now()
        if TROUBLE:
            if not await route_to(SECOND):
                return 2
            elsewhere = 0
            while await write(f"t{turn}-else{elsewhere}", "other") != SECOND:
                elsewhere += 1
            if not await route_to(FIRST):
                return 2
        for number in range(60):
            sent_at = now()
            answer = await caller.query(f"r{turn}-{number}", f"READ t{turn}-own")
            if answer and answer[1] == "DONE" and answer[2].split(".")[1] == FIRST and answer[0][0] != "mine":
                record(f"STALE: read r{turn}-{number}, sent {sent_at - acknowledged_at:.3f} s after the session's own "
                       f"write was acknowledged, ran at {FIRST} without it: {answer[0]}")
                broken = True
            await asyncio.sleep(0.02)
        caller.close()
        behind.deaf = False
        await asyncio.sleep(1)
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
