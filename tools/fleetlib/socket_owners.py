"""Which of a fleet's processes holds a loopback socket (sock_diag(7), proc(5))."""

import os
import socket
import struct
from pathlib import Path

LOOPBACK = socket.inet_aton("127.0.0.1")
# sock_diag(7), linux/inet_diag.h: one socket is asked for by its addresses, whatever others the machine has.
NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST = 1
ANY_COOKIE = 0xFFFFFFFF
HEADER = struct.Struct("=IHHII")  # nlmsghdr: length, type, flags, sequence, port
REQUEST = struct.Struct("=BBBBI")  # inet_diag_req_v2: family, protocol, extensions, padding, states
PORTS = struct.Struct("!HH")  # inet_diag_sockid: source, destination; then the addresses, interface and cookie
INTERFACE_AND_COOKIE = struct.Struct("=III")
INODE_OFFSET = HEADER.size + 4 + 48 + 4 * 4  # inet_diag_msg: 4 bytes, the sockid, four numbers, the inode
ANSWER_LENGTH = 4096
SOCKET_PREFIX = "socket:["


def ask_for_inode(channel, port, server_port):
    """Of the socket that connected from `port` to `server_port`; None when it is no more."""
    addresses = LOOPBACK + bytes(12) + LOOPBACK + bytes(12)
    sockid = PORTS.pack(port, server_port) + addresses + INTERFACE_AND_COOKIE.pack(0, ANY_COOKIE, ANY_COOKIE)
    body = REQUEST.pack(socket.AF_INET, socket.IPPROTO_TCP, 0, 0, 0xFFFFFFFF) + sockid
    channel.send(HEADER.pack(HEADER.size + len(body), SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 0, 0) + body)
    answer = channel.recv(ANSWER_LENGTH)
    if HEADER.unpack_from(answer)[1] != SOCK_DIAG_BY_FAMILY:
        return None
    return struct.unpack_from("=I", answer, INODE_OFFSET)[0]


def ports_by_inode(wanted):
    """Of loopback connections, ports from which they were made, by the inodes of their sockets. `wanted`: the port
    that each was made to, by the port that it was made from."""
    ports = {}
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG) as channel:
        for port, server_port in wanted.items():
            inode = ask_for_inode(channel, port, server_port)
            if inode:
                ports[str(inode)] = port
    return ports


def socket_inodes(process_id):
    """Of a process; those that close meanwhile are left out."""
    folder = f"/proc/{process_id}/fd"
    try:
        descriptors = os.listdir(folder)
    except OSError:
        return
    for descriptor in descriptors:
        try:
            target = os.readlink(f"{folder}/{descriptor}")
        except OSError:
            continue
        if target.startswith(SOCKET_PREFIX):
            yield target[len(SOCKET_PREFIX):-1]


def owners_of_ports(wanted, pids_folder):
    """Nodes by the ports that they connected from; ports of others are left out. `wanted` as of ports_by_inode()."""
    ports = ports_by_inode(wanted)
    owners = {}
    for file in pids_folder.iterdir():
        words = file.read_text().split()
        if file.name == "relay" or not words:
            continue
        for inode in socket_inodes(words[0]):
            if inode in ports:
                owners[ports[inode]] = file.name
    return owners
