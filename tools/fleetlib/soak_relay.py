"""Relays the links between a registered fleet's processes, each of which connects from an address of its own.

Started by tests/soak/links.py with a file that says where to listen and who connects from which address. Commands come
as JSON lines on the standard input, events go as JSON lines to the standard output:

  {"cuts": [[FROM, TO], ...]}   all that FROM sends to TO waits from now on, and on no other link
  {"hold": [NODE, ...]}         orders (promotion calls) of these nodes wait, each until it is released
  {"release": ORDER}            by its number
  {"power_lost": [NODE, ...]}   what waits of these nodes is lost, as it is with the memory of their machines

Each order is told of when it is whole ("order"), passed on ("passed"), taken back by a reset or a loss of power
("taken_back") and answered ("answer", with the HTTP status). The end of the standard input ends the relay.
"""

import asyncio
import json
import re
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from fleetlib.held_links import End, open_other_end  # noqa: E402

LINK_PORT_OFFSET = 10000  # as in tests/soak/link_shim.c
POLL_SECONDS = 0.02
CONTENT_LENGTH = re.compile(rb"^content-length:\s*(\d+)", re.IGNORECASE | re.MULTILINE)
FENCING = re.compile(rb"^x-fencing-token:\s*(\d+)", re.IGNORECASE | re.MULTILINE)
STATUS_LINE = re.compile(rb"HTTP/1\.1 (\d{3})")
END_OF_HEADERS = b"\r\n\r\n"


def tell(event, **fields):
    print(json.dumps({"event": event, "at": time.monotonic(), **fields}), flush=True)


def take_request(received):
    """(a whole HTTP request, what follows it); None when it is not whole."""
    headers, separator, rest = received.partition(END_OF_HEADERS)
    if not separator:
        return None
    length = CONTENT_LENGTH.search(headers)
    body = int(length[1]) if length else 0
    if len(rest) < body:
        return None
    end = len(headers) + len(END_OF_HEADERS) + body
    return received[:end], received[end:]


class OrderEnd(End):
    """The end of a node that sends orders: each is told of, and held if the relay holds this node's."""

    def __init__(self, on_made, relay):
        super().__init__(on_made)
        self.relay = relay
        self.node = ""
        self.received = b""
        self.orders = []  # numbers of those that were not answered yet
        self.waiting = None  # number and bytes of the order that is held

    def data_received(self, data):
        self.received += data
        self.take_orders()

    def take_orders(self):
        while self.waiting is None:
            taken = take_request(self.received)
            if taken is None:
                return
            request, self.received = taken
            self.take_order(request)

    def take_order(self, request):
        headers, _, body = request.partition(END_OF_HEADERS)
        fencing = FENCING.search(headers)
        order = json.loads(body)
        number = self.relay.next_order(self)
        self.waiting = (number, request)
        self.held = self.node in self.relay.holds
        tell("order", order=number, node=self.node, group=order["Service"], backend=order["Id"],
             fencing=int(fencing[1]) if fencing else 0, held=self.held)
        self.update()

    def update(self):
        super().update()
        if self.waiting and not (self.waits or self.lost):
            number, request = self.waiting
            self.waiting = None
            self.orders.append(number)
            self.relay.forget(number)
            tell("passed", order=number)
            self.pass_on(request)
            self.take_orders()

    def release(self):
        """Passed on at once, or when the link is healed."""
        self.drop_if_reset()
        self.held = False
        self.update()

    def eof_received(self):
        if self.received:
            self.pass_on(self.received)
        return super().eof_received()

    def connection_lost(self, error):
        if self.waiting:
            tell("taken_back", order=self.waiting[0])
            self.relay.forget(self.waiting[0])
            self.waiting = None
        super().connection_lost(error)


class AnswerEnd(End):
    """The other end of an OrderEnd."""

    def data_received(self, data):
        status = STATUS_LINE.match(data)
        if status and self.other.orders:
            tell("answer", order=self.other.orders.pop(0), status=int(status[1]))
        super().data_received(data)


class Connection:
    """From the node `source` to the node `target`."""

    def __init__(self, relay, client, source, link):
        self.relay = relay
        self.client = client
        self.source = source
        self.link = link
        self.server = None
        self.opening = None

    def is_over(self):
        return self.client.lost and (self.server is None or self.server.lost)

    def apply_cuts(self):
        inward = (self.source, self.link["node"]) in self.relay.cuts
        outward = (self.link["node"], self.source) in self.relay.cuts
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

    def lose_power_of(self, nodes):
        for end, node in ((self.client, self.source), (self.server, self.link["node"])):
            if end and node in nodes and end.waits and not end.lost:
                end.drop()

    async def open(self):
        make_end = AnswerEnd if self.link["orders"] else End
        self.server = await open_other_end(self.client, make_end, self.link["address"], self.link["port"])
        if self.server:
            self.apply_cuts()  # those of meanwhile


class Relay:
    def __init__(self, links):
        self.links = links["links"]
        self.sources = links["sources"]
        self.cuts = set()
        self.holds = set()
        self.connections = set()
        self.waiting = {}  # OrderEnd by number of the order that waits there
        self.orders = 0

    def next_order(self, end):
        self.orders += 1
        self.waiting[self.orders] = end
        return self.orders

    def forget(self, number):
        self.waiting.pop(number, None)

    async def run(self):
        loop = asyncio.get_running_loop()
        for link in self.links:
            await loop.create_server(self.acceptor(link), link["address"], link["port"] + LINK_PORT_OFFSET, backlog=1024)
        commands = asyncio.StreamReader()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(commands), sys.stdin)
        watching = asyncio.create_task(self.watch())
        tell("listening")
        while line := await commands.readline():
            self.obey(json.loads(line))
        watching.cancel()

    async def watch(self):
        while True:
            await asyncio.sleep(POLL_SECONDS)
            for connection in list(self.connections):
                connection.drop_what_was_reset()
                if connection.is_over():
                    self.connections.discard(connection)

    def acceptor(self, link):
        def accept(client):
            source = self.sources.get(client.transport.get_extra_info("peername")[0], "")
            client.node = source
            connection = Connection(self, client, source, link)
            self.connections.add(connection)
            connection.apply_cuts()

        return lambda: OrderEnd(accept, self) if link["orders"] else End(accept)

    def obey(self, command):
        if "cuts" in command:
            self.cuts = {tuple(pair) for pair in command["cuts"]}
            for connection in list(self.connections):
                connection.apply_cuts()
        for connection in list(self.connections) if "power_lost" in command else []:
            connection.lose_power_of(command["power_lost"])
        if "hold" in command:
            self.holds = set(command["hold"])
        end = self.waiting.get(command.get("release"))
        if end:
            end.release()


if __name__ == "__main__":
    asyncio.run(Relay(json.loads(Path(sys.argv[1]).read_text())).run())
