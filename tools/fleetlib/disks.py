"""How many control nodes' disks are lost and not made up for yet, by the word of the leader's log."""

import json
import threading
import time


def utc_now():
    return time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime())


class Disks:
    """A lost disk is made up for when a voter with an intact one has taken its place."""

    def __init__(self, tolerated, control_logs):
        """`control_logs`: returns the log files of all control nodes."""
        self.tolerated = tolerated
        self.control_logs = control_logs
        self.lost = {}  # time of the loss by the address that the node votes under
        self.lock = threading.Lock()

    def take(self, node):
        """Whether one more may be lost, which is noted then."""
        with self.lock:
            for address, since in list(self.lost.items()):
                if self._is_made_up_for(address, since):
                    del self.lost[address]
            if node.address in self.lost or len(self.lost) >= self.tolerated:
                return False
            self.lost[node.address] = utc_now()
            return True

    def _is_made_up_for(self, address, since):
        for log in self.control_logs():
            for line in log.read_text(errors="replace").splitlines() if log.exists() else []:
                if '"voter_changed"' not in line or address not in line:
                    continue
                try:
                    entry = json.loads(line)
                except ValueError:
                    continue  # cut short by the end of its writer
                if entry.get("lost") == address and entry.get("time", "") > since:
                    return True
        return False
