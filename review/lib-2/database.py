"""Stand-ins for the backends of one service and for the platform's promotion call, as PROTOCOL.md describes them."""

import asyncio
import json
import random
import time

from fleet import call_following

HEARTBEAT_SECONDS = 1.2
FETCH_SECONDS = 0.008
WORK_SECONDS = 0.004


class Entry:
    def __init__(self, term, number, statement, thing, data):
        self.term, self.number, self.statement, self.thing, self.data = term, number, statement, thing, data


class Backend:
    def __init__(self, service, name, ip, port, zone, role="replica"):
        self.service, self.name, self.ip, self.port, self.zone, self.role = service, name, ip, port, zone, role
        self.term = 1
        self.log = []
        self.held_term = 0  # of the PAUSE in effect
        self.deaf = False  # receives nothing
        self.state = "ready"
        self.sequence = 0
        self.connections = set()
        self.server = None
        self.tasks = []
        self.is_registered = False
        self.first_beat_delay = 0.0  # how late its first heartbeat arrives

    def position(self):
        return f"{self.log[-1].term}.{self.log[-1].number}" if self.log else f"{self.term}.0"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.tasks.append(asyncio.create_task(self.beat()))
        self.service.members.append(self)
        self.service.record.write(f"backend {self.name} started at {self.ip}:{self.port} as {self.role}")

    # --- heartbeats

    def heartbeat(self):
        self.sequence += 1
        return json.dumps({"Service": self.service.name, "Addr": f"{self.ip}:{self.port}", "Zone": self.zone,
                           "Version": "v1", "Slots": 3, "State": self.state, "ColdRemainingMs": 0,
                           "DbRole": self.role, "Seq": self.sequence})

    async def beat(self):
        fleet = self.service.fleet
        given = None
        nodes = list(self.service.control_nodes)
        random.shuffle(nodes)
        while True:
            body = self.heartbeat()
            acknowledged = False
            while not acknowledged:
                address = given or fleet.control_address(nodes[0])
                delay, self.first_beat_delay = self.first_beat_delay, 0.0
                if delay > 0:
                    # Held up on the way: it arrives late, and the next node is called after a second.
                    self.service.record.write(f"backend {self.name}: its heartbeat to {address} is held up")
                    self.tasks.append(asyncio.create_task(self.arrive_late(delay, address, body)))
                    await asyncio.sleep(1.0)
                    answer = None
                else:
                    answer = await call_following(address, "PUT", f"/instances/{self.name}", body)
                acknowledged = answer is not None and 200 <= answer[0] < 300
                if not acknowledged:
                    given = None
                    nodes.append(nodes.pop(0))
                    await asyncio.sleep(0.02)
            if not self.is_registered:
                self.service.record.write(f"backend {self.name}: heartbeat {body} acknowledged by {address}")
            self.is_registered = True
            given = json.loads(answer[2] or "{}").get("HeartbeatAddr") or given
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def arrive_late(self, delay, address, body):
        await asyncio.sleep(delay)
        await call_following(address, "PUT", f"/instances/{self.name}", body)

    # --- the wire

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            words = (await reader.readline()).decode().rstrip("\r\n").split(" ")
            right = len(words) >= 3 and words[0] == "START" and words[1] == self.service.name
            if not right or (len(words) > 3 and words[3] != self.name):
                writer.write(b"ERR MISROUTED -\r\n")
                return
            if len(self.connections) > 34:
                writer.write(b"ERR CONNLIMIT -\r\n")
                return
            writer.write(b"READY I -\r\n")
            while line := await reader.readline():
                text = line.decode().rstrip("\r\n")
                if not text.startswith("QUERY "):
                    return
                _, statement, text = text.split(" ", 2)
                answer = await self.run(statement, text)
                writer.write(f"{answer}READY I {self.position()}\r\n".encode())
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def status_row(self):
        return (f"ROW {self.role} {self.term} {self.position()} {self.held_term} 0 0 {len(self.connections)}\r\n"
                "DONE -\r\n")

    async def run(self, statement, text):
        words = text.split(" ")
        if words[0] == "AFTER":
            needed = tuple(int(part) for part in words[1].split("."))
            own = tuple(int(part) for part in self.position().split("."))
            if own < needed:
                return f"ERR LAGGING {self.name}\r\n"
            words = words[2:]
        kind = words[0]
        if kind == "STATUS":
            return self.status_row()
        if kind == "PAUSE":
            if self.role != "replica" or int(words[1]) <= self.term:
                return "ERR MALFORMED -\r\n"
            self.held_term = int(words[1])
            self.service.record.write(f"backend {self.name}: {text}")
            return self.status_row()
        if kind == "RESUME":
            self.held_term = 0
            self.service.record.write(f"backend {self.name}: {text}")
            return self.status_row()
        if kind == "DEMOTE":
            if self.role == "primary" and self.term < int(words[1]):
                self.role = "replica"
            self.service.record.write(f"backend {self.name}: {text}")
            return self.status_row()
        if kind in ("SET", "RESET", "PREPARE", "DEALLOC"):
            return "DONE -\r\n"
        if kind == "READ":
            await asyncio.sleep(WORK_SECONDS)
            return f"ROW x\r\nDONE {self.name}.{statement}\r\n"
        if kind == "WRITE":
            return await self.write(statement, words[1], " ".join(words[2:]))
        return "ERR MALFORMED -\r\n"

    async def write(self, statement, thing, data):
        if self.role != "primary":
            return f"ERR READONLY {self.name}\r\n"
        await asyncio.sleep(WORK_SECONDS)
        if self.role != "primary":
            return f"ERR READONLY {self.name}\r\n"
        number = self.log[-1].number + 1 if self.log else 1
        entry = Entry(self.term, number, statement, thing, data)
        self.log.append(entry)
        self.service.record.write(f"backend {self.name}: runs {statement} as commit {entry.term}.{entry.number}")
        while not any(entry in member.log for member in self.service.members if member is not self):
            await self.service.received()
        return f"DONE {self.name}.{statement}\r\n"


