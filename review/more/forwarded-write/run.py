"""A session reads without its own write, which another proxy ran at the service that the route had just been given."""
import asyncio
import os
import re
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parents[1] / "lib"))
from standins import (Backend, Caller, Fleet, Group, Platform, Record, find_program, http_call, make_config,  # noqa: E402
                      now, wait_for)

TROUBLE = os.environ.get("TROUBLE") != "0"
FIRST, SECOND, DATABASE, OTHER = "records1", "records2", "decks", "others"
FRONTS, ROUNDS = 12, 3


async def has_forwarded(fleet, front):
    answer = await http_call(f"{fleet.fronts[front][0]}:{fleet.port + 5}", "GET", "/metrics")
    found = re.findall(r"^cairnhollow_session_forwarded_total\{[^}]*served_elsewhere[^}]*\} (\d+)",
                       answer[1].decode() if answer else "", re.M)
    return any(int(count) > 0 for count in found)


async def write(caller, name):
    """Returns the service that ran the acknowledged write; None without an acknowledgement."""
    for attempt in range(20):
        answer = await caller.query(f"{name}x{attempt}", f"WRITE {name} mine")
        if answer and answer[1] == "DONE":
            return answer[2].split(".")[1]
        if not answer or answer[2].split(" ")[0] not in ("BUSY", "ABORTED", "LAGGING", "READONLY"):
            return None
        await asyncio.sleep(0.02)
    return None


async def play(fleet, record):
    groups = [Group(FIRST, record), Group(SECOND, record)]
    await Platform(fleet.platform_address, groups, record).start()
    for group in groups:
        for number, zone in enumerate(("b", "a", "c")):
            address = f"{fleet.addresses.next()}:{fleet.port}"
            await Backend(group, f"i-{group.name}-{number}", address, zone, fleet.controls).start()
    fleet.start_all()
    version = 0

    async def route_to(service):
        nonlocal version
        version += 1
        routes = [(DATABASE, "read_your_writes", service), (OTHER, "read_your_writes", SECOND)]
        return await fleet.put_config(make_config(version, routes, [FIRST, SECOND]))

    if not await route_to(FIRST):
        return 2
    for front in fleet.fronts:
        if not await wait_for(lambda front=front: fleet.is_ready(front), 15):
            return 2
    await asyncio.sleep(2)
    forwarding = []
    for front, (_, zone) in fleet.fronts.items():
        caller = Caller(fleet.front(front), DATABASE, record)
        if not await caller.open() or await write(caller, f"first-{front}") != FIRST:
            return 2
        caller.close()
        if zone != "b" and await has_forwarded(fleet, front):
            forwarding.append(front)
    record(f"fronts that forward for {FIRST}: {forwarding}")
    if not forwarding:
        return 2
    broken = False
    for turn in range(ROUNDS):
        front = forwarding[turn % len(forwarding)]
        behind = next(each for each in groups[1].members if each.zone == fleet.fronts[front][1])
        if not await route_to(FIRST):
            return 2
        # Others write at the second service, too.
        for other in fleet.fronts:
            caller = Caller(fleet.front(other), OTHER, record)
            if not await caller.open() or await write(caller, f"o{turn}-{other}") != SECOND:
                return 2
            caller.close()
        await asyncio.sleep(0.3)
        caller = Caller(fleet.front(front), DATABASE, record)
        if not await caller.open() or await write(caller, f"t{turn}-before") != FIRST:
            return 2
        if TROUBLE:
            # node_freeze of the caller's proxy, replica_lag (deaf) of one replica, and a change of the configuration.
            fleet.signal(front, signal.SIGSTOP)
            behind.deaf = True
            record(f"{behind.id} receives nothing from now on")
        writing = asyncio.create_task(write(caller, f"t{turn}-own"))
        await asyncio.sleep(0.05)
        if TROUBLE and not await route_to(SECOND):
            return 2
        await asyncio.sleep(0.25)
        if TROUBLE:
            fleet.signal(front, signal.SIGCONT)
        ran_at = await writing
        acknowledged_at = now()
        for number in range(60 if ran_at else 0):
            sent_at = now()
            answer = await caller.query(f"r{turn}-{number}", f"READ t{turn}-own")
            if answer and answer[1] == "DONE" and answer[2].split(".")[1] == ran_at and answer[0][0] != "mine":
                record(f"STALE: read r{turn}-{number}, sent {sent_at - acknowledged_at:.3f} s after the session's own "
                       f"write was acknowledged by {ran_at}, ran there without it: {answer[0]}")
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
    fleet = Fleet(record, fronts=FRONTS)
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
