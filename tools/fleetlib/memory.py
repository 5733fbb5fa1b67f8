"""Keeps a run of many processes within half of the machine's memory."""

import threading
from pathlib import Path

POLL_SECONDS = 2.0
PART_OF_MACHINE = 0.5
MEGABYTE = 1024 * 1024
# What one process of a fleet may need while a run begins.
PROCESS_MEGABYTES = 64


def machine_memory():
    """(all, available) in bytes."""
    fields = dict(line.split(":", 1) for line in Path("/proc/meminfo").read_text().splitlines())
    return tuple(int(fields[name].split()[0]) * 1024 for name in ("MemTotal", "MemAvailable"))


def resident_bytes(process_id):
    """0 when the process has ended."""
    try:
        for line in Path(f"/proc/{process_id}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024
    except OSError:
        pass
    return 0


class MemoryGuard(threading.Thread):
    """Watches what some processes use, and ends the run when they use more than they may."""

    def __init__(self, process_ids, over, note_problem):
        super().__init__(daemon=True)
        self.process_ids = process_ids
        self.over = over
        self.note_problem = note_problem
        self.highest = 0

    @staticmethod
    def check_room(processes):
        """Raises MemoryError when so many processes may need more than half of the machine's memory, or than is free."""
        total, available = machine_memory()
        needed = processes * PROCESS_MEGABYTES * MEGABYTE
        room = min(int(total * PART_OF_MACHINE), available)
        if needed > room:
            raise MemoryError(f"--controls, --proxies: {processes} processes of {PROCESS_MEGABYTES} MB need "
                              f"{needed // MEGABYTE} MB; half of the machine's memory, or what is free of it, is "
                              f"{room // MEGABYTE} MB")

    def run(self):
        limit = int(machine_memory()[0] * PART_OF_MACHINE)
        while not self.over.wait(POLL_SECONDS):
            used = sum(resident_bytes(process_id) for process_id in self.process_ids())
            self.highest = max(self.highest, used)
            if used > limit:
                self.note_problem(f"the processes use {used // MEGABYTE} MB, more than half of the machine's memory")
                self.over.set()
