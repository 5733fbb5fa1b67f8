"""CONFIG: two core machines are replaced. Each successor runs for longer than CatchUpS before the old machine gets its
SIGTERM. The consensus group still counts the old machines and never has a quorum again."""

import asyncio
import os
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))

from fleet import CannotRun, Fleet, Operator, Record, document

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CATCH_UP_SECONDS = 4  # CatchUpS
BETWEEN_SECONDS = 1  # from the stop of the first old machine to that of the second
READ_SECONDS = 30  # how long the operator asks at the end; the pages: no less than ContactMs, 4 s


def config(version):
    return document(version, ["svc1a"], [("r-1", "db1", "primary", "svc1a", {})])


async def play(fleet, record):
    """The configuration that is read back at the end, or None."""
    seeds = [fleet.control_address(number) for number in (1, 2, 3)]
    for number in (1, 2, 3):
        fleet.start("control", number, f"z{number}", seeds, bootstrap=True)
    operator = Operator(fleet, record, [1, 2, 3])
    for version in (1, 2):
        if await operator.put_config(config(version)) is None:
            raise CannotRun("the first configurations were not acknowledged")
    await asyncio.sleep(2)

    for successor in (4, 5):
        fleet.start("control", successor, f"z{successor - 3}", seeds)
        await asyncio.sleep(CATCH_UP_SECONDS + 0.5)
    operator.nodes = [1, 2, 3, 4, 5]
    if await operator.put_config(config(3)) is None:
        raise CannotRun("a configuration was not acknowledged with all five machines running")
    if TROUBLE:
        record.write("TROUBLE: the old machines are removed")
        fleet.send_signal(1, signal.SIGTERM)
        await asyncio.sleep(BETWEEN_SECONDS)
        fleet.send_signal(2, signal.SIGTERM)
    await asyncio.sleep(10)
    if TROUBLE:
        if fleet.is_running(1) or fleet.is_running(2):
            raise CannotRun("an old machine's process did not end after SIGTERM")
        operator.nodes = [3, 4, 5]
    for number in operator.nodes:
        if not fleet.is_running(number):
            raise CannotRun(f"the process of machine {number} ended")
    return await operator.get_config(READ_SECONDS)


async def main(record):
    fleet = Fleet(record)
    try:
        read = await play(fleet, record)
        fleet.copy_log_events([1, 2, 3, 4, 5], "started", "draining", "stopped", "consensus_leader_elected",
                              "voter_change_begun", "voter_changed", "voter_not_changed", "consensus_leader_steps_down")
        version = None if read is None else read["Version"]
        broken = version is None or version < 3
        record.write(f"acknowledged: version 3; read back at the end: {version}; {'BROKEN: CONFIG' if broken else 'held'}")
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
