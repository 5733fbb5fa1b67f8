"""A fleet of cairnhollow programs on loopback, and the ways to break it."""

import json
import os
import shutil
import signal
import socket
import sys
import time
from pathlib import Path

from fleetlib import http_calls
from fleetlib.processes import ProcessFile, end_all
from fleetlib.relay import CUTS_FILE, LINKS_FILE
from fleetlib.settings import copy_deployment, read_deployment

ROOT = Path(__file__).resolve().parents[2]
STOP_SECONDS = 10
# A proxy waits this long for open transactions (drain_limit), and a little more.
DRAIN_SECONDS = 40
SERVING_SECONDS = 30
PRIMARY_SECONDS = 10
POLL_SECONDS = 0.1
# How long taken ports are waited for, all together.
PORT_SECONDS = 2
# Where a relayed node listens: its published port and this.
LINK_PORT_OFFSET = 7000
EPHEMERAL_PORTS_FILE = Path("/proc/sys/net/ipv4/ip_local_port_range")  # ip(7)
# Callers' edge first, so that what is in flight can still be finished behind it.
STOP_ORDER = ["proxy", "control", "database", "platform"]


def bind_fault(endpoint):
    """Why nothing can listen there; empty when it can."""
    host, _, port = endpoint.rpartition(":")
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, int(port)))
        except OSError as error:
            return error.strerror
    return ""


class FleetError(Exception):
    """Told to the user as one line."""


