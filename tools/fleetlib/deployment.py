"""A deployment of examples/, started with its manifests applied."""

import fcntl
import shutil
import subprocess
import time

from fleetlib import http_calls
from fleetlib.fleet import Fleet, FleetError

APPLY_ATTEMPTS = 5
LEADER_SECONDS = 15
POLL_SECONDS = 0.1


def lock_run_folder(run_folder):
    """Keeps two runs from sharing a run folder. The open lock file; closing it lets go."""
    run_folder.parent.mkdir(parents=True, exist_ok=True)
    lock = open(run_folder.with_suffix(".lock"), "w", encoding="utf-8")
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as error:
        raise FleetError(f"another run uses {run_folder}") from error
    return lock


class Deployment:
    def __init__(self, name, fleet, lock=None):
        self.name = name
        self.fleet = fleet
        self.lock = lock  # held as long as this object lives

    @classmethod
    def fresh(cls, name, run_folder, links=False):
        """With an empty run folder; what an earlier run left running there is ended first."""
        fleet = Fleet(run_folder, Fleet.from_environment().programs_folder, links)
        lock = lock_run_folder(fleet.run_folder)
        if fleet.deployment_folder.is_dir():
            fleet.stop()
        shutil.rmtree(fleet.run_folder, ignore_errors=True)
        return cls(name, fleet, lock)

    def start(self):
        self.fleet.start(self.name, [])
        self.apply_manifests()
        self.fleet.wait_until_serving()
        for group in self.groups():
            self.fleet.primary_of(group)

    def apply_manifests(self):
        """A control node refuses until the voters have elected a leader: then it is tried again."""
        manifests = self.fleet.deployment_folder / "manifests"
        for _ in range(APPLY_ATTEMPTS):
            if self.operate("apply", "-f", str(manifests), "--wait", "--timeout=10s") == 0:
                return
            time.sleep(1)
        raise FleetError("the manifests could not be applied")

    def operate(self, *words):
        """Runs the operator's command line against the control nodes; its exit code."""
        servers = [f"--server={endpoint}" for endpoint in self.fleet.endpoints_of("control")]
        command = [str(self.fleet.programs_folder / "cairnhollow"), *words, *servers]
        return subprocess.run(command, check=False).returncode

    def nodes(self, role):
        """Of a role, without standbys."""
        return [node for node in self.fleet.nodes().values() if node.role == role and not node.is_standby]

    def groups(self):
        return sorted({node.group for node in self.nodes("database")})

    def members(self, group):
        return [node.name for node in self.nodes("database") if node.group == group]

    def replica_of(self, group):
        primary = self.fleet.primary_of(group)
        return next(name for name in self.members(group) if name != primary)

    def leader_known_to(self, control_node):
        """None when the node does not answer or knows none."""
        endpoint = self.fleet.nodes()[control_node].values["operator_endpoint"]
        answer = http_calls.call(endpoint, "GET", "/v1/status")
        return answer[1].get("leader") or None if answer and answer[0] == 200 else None

    def control_leader(self):
        """The leader by the word of any control node that answers."""
        deadline = time.monotonic() + LEADER_SECONDS
        while time.monotonic() < deadline:
            for node in self.nodes("control"):
                leader = self.leader_known_to(node.name)
                if leader:
                    return leader
            time.sleep(POLL_SECONDS)
        raise FleetError(f"no control leader after {LEADER_SECONDS} s")
