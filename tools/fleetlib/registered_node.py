"""Processes of a registered fleet on loopback, each with an address of its own."""

import shutil
import signal
import socket
import threading
import time
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

from fleetlib import http_calls
from fleetlib.processes import ProcessFile

ZONES = ["kelburn", "petone", "porirua"]
PEER_PORT, OPERATOR_PORT, SESSION_PORT, READY_PORT, METRICS_PORT = 7440, 8782, 8784, 8785, 8786
PROMOTION_PORT = 8790
CLAIM_PORT = 8791
NETWORKS = 254 * 63
END_SECONDS = 8
METRICS_SECONDS = 0.2
LEADS = "cairnhollow_registry_is_leader 1"


@dataclass(frozen=True)
class Network:
    """The loopback addresses of a run, so that several stand side by side; 127.0 is left to other tools."""

    second: int
    third: int  # the first of four

    @classmethod
    def of_seed(cls, seed):
        """Seeds share their addresses only when they are a multiple of 16002 apart."""
        return cls(1 + seed % 254, 4 * (seed // 254 % 63))

    @classmethod
    def claim(cls, seed):
        """(the seed's addresses, or the next ones that no other run has; a socket that claims them until it is closed)"""
        for distance in range(NETWORKS):
            network = cls.of_seed(seed + distance)
            claim = socket.socket()
            try:
                claim.bind((f"{network.part(3)}.3", CLAIM_PORT))
                return network, claim
            except OSError:
                claim.close()
        raise OSError("all addresses of runs are taken")

    def part(self, place):
        return f"127.{self.second}.{self.third + place}"

    def node(self, role, number):
        return f"{self.part(0 if role == 'control' else 1)}.{number}"

    @property
    def databases(self):
        """All but the last number, which is the group's."""
        return self.part(2)

    @property
    def environment(self):
        return f"{self.part(3)}.1"

    @property
    def promotion(self):
        return f"{self.part(3)}.2", PROMOTION_PORT


@dataclass
class FleetSettings:
    """What all nodes of a fleet share."""

    folder: Path
    programs: Path
    network: Network
    lost_disks: int = 1
    links: object = None  # Links, or None: the processes are connected directly

    @property
    def seeds(self):
        """Addresses of the control nodes that found the fleet: as many as vote."""
        return [self.network.node("control", number) for number in range(1, 2 * self.lost_disks + 2)]


@dataclass
class Node:
    """One process of the fleet."""

    fleet: FleetSettings
    role: str
    number: int
    starting: threading.Lock = field(default_factory=threading.Lock)
    busy: threading.Lock = field(default_factory=threading.Lock)
    started_at: float = 0.0  # of the monotonic clock

    @property
    def name(self):
        return f"{self.role}-{self.number}"

    @property
    def address(self):
        return self.fleet.network.node(self.role, self.number)

    @property
    def zone(self):
        return ZONES[(self.number - 1) % len(ZONES)]

    @property
    def process(self):
        return ProcessFile(self.fleet.folder / "pids" / self.name)

    @property
    def data(self):
        return self.fleet.folder / "data" / self.name

    @property
    def log_file(self):
        return self.fleet.folder / "logs" / f"{self.name}.log"

    def settings(self, first_start):
        seeds = ", ".join(f"{address}:{OPERATOR_PORT}" for address in self.fleet.seeds)
        lines = ["fleet: registered", f"node: {self.name}", f"zone: {self.zone}", f"seeds: [{seeds}]",
                 f"peer_endpoint: {self.address}:{PEER_PORT}"]
        if self.role == "control":
            lines += [f"data_folder: {self.data}", f"operator_endpoint: {self.address}:{OPERATOR_PORT}",
                      f"first_start: {'true' if first_start else 'false'}",
                      f"metrics_endpoint: {self.address}:{METRICS_PORT}",
                      "promotion_endpoint: {}:{}".format(*self.fleet.network.promotion),
                      f"lost_disks_tolerated: {self.fleet.lost_disks}"]
        else:
            lines += [f"session_endpoint: {self.address}:{SESSION_PORT}", f"control_port: {PEER_PORT}",
                      f"readiness_endpoint: {self.address}:{READY_PORT}", "drain_limit: 6s", "key_bound: 5s"]
        return "\n".join(lines) + "\n"

    def start(self, first_start=False):
        """Unless it runs."""
        with self.starting:
            if self.process.process_id() is not None:
                return
            file = self.fleet.folder / "settings" / f"{self.name}.yaml"
            file.parent.mkdir(parents=True, exist_ok=True)
            file.write_text(self.settings(first_start))
            program = self.fleet.programs / f"cairnhollow-{self.role}"
            variables = self.fleet.links.variables_for(self.name, self.address) if self.fleet.links else None
            self.started_at = time.monotonic()
            self.process.start([str(program), f"--settings={file}"], self.fleet.folder, self.log_file, variables)

    @contextmanager
    def reserved(self):
        """Whether nobody else is breaking this node; reserved for this block then."""
        free = self.busy.acquire(blocking=False)
        try:
            yield free
        finally:
            if free:
                self.busy.release()

    def kill(self):
        process = self.process.current()
        if process:
            process.send(signal.SIGKILL)
            process.wait_until_ended(END_SECONDS)

    def lose_disk(self):
        with self.starting:
            self.kill()
            shutil.rmtree(self.data, ignore_errors=True)

    def leads(self):
        """By its own word."""
        answer = http_calls.call(f"{self.address}:{METRICS_PORT}", "GET", "/metrics", seconds=METRICS_SECONDS)
        return answer is not None and LEADS in str(answer[1])
