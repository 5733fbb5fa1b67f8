"""An acknowledged commit is lost in a planned handover, as the proxy that commits it checks another service."""
import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
from standins import (Backend, Caller, Fleet, Group, Platform, Record, find_program, make_config,  # noqa: E402
                      wait_for)

TROUBLE = os.environ.get("TROUBLE") != "0"
# A trial: without the change of the route, while the primary is released all the same.
ROUTE = TROUBLE and os.environ.get("ROUTE") != "0"
FIRST, SECOND, DATABASE = "records1", "records2", "decks"
FRONTS = 12


class Transaction:
    """A session with one open transaction that writes once."""

    def __init__(self, fleet, front, record):
        self.front = front
        self.caller = Caller(fleet.front(front), DATABASE, record)
        self.statement_id = f"w-{front}"
        self.service = None  # that ran the write
        self.is_acknowledged = False

    async def begin(self):
        if not await self.caller.open():
            return False
        answer = await self.caller.query(f"b-{self.front}", "BEGIN")
        return bool(answer) and answer[1] == "DONE"

    async def write(self):
        answer = await self.caller.query(self.statement_id, f"WRITE thing-{self.front} value")
        if answer and answer[1] == "DONE":
            self.service = answer[2].split(".")[1]

    async def commit(self):
        answer = await self.caller.query(f"c-{self.front}", "COMMIT")
        self.is_acknowledged = bool(answer) and answer[1] == "DONE"


async def start_services(fleet, record):
    groups = [Group(FIRST, record), Group(SECOND, record)]
    platform = Platform(fleet.platform_address, groups, record)
    await platform.start()
    for group in groups:
        for number, zone in enumerate(fleet.zones):
            address = f"{fleet.addresses.next()}:{fleet.port}"
            await Backend(group, f"i-{group.name}-{number}", address, zone, fleet.controls).start()
    return platform, groups[1]


async def play(fleet, record):
    platform, second = await start_services(fleet, record)
    fleet.start_all()
    services = [FIRST, SECOND]
    if not await fleet.put_config(make_config(1, [(DATABASE, "primary", FIRST if ROUTE or not TROUBLE else SECOND)],
                                              services)):
        return 2
    for front in fleet.fronts:
        if not await wait_for(lambda front=front: fleet.is_ready(front), 15):
            return 2
    await asyncio.sleep(2)
    transactions = [Transaction(fleet, front, record) for front in fleet.fronts]
    if not all(await asyncio.gather(*(transaction.begin() for transaction in transactions))):
        return 2
    if ROUTE:
        if not await fleet.put_config(make_config(2, [(DATABASE, "primary", SECOND)], services)):
            return 2
    await asyncio.sleep(1)
    await asyncio.gather(*(transaction.write() for transaction in transactions))
    record("writes ran at: " + ", ".join(f"{each.front} {each.service}" for each in transactions))
    if TROUBLE:
        primary = second.members[0]
        primary.state = "draining"
        record(f"{primary.id} is draining, acknowledged: {await primary.tell('PUT')}")
        if not await wait_for(lambda: platform.calls, 10, pause=0.002):
            return 2
        # replica_lag, deaf: the replica receives nothing for a while.
        chosen = second.member(platform.calls[0][2])
        chosen.deaf = True
        record(f"{chosen.id} receives nothing from now on")
    await asyncio.gather(*(transaction.commit() for transaction in transactions))
    if TROUBLE:
        await wait_for(lambda: second.promotions, 3)
        chosen.deaf = False
    await asyncio.sleep(2)

    for name in fleet.core:
        for event in fleet.events(name, "promotion_chosen", "group_opened"):
            record(f"{name}: {event['event']} primary {event['primary']} term {event['term']}: {event['why']}")
    acknowledged = [each for each in transactions if each.is_acknowledged and each.service == SECOND]
    broken = False
    for at, backend, log in second.promotions:
        held = {entry[1] for entry in log}
        missing = [each.statement_id for each in acknowledged if each.statement_id not in held]
        record(f"LOST check: {backend.id}, promoted at {at:.3f}, lacks {len(missing)} acknowledged commits: {missing}")
        broken = broken or bool(missing)
    caller = Caller(fleet.front(list(fleet.fronts)[0]), DATABASE, record)
    if TROUBLE and await caller.open():
        for each in acknowledged:
            answer = await caller.query(f"r-{each.front}", f"READ thing-{each.front}")
            if answer and answer[1] == "DONE" and answer[0][0] == "-":
                record(f"the caller reads thing-{each.front} without its acknowledged write {each.statement_id}")
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
