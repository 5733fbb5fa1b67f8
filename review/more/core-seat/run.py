"""After the planned replacement of one machine of the core, the loss of one disk ends the control plane for good."""
import asyncio
import json
import os
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parents[1] / "lib"))
from standins import (Backend, Caller, Fleet, Group, Platform, Record, find_program, http_call,  # noqa: E402
                      make_config, now, wait_for)

TROUBLE = os.environ.get("TROUBLE") != "0"
# Trials besides: the time between the end of the replaced machine and the loss of the disk; no replacement at all.
PAUSE = float(os.environ.get("PAUSE", "0"))
REPLACES = os.environ.get("REPLACE") != "0"
SERVICE, DATABASE = "records1", "learners"
CATCH_UP_S, RECOVERY_S, GRACE_S = 4.0, 12.0, 6.0


async def ask(fleet, record, seconds, prefix):
    """Operations of one statement, each in a session of its own; returns (asked, served)."""
    asked = served = 0
    end = time.monotonic() + seconds
    fronts = list(fleet.fronts)
    while time.monotonic() < end:
        caller = Caller(fleet.front(fronts[asked % len(fronts)]), DATABASE, record)
        asked += 1
        if await caller.open():
            answer = await caller.query(f"{prefix}{asked}", f"WRITE thing{asked} value{asked}", timeout=1.0)
            served += bool(answer and answer[1] == "DONE")
        caller.close()
        await asyncio.sleep(0.1)
    return asked, served


async def read_back(fleet, record, seconds):
    """The configuration's version as any control node answers it; None if none comes."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for name in fleet.core:
            answer = await http_call(fleet.control_address(name), "GET", "/config")
            if answer and answer[0] == 200:
                version = json.loads(answer[1])["Version"]
                record(f"read back: version {version} from {name}")
                return version
        await asyncio.sleep(0.2)
    record(f"read back: no configuration within {seconds} s")
    return None


async def play(fleet, record):
    group = Group(SERVICE, record)
    await Platform(fleet.platform_address, [group], record).start()
    for i in range(3):
        await Backend(group, f"i-{i}", f"{fleet.addresses.next()}:{fleet.port}", fleet.zones[i], fleet.controls).start()
    fleet.start_all()
    config = make_config(1, [(DATABASE, "primary", SERVICE)], [SERVICE])
    if not await fleet.put_config(config):
        return 2
    for front in fleet.fronts:
        if not await wait_for(lambda front=front: fleet.is_ready(front), 10):
            return 2
    await asyncio.sleep(4)
    asked, served = await ask(fleet, record, 3, "before")
    record(f"served before: {served} of {asked}")
    if served * 4 < asked:
        return 2

    if TROUBLE and REPLACES:
        # replace_core, planned: the new one first, then SIGTERM once it has had CatchUpS.
        fleet.add_core("core-c-2", "c")
        fleet.start("core-c-2")
        record("core-c-2 starts, with an empty disk at a new address")
        await asyncio.sleep(CATCH_UP_S)
        fleet.signal("core-c-1", signal.SIGTERM)
        if not await wait_for(lambda: fleet.processes["core-c-1"].poll() is not None, GRACE_S):
            return 2
        record("core-c-1 has ended and is gone for good")
        await asyncio.sleep(PAUSE)
    config["Version"] = 2
    if not await fleet.put_config(config, nodes=[fleet.control_address("core-b-1")]):
        return 2
    if TROUBLE:
        # after_ack_wipe: the machine that has just acknowledged loses its power and its disk, and comes back.
        fleet.signal("core-b-1", signal.SIGKILL)
        fleet.wipe("core-b-1")
        await asyncio.sleep(1)
        fleet.start("core-b-1")
        record("core-b-1 is back at its address with an empty disk")
    back_at = now()
    await asyncio.sleep(RECOVERY_S)
    asked, served = await ask(fleet, record, 5, "after")
    record(f"served later than {RECOVERY_S} s after all machines are back: {served} of {asked}")
    version = await read_back(fleet, record, 12)
    for name in fleet.core:
        for event in fleet.events(name, "consensus_leader_elected", "voter_change_begun", "voter_changed"):
            record(f"{name}: {event['time']} {event['event']} {event.get('lost', '')} {event.get('standby', '')}")
    record(f"{now() - back_at:.1f} s after all machines are back: version 2 was acknowledged, read back: {version}")
    return 1 if version != 2 or served * 4 < asked else 0


async def main():
    if not find_program("cairnhollow-proxy") or not find_program("cairnhollow-control"):
        print("build the programs first: sh deploy/build", file=sys.stderr)
        return 2
    record = Record(HERE / "record.txt")
    fleet = Fleet(record)
    try:
        async with asyncio.timeout(105):
            result = await play(fleet, record)
    except asyncio.TimeoutError:
        result = 2
    finally:
        fleet.stop()
    record(f"result {result}")
    os._exit(result)  # without waiting for the stand-ins' open connections


asyncio.run(main())
