"""Relays the links between a fleet's processes, so that they can be cut in silence, one way or both.

Started by the fleet with its run folder. Listens on the published endpoints of control nodes and databases and
passes bytes on to where these listen. cuts.json in the run folder lists [from, to] pairs of nodes. As in a network
that drops and retransmits, all that is sent on a cut link waits until it is healed: bytes, the end of a connection,
and its beginning; what waits is lost when its sender resets the connection (held_links.py). Who connected is told by
the process that holds the other end of the socket; that is looked up only while links are cut, and stalls no
connection that is known already.
"""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from fleetlib.held_links import End, open_other_end  # noqa: E402
from fleetlib.socket_owners import owners_of_ports  # noqa: E402

CUTS_FILE = "cuts.json"
LINKS_FILE = "links.json"
POLL_SECONDS = 0.02
SLOW_LOOK_UP_SECONDS = 0.1


class Connection:
    """From a client, whose node is `owner` once it is known ("": none of the fleet's), to a node."""

    def __init__(self, client, node, own_port):
        self.client = client
        self.node = node
        self.own_port = own_port
        self.port = client.transport.get_extra_info("peername")[1]
        self.published_port = client.transport.get_extra_info("sockname")[1]
        self.owner = None
        self.server = None
        self.opening = None

    def is_over(self):
        return self.client.lost and (self.server is None or self.server.lost)

    def apply(self, cuts):
        """Known owners only, or no cuts."""
        inward = (self.owner, self.node) in cuts
        outward = (self.node, self.owner) in cuts
        self.drop_what_was_reset()
        if self.server:
            self.client.cut, self.server.cut = inward, outward
            self.client.update()
            self.server.update()
        elif not (inward or outward or self.opening or self.client.lost):
            self.opening = asyncio.create_task(self.open())

    def drop_what_was_reset(self):
        for end in (self.client, self.server):
            if end and end.waits:
                end.drop_if_reset()

    async def open(self):
        self.server = await open_other_end(self.client, End, "127.0.0.1", self.own_port)


def note_look_up(seconds, asked, connections):
    """A slow one keeps new connections silent: who waited for one of them finds here why."""
    if seconds >= SLOW_LOOK_UP_SECONDS:
        print(json.dumps({"time": time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime()), "event": "slow_owner_look_up",
                          "seconds": round(seconds, 3), "asked": asked, "connections": connections}), flush=True)


class Relay:
    def __init__(self, run_folder):
        self.run_folder = run_folder
        self.cuts = set()
        self.connections = set()
        self.arrived = asyncio.Event()

    async def run(self):
        links = json.loads((self.run_folder / LINKS_FILE).read_text())
        loop = asyncio.get_running_loop()
        for node, (published_port, own_port) in links.items():
            await loop.create_server(self.acceptor(node, own_port), "127.0.0.1", published_port, backlog=1024)
        asyncio.create_task(self.look_up_owners())
        last = None
        while True:
            last = self.read_cuts(last)
            for connection in self.connections:
                connection.drop_what_was_reset()
            await asyncio.sleep(POLL_SECONDS)

    def acceptor(self, node, own_port):
        def accept(client):
            connection = Connection(client, node, own_port)
            self.connections.add(connection)
            if self.cuts:
                self.arrived.set()
            else:
                connection.apply(self.cuts)

        return lambda: End(accept)

    def read_cuts(self, last):
        file = self.run_folder / CUTS_FILE
        text = file.read_text() if file.exists() else "[]"
        if text != last:
            self.cuts = {tuple(pair) for pair in json.loads(text)}
            self.apply_cuts()
            self.arrived.set()
        return text

    def apply_cuts(self):
        self.connections = {connection for connection in self.connections if not connection.is_over()}
        for connection in self.connections:
            if connection.owner is not None or not self.cuts:
                connection.apply(self.cuts)

    async def look_up_owners(self):
        """One look for all connections that wait for it."""
        while True:
            await self.arrived.wait()
            self.arrived.clear()
            unknown = [connection for connection in self.connections if connection.owner is None]
            if not (self.cuts and unknown):
                continue
            ports = {connection.port: connection.published_port for connection in unknown}
            begun = time.monotonic()
            owners = await asyncio.to_thread(owners_of_ports, ports, self.run_folder / "pids")
            note_look_up(time.monotonic() - begun, len(unknown), len(self.connections))
            for connection in unknown:
                connection.owner = owners.get(connection.port, "")
            self.apply_cuts()


if __name__ == "__main__":
    # The look-up's thread must not keep the links waiting for long.
    sys.setswitchinterval(0.0005)
    asyncio.run(Relay(Path(sys.argv[1])).run())