class Service:
    """A primary and its replicas. A replica takes over the primary's log some ms after each commit."""

    def __init__(self, name, fleet, record, control_nodes):
        self.name, self.fleet, self.record, self.control_nodes = name, fleet, record, control_nodes
        self.members = []
        self.changed = asyncio.Event()
        self.promotions = []  # (seconds, backend, statements in its log, term)

    async def received(self):
        await self.changed.wait()

    def primary(self):
        leading = [member for member in self.members if member.role == "primary"]
        return max(leading, key=lambda member: member.term, default=None)

    async def replicate(self):
        """Replicas follow the newest primary. One that is deaf or paused receives nothing."""
        while True:
            await asyncio.sleep(FETCH_SECONDS)
            leader = self.primary()
            if leader is None:
                continue
            for member in self.members:
                if member is leader or member.deaf or member.held_term or member.role != "replica":
                    continue
                member.term = leader.term
                member.log = list(leader.log)
            self.changed.set()
            self.changed = asyncio.Event()

    def promote(self, name):
        chosen = next((member for member in self.members if member.name == name), None)
        if chosen is None:
            return 409
        if chosen is not self.primary():
            asyncio.get_running_loop().call_later(0.3, self.take_effect, chosen)
        return 200

    def take_effect(self, chosen):
        if chosen is self.primary():
            return
        old = self.primary()
        chosen.term = max(member.term for member in self.members) + 1
        chosen.role = "primary"
        chosen.held_term = 0
        self.promotions.append((self.record.now(), chosen.name, {entry.statement for entry in chosen.log}, chosen.term))
        self.record.write(f"platform: {chosen.name} leads term {chosen.term} with its log up to {chosen.position()}; "
                          f"the old primary {old.name} had {old.position()}")
        asyncio.get_running_loop().call_later(1.0, self.step_back, old)

    def step_back(self, old):
        if old is not self.primary():
            old.role = "replica"

    async def serve_platform(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            length = next((int(line.split(":")[1]) for line in head.split("\r\n")
                           if line.lower().startswith("content-length:")), 0)
            body = json.loads(await reader.readexactly(length))
            status = self.promote(body["Id"])
            self.record.write(f"platform: POST /promotion {body}: {status}")
            writer.write(f"HTTP/1.1 {status} -\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{{}}".encode())
            await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def start(self):
        self.platform = await asyncio.start_server(self.serve_platform, self.fleet.ip(29), self.fleet.platform_port)
        self.replication = asyncio.create_task(self.replicate())


class Client:
    """One session that sends single writes, one after the other."""

    def __init__(self, number, address, database, record, pause=0.04):
        self.number, self.address, self.database, self.record, self.pause = number, address, database, record, pause
        self.acknowledged = []  # (statement, seconds)
        self.answers = {}
        self.stopped = False

    async def run(self):
        count = 0
        while not self.stopped:
            writer = None
            try:
                host, port = self.address.rsplit(":", 1)
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(f"START {self.database} u{self.number}\r\n".encode())
                async with asyncio.timeout(2):
                    first = (await reader.readline()).decode()
                while first.startswith("READY") and not self.stopped:
                    count += 1
                    statement = f"c{self.number}x{count:05d}"
                    if not await self.write(reader, writer, statement):
                        break
                    await asyncio.sleep(self.pause)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            finally:
                if writer is not None:
                    writer.close()
            await asyncio.sleep(0.05)

    async def write(self, reader, writer, statement):
        """Whether the session may go on."""
        sent = time.monotonic()
        writer.write(f"QUERY {statement} WRITE t{self.number} d{statement}\r\n".encode())
        answer = ""
        async with asyncio.timeout(3):
            while True:
                line = (await reader.readline()).decode()
                if not line:
                    self.answers["broken"] = self.answers.get("broken", 0) + 1
                    return False
                if line.startswith(("DONE", "ERR")):
                    answer = line.strip()
                if line.startswith("READY"):
                    break
        kind = " ".join(answer.split(" ")[:2]) if answer.startswith("ERR") else "DONE"
        self.answers[kind] = self.answers.get(kind, 0) + 1
        took = (time.monotonic() - sent) * 1000
        self.record.write(f"client {self.number}: {statement}: {answer} after {took:.0f} ms")
        if kind == "DONE":
            self.acknowledged.append((statement, self.record.now()))
        return True
