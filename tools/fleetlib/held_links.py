"""Ends of relayed connections that can be made to wait in silence, as on a network that drops and retransmits.

While an end waits, all that its sender sends stays where it is: bytes, and the ordinary end of the connection (FIN),
which follow when it waits no more. A sender that resets its connection (RST) takes back what has not been passed on: its
kernel drops what it had to send, so a network would never deliver it.
"""

import asyncio
import socket
import struct

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER without waiting (socket(7))
TCP_CLOSE = 7  # tcpi_state, the first byte of TCP_INFO (tcp(7))


def reset(transport):
    """Ends a connection at once, as the kernel does for a process that was killed or does not listen."""
    if not transport.is_closing():
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        transport.abort()


def was_reset(transport):
    """Whether the other side has reset the connection. Its unread bytes can still be read then, so that reading does
    not tell; an ordinary end leaves the connection open or without an error."""
    if transport.is_closing():
        return False
    tcp_socket = transport.get_extra_info("socket")
    if tcp_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] != TCP_CLOSE:
        return False
    return tcp_socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0


class End(asyncio.Protocol):
    """One end of a connection: what it sends goes to the other end, and waits while `cut` or `held`."""

    def __init__(self, on_made=None):
        self.on_made = on_made
        self.transport = None
        self.other = None
        self.cut = True  # until it is known who connected
        self.held = False
        self.other_full = False
        self.finished = False  # said that it sends no more
        self.lost = False

    def connection_made(self, transport):
        self.transport = transport
        transport.pause_reading()
        if self.on_made:
            self.on_made(self)

    def data_received(self, data):
        self.pass_on(data)

    def pass_on(self, data):
        if not self.other.lost:
            self.other.transport.write(data)

    def eof_received(self):
        """Passed on as what it is: the other direction may still be in use."""
        self.finished = True
        if self.other.lost:
            return False
        if self.other.finished:
            self.other.transport.close()
            return False
        self.other.transport.write_eof()
        return True

    def connection_lost(self, _error):
        self.lost = True
        self.update()

    def pause_writing(self):
        self.other.other_full = True
        self.other.update()

    def resume_writing(self):
        self.other.other_full = False
        self.other.update()

    @property
    def waits(self):
        return self.cut or self.held

    def drop_if_reset(self):
        """To be asked of an end that waits, now and then, and before it waits no more."""
        if not self.lost and self.transport and was_reset(self.transport):
            self.drop()

    def drop(self):
        """What its sender has sent and what waits is lost, as is the connection."""
        self.transport.abort()
        self.lost = True
        self.update()

    def update(self):
        """Reads unless there is a cause to wait; a loss is passed on when the link is whole."""
        if self.lost:
            if self.other and not self.cut:
                reset(self.other.transport)
        elif self.waits or self.other_full:
            self.transport.pause_reading()
        elif not self.finished:
            self.transport.resume_reading()


async def open_other_end(client, make_end, address, port):
    """Connects `client` on to where it wanted to go. None when nothing listens there: the client is reset."""
    try:
        _, server = await asyncio.get_running_loop().create_connection(make_end, address, port)
    except OSError:
        reset(client.transport)
        return None
    server.other, client.other = client, server
    server.cut = client.cut = False
    client.update()
    server.update()
    return server
