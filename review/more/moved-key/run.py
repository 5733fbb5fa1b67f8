"""A transaction goes on under the tenant that its caller's key belonged to before it was given to another tenant."""
import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parents[1] / "lib"))
from standins import (Backend, Caller, Fleet, Group, Platform, Record, find_program, make_config, now,  # noqa: E402
                      wait_for)

TROUBLE = os.environ.get("TROUBLE") != "0"
# A trial: the key is taken from the first tenant and given to nobody.
GIVEN = os.environ.get("GIVEN") != "0"
SERVICE, DATABASE, KEY = "records1", "decks", "key-of-the-caller"
CONFIG_APPLY_S, REVOKE_S, STATEMENTS = 4.0, 5.0, 10


def config_of(version, first_keys, second_keys):
    config = make_config(version, [(DATABASE, "primary", SERVICE)], [SERVICE])
    config["Tenants"] = [{"Name": name, "ApiKeys": keys, "RatePerS": 50, "Burst": 50}
                         for name, keys in (("first", first_keys), ("second", second_keys))]
    return config


async def play(fleet, record):
    group = Group(SERVICE, record)
    await Platform(fleet.platform_address, [group], record).start()
    for number, zone in enumerate(fleet.zones):
        await Backend(group, f"i-{number}", f"{fleet.addresses.next()}:{fleet.port}", zone, fleet.controls).start()
    fleet.start_all()
    if not await fleet.put_config(config_of(1, ["key-1", KEY], ["key-2"])):
        return 2
    for front in fleet.fronts:
        if not await wait_for(lambda front=front: fleet.is_ready(front), 15):
            return 2
    await asyncio.sleep(2)
    front = list(fleet.fronts)[0]
    caller = Caller(fleet.front(front), DATABASE, record, who=KEY)
    if not await caller.open():
        return 2
    answer = await caller.query("t0", "BEGIN")
    answer = await caller.query("t1", "WRITE thing-1 value")
    if not answer or answer[1] != "DONE":
        return 2
    if TROUBLE and not await fleet.put_config(config_of(2, ["key-1"], ["key-2", KEY] if GIVEN else ["key-2"])):
        return 2
    changed_at = now()
    sent = {}
    for number in range(2, STATEMENTS):
        await asyncio.sleep(0.9)
        sent[f"t{number}"] = now()
        await caller.query(f"t{number}", f"READ thing-{number}")
    sent["t-commit"] = now()
    await caller.query("t-commit", "COMMIT")
    broken = False
    for at, statement_id, who, text in group.runs:
        record(f"run at {at:.3f}: {statement_id} as {who}: {text}")
        late = sent.get(statement_id, 0) - changed_at - max(CONFIG_APPLY_S, REVOKE_S)
        if TROUBLE and who == "first" and late > 0:
            record(f"{statement_id}, sent {late + max(CONFIG_APPLY_S, REVOKE_S):.3f} s after the key was taken from first, ran as first")
            broken = True
    return 1 if broken else 0


async def main():
    if not find_program("cairnhollow-proxy") or not find_program("cairnhollow-control"):
        print("build the programs first: sh deploy/build", file=sys.stderr)
        return 2
    record = Record(HERE / "record.txt")
    fleet = Fleet(record, front_settings=("key_bound: 5000ms", "limit_window: 5s", "limit_overshoot: 0.1",
                                          "limit_slack: 20", "change_bound: 4000ms"))
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
