"""Processes that the fleet started, remembered by process id and start time, and signalled only by these."""

import os
import signal
import subprocess
import time
from dataclasses import dataclass
from pathlib import Path

POLL_SECONDS = 0.05
# Fields of /proc/PID/stat behind the command's closing bracket (proc(5)): state is the first, num_threads the 18th,
# starttime the 20th.
STATE_FIELD = 0
THREADS_FIELD = 17
START_TIME_FIELD = 19


def read_stat(process_id):
    """State letter and start time of a process; None when there is none or it is a zombie and all its threads have ended:
    until then it holds its files and their locks."""
    try:
        text = Path(f"/proc/{process_id}/stat").read_text()
    except OSError:
        return None
    fields = text.rpartition(")")[2].split()
    if fields[STATE_FIELD] in "ZX" and int(fields[THREADS_FIELD]) <= 1:
        return None
    return fields[STATE_FIELD], fields[START_TIME_FIELD]


@dataclass(frozen=True)
class StartedProcess:
    number: int
    start_time: str

    def state(self):
        """Its letter; None when it has ended."""
        stat = read_stat(self.number)
        return stat[0] if stat and stat[1] == self.start_time else None

    def send(self, signal_number):
        if self.state() is None:
            return False
        os.kill(self.number, signal_number)
        return True

    def wait_until_ended(self, limit_seconds):
        deadline = time.monotonic() + limit_seconds
        while self.state() is not None:
            if time.monotonic() > deadline:
                return False
            time.sleep(POLL_SECONDS)
        return True


class ProcessFile:
    """The newest started process, kept in a file. Who waits for the end of one that others may start again holds on to
    current()."""

    def __init__(self, path):
        self.path = path

    def start(self, command, folder, log_file, environment=None):
        """`environment`: variables added to this process's own."""
        self.path.parent.mkdir(parents=True, exist_ok=True)
        log_file.parent.mkdir(parents=True, exist_ok=True)
        with open(log_file, "ab") as log:
            process = subprocess.Popen(command, cwd=folder, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                                       start_new_session=True, env=os.environ | (environment or {}))
        stat = read_stat(process.pid)
        start_time = stat[1] if stat else "0"
        self.path.write_text(f"{process.pid} {start_time}\n")

    def process_id(self):
        """The id of the process if it is still the one that was started, else None."""
        process = self.current()
        return process.number if process else None

    def is_frozen(self):
        process = self.current()
        return bool(process) and process.state() == "T"

    def send(self, signal_number):
        process = self.current()
        return bool(process) and process.send(signal_number)

    def wait_until_ended(self, limit_seconds):
        process = self.current()
        return process is None or process.wait_until_ended(limit_seconds)

    def forget(self):
        self.path.unlink(missing_ok=True)

    def current(self):
        """None when it has ended."""
        try:
            number, start_time = self.path.read_text().split()
        except (OSError, ValueError):
            return None
        process = StartedProcess(int(number), start_time)
        return process if process.state() else None


def end_all(files, limit_seconds):
    """SIGTERM to all, SIGKILL to those that are left after the limit. Names of those killed."""
    for file in files:
        file.send(signal.SIGCONT)
        file.send(signal.SIGTERM)
    deadline = time.monotonic() + limit_seconds
    killed = []
    for file in files:
        if not file.wait_until_ended(max(0.0, deadline - time.monotonic())):
            file.send(signal.SIGKILL)
            file.wait_until_ended(limit_seconds)
            killed.append(file.path.name)
        file.forget()
    return killed