class Fleet:
    def __init__(self, run_folder, programs_folder, links=False):
        """`links`: start with a relay between the processes, so that cut() works."""
        self.run_folder = Path(run_folder).resolve()
        self.programs_folder = Path(programs_folder).resolve()
        self.links_file = self.run_folder / LINKS_FILE
        self.with_links = links or self.links_file.exists()
        self.deployment_folder = self.run_folder / "deployment"

    @classmethod
    def from_environment(cls):
        run_folder = os.environ.get("CAIRNHOLLOW_RUN", ROOT / "build" / "run")
        programs_folder = os.environ.get("CAIRNHOLLOW_BIN", ROOT / "build" / "bin")
        return cls(run_folder, programs_folder, links=os.environ.get("CAIRNHOLLOW_LINKS") == "1")

    # Start and stop

    def start(self, deployment, names):
        example = ROOT / "examples" / deployment
        if not example.is_dir():
            raise FleetError(f"{example.relative_to(ROOT)}: no such deployment")
        nodes = read_deployment(example / "settings")
        for name in names:
            if name not in nodes:
                raise FleetError(f"{name}: no such node in {deployment}")
        running = [name for name in nodes if self.process(name).process_id() is not None]
        wanted = [node for name, node in nodes.items() if name in names or not (names or node.is_standby)]
        already = [node.name for node in wanted if node.name in running]
        if already:
            raise FleetError(f"already running: {', '.join(already)} (tools/fleet stop ends them)")
        copy_deployment(example, self.deployment_folder, int(os.environ.get("CAIRNHOLLOW_PORT_OFFSET", "0")))
        copies = [self.nodes()[node.name] for node in wanted]
        self._check_ports(copies)
        if self.with_links and not self.links_file.exists():
            self._write_links()
            self._check_ports(copies)  # now those that they listen on behind the relay
            self._start_relay()
        for node in sorted(copies, key=lambda node: STOP_ORDER.index(node.role), reverse=True):
            self._launch(node)

    def stop(self):
        nodes = self.nodes()
        self.heal()
        for role in STOP_ORDER:
            files = [self.process(name) for name, node in nodes.items() if node.role == role]
            killed = end_all(files, STOP_SECONDS)
            if killed:
                print(f"killed after {STOP_SECONDS} s: {', '.join(killed)}", file=sys.stderr)
        end_all([self.process("relay")], STOP_SECONDS)
        self.links_file.unlink(missing_ok=True)

    def _write_links(self):
        """Control nodes and databases listen elsewhere; the relay listens on their published endpoints."""
        links = {}
        for name, node in self.nodes().items():
            if node.link_key:
                published = node.port_of(node.link_key)
                links[name] = (published, published + LINK_PORT_OFFSET)
        self.run_folder.mkdir(parents=True, exist_ok=True)
        self.links_file.write_text(json.dumps(links))

    def _start_relay(self):
        relay = Path(__file__).with_name("relay.py")
        self.process("relay").start([sys.executable, str(relay), str(self.run_folder)], self.run_folder,
                                    self.run_folder / "logs" / "relay.log")

    def restart(self, name):
        node = self._node(name)
        if self.process(name).process_id() is not None:
            raise FleetError(f"{name} is running")
        self._check_ports([node])
        self._launch(node)

    def _launch(self, node):
        program = self.programs_folder / node.program
        if not program.exists():
            raise FleetError(f"{program}: not built")
        command = [str(program), f"--settings={node.settings_file}"]
        if self.with_links and node.link_key:
            command.append(f"--set={node.link_key}={self._listening_endpoints(node)[node.link_key]}")
        log_file = self.run_folder / "logs" / f"{node.name}.log"
        self.process(node.name).start(command, self.run_folder, log_file)

    def _listening_endpoints(self, node):
        """By settings key, as the node's program is told: a relayed one leaves the published port to the relay."""
        endpoints = dict(node.endpoints)
        if self.links_file.exists() and node.link_key:
            endpoints[node.link_key] = f"127.0.0.1:{node.port_of(node.link_key) + LINK_PORT_OFFSET}"
        return endpoints

    def _check_ports(self, nodes):
        """A killed process may hold its ports for a moment after it counts as ended: its threads end one by one."""
        deadline = time.monotonic() + PORT_SECONDS
        first_ephemeral = int(EPHEMERAL_PORTS_FILE.read_text().split()[0])
        for node in nodes:
            for key, endpoint in self._listening_endpoints(node).items():
                if int(endpoint.rpartition(":")[2]) >= first_ephemeral:
                    raise FleetError(f"{endpoint} ({key} of {node.name}): the system gives ports from {first_ephemeral} "
                                     "to connections; lower CAIRNHOLLOW_PORT_OFFSET")
                fault = bind_fault(endpoint)
                while fault and time.monotonic() < deadline:
                    time.sleep(POLL_SECONDS)
                    fault = bind_fault(endpoint)
                if fault:
                    raise FleetError(f"{endpoint} ({key} of {node.name}) is taken: {fault}")

    # Breaking

    def kill(self, name):
        self._signal(name, signal.SIGKILL)
        self.process(name).wait_until_ended(STOP_SECONDS)

    def terminate(self, name):
        self._signal(name, signal.SIGTERM)

    def wait_until_ended(self, name):
        if not self.process(name).wait_until_ended(DRAIN_SECONDS):
            raise FleetError(f"{name} has not ended after {DRAIN_SECONDS} s")

    def freeze(self, name):
        self._signal(name, signal.SIGSTOP)

    def thaw(self, name):
        self._signal(name, signal.SIGCONT)

    def wipe(self, name):
        node = self._node(name)
        if self.process(name).process_id() is not None:
            raise FleetError(f"{name} is running")
        shutil.rmtree(self.run_folder / node.values["data_folder"], ignore_errors=True)

    def tune(self, name, tunables):
        answer = http_calls.call(self._node(name).values["endpoint"], "POST", "/admin/faults", tunables)
        if answer is None or answer[0] != 200:
            raise FleetError(f"{name}: {answer[1] if answer else 'no answer'}")

    def cut(self, sources, destinations, both_ways=True):
        """Holds the bytes from each source to each destination. Names of nodes or zones."""
        if not self.links_file.exists():
            raise FleetError("links can be cut only in a fleet that was started with CAIRNHOLLOW_LINKS=1")
        pairs = {(a, b) for a in self._named(sources) for b in self._named(destinations) if a != b}
        if both_ways:
            pairs |= {(b, a) for a, b in pairs}
        self._write_cuts(pairs | {tuple(pair) for pair in self._read_cuts()})

    def heal(self):
        if self.links_file.exists():
            self._write_cuts([])

    def _named(self, words):
        """Nodes by name or zone."""
        found = [name for name, node in self.nodes().items() for word in words if word in (name, node.zone)]
        if not found:
            raise FleetError(f"{', '.join(words)}: no such node or zone")
        return found

    def _read_cuts(self):
        file = self.run_folder / CUTS_FILE
        return json.loads(file.read_text()) if file.exists() else []

    def _write_cuts(self, pairs):
        """In one step, so that the relay never reads half a file."""
        draft = self.run_folder / f"{CUTS_FILE}.new"
        draft.write_text(json.dumps(sorted(pairs)))
        draft.replace(self.run_folder / CUTS_FILE)

    # Watching

    def print_status(self):
        for name, node in self.nodes().items():
            process = self.process(name)
            process_id = process.process_id()
            state = "ended" if process_id is None else "frozen" if process.is_frozen() else "running"
            print(f"{name:<28} {node.program:<22} {process_id or '-':>8} {state}")

    def endpoints_of(self, role):
        """Where callers, operators or the database's clients reach the nodes of a role that were started."""
        key = {"proxy": "caller_endpoint", "control": "operator_endpoint"}.get(role, "endpoint")
        nodes = [node for node in self.nodes().values() if node.role == role]
        return [node.values[key] for node in nodes if self.process(node.name).path.exists()]

    def primary_of(self, group):
        members = [node for node in self.nodes().values() if node.group == group]
        if not members:
            raise FleetError(f"{group}: no such group")
        deadline = time.monotonic() + PRIMARY_SECONDS
        while time.monotonic() < deadline:
            primary = self._find_primary(members)
            if primary:
                return primary
            time.sleep(POLL_SECONDS)
        raise FleetError(f"{group} has no primary after {PRIMARY_SECONDS} s")

    def wait_until_serving(self):
        proxies = [node for node in self.nodes().values() if node.role == "proxy"]
        deadline = time.monotonic() + SERVING_SECONDS
        while proxies:
            proxies = [node for node in proxies if not self.is_ready(node)]
            if proxies and time.monotonic() > deadline:
                names = ", ".join(node.name for node in proxies)
                raise FleetError(f"not serving after {SERVING_SECONDS} s: {names}")
            time.sleep(POLL_SECONDS)

    def is_ready(self, node):
        answer = http_calls.call(node.values["caller_endpoint"], "GET", "/readyz")
        return answer is not None and answer[0] == 200

    def _find_primary(self, members):
        """The member that serves as primary in the highest term."""
        best_term, best = -1, None
        for node in members:
            process = self.process(node.name)
            if process.process_id() is None or process.is_frozen():
                continue
            answer = http_calls.call(node.values["endpoint"], "GET", "/v1/status")
            if answer is None or answer[0] != 200:
                continue
            status = answer[1]
            if status.get("role") == "primary" and status["term"] > best_term:
                best_term, best = status["term"], node.name
        return best

    # Parts

    def nodes(self):
        """By name, as they were started."""
        if not self.deployment_folder.is_dir():
            raise FleetError(f"nothing was started in {self.run_folder}")
        return read_deployment(self.deployment_folder / "settings")

    def _node(self, name):
        nodes = self.nodes()
        if name not in nodes:
            raise FleetError(f"{name}: no such node")
        return nodes[name]

    def process(self, name):
        return ProcessFile(self.run_folder / "pids" / name)

    def _signal(self, name, signal_number):
        self._node(name)
        if not self.process(name).send(signal_number):
            raise FleetError(f"{name} is not running")
