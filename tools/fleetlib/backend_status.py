"""What a registered fleet's stand-in backends say of themselves."""

import socket
from dataclasses import dataclass

FIRST_PORT = 9001
BACKENDS_PER_GROUP = 3
CALL_SECONDS = 0.3


@dataclass(order=True, frozen=True)
class Position:
    term: int
    index: int


@dataclass(frozen=True)
class BackendStatus:
    primary: bool
    term: int
    received: Position


def endpoint_of(databases, group, place):
    """Of the backend at this place (from 1) of the group (from 1); `databases`: their addresses but the last number."""
    return f"{databases}.{group}", FIRST_PORT + place - 1


def backend_name(group, place):
    return f"g{group}-b{place}"


def group_name(group):
    return f"group-{group}"


def read_status(databases, group, place):
    """None when it does not answer in time."""
    try:
        with socket.create_connection(endpoint_of(databases, group, place), CALL_SECONDS) as connection:
            connection.sendall(f"START {group_name(group)} - {backend_name(group, place)}\r\n".encode())
            connection.sendall(b"QUERY - STATUS\r\n")
            with connection.makefile("r", encoding="utf-8", newline="\r\n") as lines:
                return next((parse(line) for line in lines if line.startswith("ROW ")), None)
    except (OSError, ValueError):
        return None


def parse(row):
    """ROW primary|replica TERM RECEIVED_TERM.RECEIVED_INDEX ..."""
    _, role, term, received = row.split()[:4]
    received_term, _, received_index = received.partition(".")
    return BackendStatus(role == "primary", int(term), Position(int(received_term), int(received_index)))


def lacks_commits(databases, group, place):
    """Whether a backend has received less than the group's newest primary, both by their own word."""
    statuses = {other: read_status(databases, group, other) for other in range(1, BACKENDS_PER_GROUP + 1)}
    primaries = [status for other, status in statuses.items() if other != place and status and status.primary]
    own = statuses[place]
    return own is not None and bool(primaries) and own.received < max(status.received for status in primaries)
