"""Small stand-ins for the review's scripts: backends, the platform's promotion call, an operator and callers.

They follow the users' PROTOCOL.md and nothing else. The fleet's own processes are started with the commands and
the settings keys of the deploy file, on loopback addresses. Everything runs in one asyncio loop.
"""
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[2]
STARTED = time.monotonic()


def now():
    return time.monotonic() - STARTED


class Record:
    """What was sent, answered and run, line by line with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{now():9.3f} {text}\n")
        self.file.flush()


def find_program(name):
    for folder in (os.environ.get("CAIRNHOLLOW_BIN"), "target/bin", "build/bin"):
        if folder and (REPOSITORY / folder / name).exists():
            return REPOSITORY / folder / name
    return None


def is_free(address, port):
    with socket.socket() as probe:
        try:
            probe.bind((address, port))
        except OSError:
            return False
        return True


class Addresses:
    """Hands out one loopback address a machine, with the same ports free at each."""

    def __init__(self):
        self.base = f"127.{random.randint(16, 200)}.{random.randint(1, 250)}."
        self.last = 9
        while True:
            self.port = random.randint(15000, 30000)
            if all(is_free(self.base + str(host), self.port + step) for host in range(10, 40) for step in range(6)):
                return

    def next(self):
        self.last += 1
        return self.base + str(self.last)


# ---------------------------------------------------------------------------------------------- HTTP


async def http_call(endpoint, method, path, body=None, timeout=1.0):
    """Returns (status, body, headers), or None without a response."""
    host, port = endpoint.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            data = b"" if body is None else json.dumps(body).encode()
            head = f"{method} {path} HTTP/1.1\r\nHost: {endpoint}\r\nContent-Type: application/json\r\n"
            head += f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n"
            writer.write(head.encode() + data)
            status = int((await reader.readline()).split()[1])
            headers = await read_headers(reader)
            content = await reader.readexactly(int(headers.get("content-length", 0)))
            return status, content, headers
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, IndexError, ValueError):
        return None
    finally:
        if writer:
            writer.close()


async def read_headers(reader):
    headers = {}
    while True:
        line = (await reader.readline()).decode().strip()
        if not line:
            return headers
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()


# ---------------------------------------------------------------------------------------------- backends


class Group:
    """A service: one primary and its replicas."""

    def __init__(self, name, record):
        self.name = name
        self.record = record
        self.members = []
        self.newest_term = 1
        self.promotions = []  # (time, backend, its log then)
        self.runs = []  # (time, statement id, who the backend was told, text)

    def member(self, backend_id):
        return next((member for member in self.members if member.id == backend_id), None)

    def promote(self, backend):
        """The named backend leads the next term with what it has received and nothing more."""
        if backend.is_primary and backend.term == self.newest_term:
            return
        self.newest_term += 1
        backend.term = self.newest_term
        backend.is_primary = True
        backend.pause_term = 0
        backend.applied = len(backend.log)
        self.promotions.append((now(), backend, list(backend.log)))
        self.record(f"promoted {backend.id} of {self.name}: leads term {backend.term} with {len(backend.log)} commits")


class Backend:
    """One backend. Its log survives a crash."""

    def __init__(self, group, backend_id, address, zone, controls, slots=2, work=0.004, lag=0.06, beat=1.2):
        self.group, self.id, self.address, self.zone = group, backend_id, address, zone
        self.controls, self.slots, self.work, self.lag, self.beat = controls, slots, work, lag, beat
        self.log = []  # (term, statement id, thing, data)
        self.applied = 0
        self.received_at = []
        self.term = 1
        self.is_primary = not group.members
        self.pause_term = 0
        self.deaf = False
        self.running = False
        self.beats = False
        self.state = "ready"
        self.sequence = 0
        self.heartbeat_address = None
        self.old_since = None
        self.server = None
        self.writers = set()
        self.tasks = []
        self.busy = None
        group.members.append(self)

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        self.busy = asyncio.Semaphore(self.slots)
        self.server = await asyncio.start_server(self.serve, host, int(port), limit=2**21)
        self.running = True
        self.beats = True
        self.tasks = [asyncio.create_task(self.replicate()), asyncio.create_task(self.send_beats())]

    def crash(self):
        """The process ends; its connections are reset. Its log stays on its disk."""
        self.group.record(f"crash of {self.id} ({'primary' if self.is_primary else 'replica'}, {len(self.log)} commits)")
        self.end()

    def end(self):
        self.running = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in self.tasks:
            task.cancel()

    async def come_back(self):
        """Starts again with its log, as a replica if another has been promoted."""
        if self.is_primary and self.group.newest_term > self.term:
            self.is_primary = False
        self.pause_term = 0
        self.applied = len(self.log)
        self.received_at = [0.0] * len(self.log)
        await self.start()
        self.group.record(f"{self.id} is back as {'primary' if self.is_primary else 'replica'}, {len(self.log)} commits")

    def position(self, count):
        return f"{self.log[count - 1][0]}.{count}" if count else "1.0"

    # -- replication

    async def replicate(self):
        while self.running:
            await asyncio.sleep(0.002)
            at = time.monotonic()
            if self.is_primary:
                self.applied = len(self.log)
            while self.applied < len(self.log) and at >= self.received_at[self.applied] + self.lag:
                self.applied += 1
            leaders = [other for other in self.group.members if other is not self and other.running and other.is_primary]
            source = max(leaders, key=lambda other: other.term, default=None)
            if source is None or source.term < self.term:
                continue
            if self.is_primary:
                if source.term == self.term:
                    continue
                self.old_since = self.old_since or at
                if at - self.old_since < 1.0:
                    continue
                self.is_primary = False
                self.group.record(f"{self.id} steps down, a second after it reached the new primary")
            self.old_since = None
            if self.deaf or self.pause_term:
                continue
            common = 0
            while common < min(len(self.log), len(source.log)) and self.log[common] == source.log[common]:
                common += 1
            if common < len(self.log):
                self.group.record(f"{self.id} rolls back {len(self.log) - common} commits")
                del self.log[common:], self.received_at[common:]
                self.applied = min(self.applied, common)
            self.term = source.term
            for entry in source.log[common:]:
                self.log.append(entry)
                self.received_at.append(at)

    def is_replicated(self, index, entry):
        return any(
            other is not self and other.running and len(other.log) >= index and other.log[index - 1] == entry
            for other in self.group.members
        )

    # -- heartbeats

    def heartbeat(self):
        self.sequence += 1
        return {
            "Service": self.group.name, "Addr": self.address, "Zone": self.zone, "Version": "v1", "Slots": self.slots,
            "State": self.state, "ColdRemainingMs": 0, "DbRole": "primary" if self.is_primary else "replica",
            "Seq": self.sequence,
        }

    async def send_beats(self):
        while self.running and self.beats:
            await self.tell("PUT")
            await asyncio.sleep(self.beat)

    async def tell(self, method):
        """One heartbeat or DELETE, to node after node until a 2xx. Returns whether it was acknowledged."""
        body = self.heartbeat() if method == "PUT" else None
        nodes = random.sample(self.controls, len(self.controls))
        if self.heartbeat_address and method == "PUT":
            nodes.insert(0, self.heartbeat_address)
        for node in nodes:
            target = node
            for _ in range(3):
                answer = await http_call(target, method, f"/instances/{self.id}", body)
                if answer and answer[0] == 307:
                    target = answer[2]["location"].split("/")[2]
                    continue
                break
            if answer and answer[0] // 100 == 2:
                named = json.loads(answer[1] or b"{}").get("HeartbeatAddr") if method == "PUT" else None
                self.heartbeat_address = named or self.heartbeat_address
                return True
            if node == self.heartbeat_address:
                self.heartbeat_address = None
        return False

    # -- the wire

    async def serve(self, reader, writer):
        self.writers.add(writer)
        session = {"who": "", "state": "I", "read_only": False, "term": 0, "writes": [], "values": {}, "prepared": {}}
        try:
            line = (await reader.readline()).decode().rstrip("\r\n")
            words = line.split(" ")
            if words[0] != "START" or words[1] != self.group.name or (len(words) > 3 and words[3] != self.id):
                writer.write(b"ERR MISROUTED -\r\n")
                await writer.drain()
                return
            session["who"] = words[2]
            writer.write(f"READY I {self.position(self.applied)}\r\n".encode())
            while self.running:
                line = await reader.readline()
                if not line.endswith(b"\r\n"):
                    return
                line = line[:-2].decode()
                if line == "BYE":
                    return
                _, statement_id, text = line.split(" ", 2)
                rows, end = await self.answer(session, statement_id, text)
                if not self.running:
                    return
                shown = len(self.log) if self.is_primary else self.applied
                out = "".join(f"ROW {row}\r\n" for row in rows) + end + f"\r\nREADY {session['state']} {self.position(shown)}\r\n"
                writer.write(out.encode())
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, session, statement_id, text):
        def refuse(code):
            if session["state"] == "T":
                session["state"] = "E"
            return [], f"ERR {code} {self.id}"

        if text.startswith("AFTER "):
            _, needed, text = text.split(" ", 2)
            term, number = (int(part) for part in needed.split("."))
            if number and (self.applied < number or self.log[number - 1][0] < term):
                return refuse("LAGGING")
        verb, _, rest = text.partition(" ")
        if verb in ("STATUS", "PAUSE", "RESUME", "DEMOTE"):
            if verb == "PAUSE" and not self.is_primary and int(rest) > self.group.newest_term:
                self.pause_term = int(rest)
            if verb == "RESUME":
                self.pause_term = 0
            if verb == "DEMOTE" and self.is_primary and self.term < int(rest):
                self.is_primary = False
            role = "primary" if self.is_primary else "replica"
            return [f"{role} {self.term} {self.position(len(self.log))} {self.pause_term} 0 0 {len(self.writers)}"], "DONE -"
        if verb == "RESET":
            session["values"].clear()
            session["prepared"].clear()
            return [], "DONE -"
        if session["state"] == "E" and verb != "ROLLBACK":
            return refuse("MALFORMED")
        if verb == "SET":
            name, _, value = rest.partition(" ")
            session["values"][name] = value
            return [], "DONE -"
        if verb == "PREPARE":
            name, access, shape = rest.split(" ", 2)
            session["prepared"][name] = (access, shape)
            return [], "DONE -"
        if verb == "BEGIN":
            if rest != "READ" and not self.is_primary:
                return refuse("READONLY")
            session.update(state="T", read_only=rest == "READ", term=self.term, writes=[])
            return [], "DONE -"
        if verb == "ROLLBACK":
            session.update(state="I", writes=[])
            return [], "DONE -"
        if verb == "EXEC":
            name, _, rest = rest.partition(" ")
            if name not in session["prepared"]:
                return refuse("NOSTMT")
            verb = session["prepared"][name][0]
        async with self.busy:
            await asyncio.sleep(self.work)
            return await self.run(session, statement_id, verb, rest, refuse)

    async def run(self, session, statement_id, verb, rest, refuse):
        signature = f"DONE sig.{self.group.name}.{statement_id}"
        self.group.runs.append((now(), statement_id, session["who"], f"{verb} {rest}".strip()))
        thing, _, data = rest.partition(" ")
        if verb == "READ":
            shown = len(self.log) if self.is_primary else self.applied
            values = [entry[3] for entry in self.log[:shown] if entry[2] == thing]
            values += [write[3] for write in session["writes"] if write[2] == thing]
            self.group.record(f"run {statement_id} READ {thing} at {self.id} of {self.group.name}, "
                              f"{'primary' if self.is_primary else 'replica'} at {self.position(shown)}")
            return [" ".join(values) or "-"], signature
        if verb == "WRITE":
            if not self.is_primary or session["read_only"]:
                return refuse("READONLY")
            session["writes"].append((self.term, statement_id, thing, data))
            if session["state"] == "T":
                return [], signature
        elif verb == "COMMIT":
            if session["writes"] and (not self.is_primary or session["term"] != self.term):
                return refuse("READONLY")
        else:
            return refuse("MALFORMED")
        writes, session["writes"], session["state"] = session["writes"], [], "I"
        for entry in writes:
            self.log.append(entry)
            self.received_at.append(time.monotonic())
        index = len(self.log)
        term = self.term
        while writes and not self.is_replicated(index, writes[-1]):
            if not self.running or not self.is_primary or self.term != term:
                return refuse("FAILED")
            await asyncio.sleep(0.001)
        if writes:
            self.group.record(f"commit {statement_id} at {self.id} of {self.group.name}: {term}.{index}")
        return [], signature


# ---------------------------------------------------------------------------------------------- platform


class Platform:
    """POST /promotion: takes the call and makes the named backend the primary some hundred ms later."""

    def __init__(self, address, groups, record, takes=0.3):
        self.address, self.groups, self.record, self.takes = address, groups, record, takes
        self.calls = []  # (time, service, id, holder, token)

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port))

    async def serve(self, reader, writer):
        try:
            request = (await reader.readline()).split()
            headers = await read_headers(reader)
            body = json.loads(await reader.readexactly(int(headers.get("content-length", 0))))
            token, holder = int(headers["x-fencing-token"]), headers["x-lease-holder"]
            self.calls.append((now(), body["Service"], body["Id"], holder, token))
            self.record(f"promotion call: {body['Service']} to {body['Id']} by {holder}, token {token}")
            group = next(group for group in self.groups if group.name == body["Service"])
            backend = group.member(body["Id"])
            status = 200 if request[0] == b"POST" and backend and backend.running else 409
            if status == 200:
                asyncio.get_running_loop().call_later(self.takes, group.promote, backend)
            writer.write(f"HTTP/1.1 {status} -\r\nContent-Length: 0\r\nConnection: close\r\n\r\n".encode())
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, KeyError, IndexError):
            pass
        finally:
            writer.close()


# ---------------------------------------------------------------------------------------------- callers


class Caller:
    """One session. query() returns (rows, 'DONE' or 'ERR', rest, state), or None when the connection ended."""

    def __init__(self, front, database, record, who="review"):
        self.front, self.database, self.record, self.who = front, database, record, who
        self.reader = self.writer = None

    async def open(self, timeout=2.0):
        try:
            async with asyncio.timeout(timeout):
                host, port = self.front.rsplit(":", 1)
                self.reader, self.writer = await asyncio.open_connection(host, int(port), limit=2**21)
                self.writer.write(f"START {self.database} {self.who}\r\n".encode())
                line = (await self.reader.readline()).decode().strip()
                if line.startswith("READY"):
                    return True
        except (OSError, asyncio.TimeoutError):
            pass
        self.close()
        return False

    def close(self):
        if self.writer:
            self.writer.close()

    async def query(self, statement_id, text, timeout=3.0):
        self.record(f"sent {statement_id} to {self.front}: {text}")
        answer = await self.exchange(statement_id, text, timeout)
        self.record(f"answer {statement_id}: {answer if answer else 'none'}")
        return answer

    async def exchange(self, statement_id, text, timeout):
        try:
            async with asyncio.timeout(timeout):
                self.writer.write(f"QUERY {statement_id} {text}\r\n".encode())
                rows, end, rest = [], None, ""
                while True:
                    line = await self.reader.readline()
                    if not line.endswith(b"\r\n"):
                        return None
                    word, _, tail = line[:-2].decode().partition(" ")
                    if word == "ROW":
                        rows.append(tail)
                    elif word in ("DONE", "ERR"):
                        end, rest = word, tail
                    elif word == "READY":
                        return rows, end, rest, tail.split(" ")[0]
        except (OSError, asyncio.TimeoutError):
            return None


# ---------------------------------------------------------------------------------------------- the fleet


class Fleet:
    """The project's own processes, each with an address, a settings file and a log file of its own."""

    def __init__(self, record, zones=("a", "b", "c"), fronts=2, front_settings=()):
        self.record, self.front_settings = record, front_settings
        self.folder = Path(tempfile.mkdtemp(prefix="cairnhollow-review-"))
        self.addresses = Addresses()
        port = self.addresses.port
        self.port = port
        self.zones = zones
        self.core = {f"core-{zone}-1": (self.addresses.next(), zone) for zone in zones}
        self.fronts = {f"front-{zones[i % len(zones)]}-{i + 1}": (self.addresses.next(), zones[i % len(zones)])
                       for i in range(fronts)}
        self.platform_address = f"{self.addresses.next()}:{port}"
        self.controls = [f"{address}:{port + 2}" for address, _ in self.core.values()]
        self.processes = {}
        self.logs = {}

    def front(self, name):
        return f"{self.fronts[name][0]}:{self.port + 3}"

    def write_settings(self, name, first_start):
        port = self.port
        regions = "{ " + ", ".join(f"{zone}: region" for zone in self.zones) + " }"
        seeds = "[" + ", ".join(self.controls) + "]"
        if name in self.core:
            address, zone = self.core[name]
            lines = [
                f"data_folder: {self.folder / 'data' / name}", f"operator_endpoint: {address}:{port + 2}",
                f"first_start: {'true' if first_start else 'false'}", f"promotion_endpoint: {self.platform_address}",
                "lost_disks_tolerated: 1", "promotion_rate: 50",
            ]
        else:
            address, zone = self.fronts[name]
            lines = [
                f"session_endpoint: {address}:{port + 3}", f"readiness_endpoint: {address}:{port + 4}",
                f"control_port: {port}", "drain_limit: 6s", "link_rate: 1000",
                *self.front_settings,
            ]
        lines += ["fleet: registered", f"node: {name}", f"zone: {zone}", f"seeds: {seeds}",
                  f"peer_endpoint: {address}:{port}", f"metrics_endpoint: {address}:{port + 5}",
                  f"zone_regions: {regions}"]
        path = self.folder / f"{name}.yaml"
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")
        return path

    def start(self, name, first_start=False):
        settings = self.write_settings(name, first_start)
        program = find_program("cairnhollow-control" if name in self.core else "cairnhollow-proxy")
        log = open(self.folder / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen([str(program), f"--settings={settings}"], cwd=REPOSITORY, stdout=log,
                                                stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)
        self.logs[name] = self.folder / f"{name}.log"

    def add_core(self, name, zone):
        """A machine of the core that joins later, at a new address and with an empty disk."""
        self.core[name] = (self.addresses.next(), zone)

    def control_address(self, name):
        return f"{self.core[name][0]}:{self.port + 2}"

    def wipe(self, name):
        """The machine has lost its disk."""
        self.record(f"{name} loses its disk")
        shutil.rmtree(self.folder / "data" / name, ignore_errors=True)

    def start_all(self):
        for name in list(self.core) + list(self.fronts):
            self.start(name, first_start=True)

    def signal(self, name, number):
        self.record(f"{signal.Signals(number).name} to {name}")
        self.processes[name].send_signal(number)
        if number == signal.SIGKILL:
            self.processes[name].wait()

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)

    def events(self, name, *wanted):
        """The events of a node's log that are named."""
        found = []
        for line in self.logs[name].read_text(encoding="utf-8", errors="replace").splitlines():
            try:
                event = json.loads(line)
            except ValueError:
                continue
            if event.get("event") in wanted:
                found.append(event)
        return found

    async def is_ready(self, name):
        answer = await http_call(f"{self.fronts[name][0]}:{self.port + 4}", "GET", "/readiness", timeout=0.5)
        return bool(answer) and answer[0] == 200

    async def put_config(self, config, timeout=10.0, nodes=None):
        """Sends a configuration until it is acknowledged. Returns whether it was."""
        end = time.monotonic() + timeout
        nodes = nodes or self.controls
        while time.monotonic() < end:
            for node in random.sample(nodes, len(nodes)):
                answer = await http_call(node, "PUT", "/config", config)
                if answer and answer[0] == 200:
                    self.record(f"configuration {config['Version']} acknowledged by {node}")
                    return True
                if answer and answer[0] in (400, 409, 412, 413, 422):
                    self.record(f"configuration {config['Version']} refused: {answer[0]} {answer[1]!r}")
                    return False
            await asyncio.sleep(0.05)
        return False


def make_config(version, routes, services, max_connections=32):
    """routes: (database, kind, service) triples."""
    return {
        "Version": version,
        "Routes": [
            {"Name": f"r-{database}-{service}", "Hostname": database, "PathPrefix": "/", "RouteKind": kind, "TimeoutMs": 800,
             "TargetLatencyMs": 200, "Priority": 1, "Service": service, "MaxAttempts": 2, "MaxStalenessMs": 2500}
            for database, kind, service in routes
        ],
        "Services": [
            {"Name": service, "HealthPath": "/health", "MaxConns": max_connections, "Protocol": "h1", "Tls": False,
             "SyncReplicas": 1}
            for service in services
        ],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000,
                   "TxnIdleMs": 3000},
    }


async def wait_for(check, timeout, pause=0.05):
    """Waits until the (possibly asynchronous) check holds. Returns whether it did."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        result = check()
        if asyncio.iscoroutine(result):
            result = await result
        if result:
            return True
        await asyncio.sleep(pause)
    return False
