"""The project's programs as processes on loopback, started with the commands and templates of the deploy file.

Addresses 127.NET.0.N stand for machines; all machines use the same ports. Everything that is started is ended by
Fleet.end().
"""

import asyncio
import json
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
SETTINGS_PATH = "/etc/cairnhollow/settings.toml"
CALL_SECONDS = 1.0
BOUNDS = {
    "SeedLagS": 3, "AddrReuseS": 2, "ContactMs": 4000, "AckMs": 5000, "CatchUpS": 4, "DrainMs": 7000, "GraceS": 6,
    "LossSlackMs": 200, "ConfigApplyMs": 3000, "DowngradeSlackMs": 250, "MaxStretchMs": 12000, "RecoveryS": 12,
    "FencingRequired": False, "ThawSlackMs": 300,
}
ZONES = {"z1": "r1", "z2": "r1", "z3": "r1"}


class CannotRun(Exception):
    """The case could not be brought about; this says nothing about the rule."""


class Record:
    """record.txt: one line an event, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


# --- settings -------------------------------------------------------------------------------------------------

TAG = re.compile(r"\{\{([#/^]?)([^}|]+)(\|json)?\}\}")


def look_up(name, scopes):
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def as_text(value, as_json):
    if as_json:
        return json.dumps(value)
    if value is None:
        return ""
    if isinstance(value, list):
        return ",".join(as_text(item, False) for item in value)
    if isinstance(value, (dict, bool)):
        return json.dumps(value)
    return str(value)


def render(template, scopes, key="", is_last=True):
    """Fills a settings template as DEPLOY.md describes it."""
    result = ""
    place = 0
    while match := TAG.search(template, place):
        result += template[place:match.start()]
        mark, name, as_json = match.group(1), match.group(2), bool(match.group(3))
        place = match.end()
        if mark in ("#", "^"):
            closing = "{{/" + name + "}}"
            end = template.index(closing, place)
            inner, place = template[place:end], end + len(closing)
            value = look_up(name, scopes)
            result += render_section(inner, value, scopes, mark == "^")
        elif name == ",":
            result += "" if is_last else ","
        elif name == "@":
            result += key
        else:
            result += as_text(look_up(name, scopes), as_json)
    return result + template[place:]


def render_section(inner, value, scopes, inverted):
    given = value is not None and value is not False
    if inverted or not given:
        return render(inner, scopes) if inverted != given else ""
    items = None
    if isinstance(value, dict):
        items = list(value.items())
    elif isinstance(value, list):
        items = [(str(index), item) for index, item in enumerate(value)]
    if items is None:
        return render(inner, scopes)
    return "".join(render(inner, scopes + [item], str(key), index == len(items) - 1)
                   for index, (key, item) in enumerate(items))


# --- processes ------------------------------------------------------------------------------------------------

def free_port(addresses, taken):
    for _ in range(100):
        port = random.randint(20000, 32000)
        if port in taken or port + 1 in taken or port - 1 in taken:
            continue
        try:
            for address in addresses:
                with socket.socket() as probe:
                    probe.bind((address, port))
        except OSError:
            continue
        taken.add(port)
        return port
    raise CannotRun("no free port was found")


class Fleet:
    def __init__(self, record):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="cairnhollow-review-"))
        self.net = f"127.{random.randint(64, 220)}.{random.randint(1, 250)}"
        probes = [self.ip(number) for number in range(1, 30)]
        taken = set()
        self.internal = free_port(probes, taken)
        self.internal_end = free_port(probes, taken)
        self.control_port = free_port(probes, taken)
        self.front_port = free_port(probes, taken)
        self.ready_port = free_port(probes, taken)
        self.backend_port = free_port(probes, taken)
        self.platform_port = free_port(probes, taken)
        self.roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self.processes = {}

    def ip(self, number):
        return f"{self.net}.{number}"

    def control_address(self, number):
        return f"{self.ip(number)}:{self.control_port}"

    def fields(self, number, zone, seeds, bootstrap):
        ip = self.ip(number)
        return {
            "NodeName": f"node-{number}", "Zone": zone, "Region": "r1", "Ip": ip,
            "InternalPorts": [self.internal, self.internal_end], "Seeds": seeds, "Bootstrap": bootstrap,
            "HeartbeatMs": 1200, "Zones": ZONES, "Bounds": BOUNDS,
            "Listen": {"Front": f"{ip}:{self.front_port}", "Ready": f"{ip}:{self.ready_port}",
                       "Control": f"{ip}:{self.control_port}"},
            "Limits": {"LinkMbps": 1000.0},
            "FaultTolerance": {"Machines": 1, "Zones": 0, "Regions": 0},
            "CloudApi": {"Addr": f"{self.ip(29)}:{self.platform_port}", "DutyPerS": 50.0},
        }

    def start(self, role, number, zone, seeds, bootstrap=False):
        """Starts the program of a role on a machine, with the disk that the machine has."""
        fields = self.fields(number, zone, seeds, bootstrap)
        disk = self.folder / f"disk-{number}"
        disk.mkdir(exist_ok=True)
        fields["DataDir"] = str(disk)
        definition = self.roles[role]
        settings = self.folder / f"settings-{number}.yaml"
        settings.write_text(render((ROOT / definition["template"]).read_text(), [fields]))
        words = [word.replace(SETTINGS_PATH, str(settings)) for word in definition["run"].split()]
        if not (ROOT / words[0]).exists():
            raise CannotRun(f"{words[0]} is not built")
        log = open(self.folder / f"log-{number}.txt", "ab")
        self.processes[number] = subprocess.Popen(words, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.record.write(f"started {role} on machine {number} ({self.ip(number)})")

    def send_signal(self, number, which):
        self.processes[number].send_signal(which)
        self.record.write(f"sent {which.name} to machine {number}")

    def is_running(self, number):
        return self.processes[number].poll() is None

    def wipe_disk(self, number):
        shutil.rmtree(self.folder / f"disk-{number}")
        self.record.write(f"machine {number} lost its disk")

    def log_events(self, number, *events):
        """The log lines of a machine with one of these events, oldest first."""
        found = []
        path = self.folder / f"log-{number}.txt"
        for line in path.read_text(errors="replace").splitlines() if path.exists() else []:
            try:
                entry = json.loads(line)
            except ValueError:
                continue
            if entry.get("event") in events:
                found.append(entry)
        return found

    def copy_log_events(self, numbers, *events):
        lines = []
        for number in numbers:
            for entry in self.log_events(number, *events):
                shown = {key: value for key, value in entry.items() if key not in ("level", "program", "zone")}
                lines.append((entry.get("time", ""), json.dumps(shown)))
        for _, text in sorted(lines):
            self.record.file.write(f"log      {text}\n")
        self.record.file.flush()

    def end(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


# --- HTTP -----------------------------------------------------------------------------------------------------

async def http_call(address, method, path, body=None, seconds=CALL_SECONDS):
    """One call on a connection of its own: (status, headers, body), or None without a whole answer in time."""
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, int(port))
            data = b"" if body is None else body.encode()
            head = (f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n")
            writer.write(head.encode() + data)
            raw = await reader.read()
            head, _, text = raw.partition(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            headers = {name.strip().lower(): value.strip()
                       for name, _, value in (line.partition(":") for line in lines[1:])}
            status = int(lines[0].split()[1])
            if len(text) < int(headers.get("content-length", 0)):
                return None
            return status, headers, text.decode("utf-8", "replace")
    except (OSError, asyncio.TimeoutError, ValueError, IndexError):
        return None
    finally:
        if writer is not None:
            writer.close()


async def call_following(address, method, path, body=None, seconds=CALL_SECONDS):
    """As http_call, following 307 twice."""
    answer = None
    for _ in range(3):
        answer = await http_call(address, method, path, body, seconds)
        if answer is None or answer[0] != 307:
            return answer
        location = answer[1].get("location", "")
        address, _, rest = location.removeprefix("http://").partition("/")
        path = "/" + rest
    return answer


class Operator:
    """Sends an order to one node after the other until it is acknowledged, as PROTOCOL.md describes it."""

    def __init__(self, fleet, record, nodes):
        self.fleet = fleet
        self.record = record
        self.nodes = nodes  # numbers of the control machines that the operator knows
        self.next = 0

    async def order(self, method, path, body, seconds, accepts=lambda status: 200 <= status < 300):
        """The accepted answer, or None if there was none for this long."""
        until = time.monotonic() + seconds
        pause = 0.05
        while time.monotonic() < until:
            node = self.nodes[self.next % len(self.nodes)]
            self.next += 1
            answer = await call_following(self.fleet.control_address(node), method, path, body)
            said = "no answer" if answer is None else f"{answer[0]} {answer[2][:160]!r}"
            self.record.write(f"operator: {method} {path} at machine {node}: {said}")
            if answer is not None and accepts(answer[0]):
                return answer
            await asyncio.sleep(pause)
            pause = min(pause * 2, 0.8)
        return None

    async def put_config(self, document, seconds=15):
        return await self.order("PUT", "/config", json.dumps(document), seconds)

    async def get_config(self, seconds=15):
        answer = await self.order("GET", "/config", None, seconds)
        return None if answer is None else json.loads(answer[2])


def document(version, services, routes, idle_ms=3000):
    return {
        "Version": version,
        "Routes": [{"Name": name, "Hostname": host, "PathPrefix": "/", "RouteKind": kind, "TimeoutMs": 800,
                    "TargetLatencyMs": 150, "Priority": 1, "Service": service, "MaxAttempts": 2, **more}
                   for name, host, kind, service, more in routes],
        "Services": [{"Name": name, "HealthPath": "/health", "MaxConns": 34, "Protocol": "h1", "Tls": False,
                      "SyncReplicas": 1} for name in services],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000,
                   "TxnIdleMs": idle_ms},
    }
