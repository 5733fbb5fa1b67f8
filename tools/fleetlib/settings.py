"""Nodes of a deployment, read from the settings files that its programs are started with."""

import re
from dataclasses import dataclass, field
from pathlib import Path

LOOPBACK = re.compile(r"127\.0\.0\.1:(\d+)")
TOP_LEVEL = re.compile(r"^([a-z_]+):\s+(\S+)\s*$")


@dataclass
class Node:
    """One process of the fleet. Its role follows from its settings file's name."""

    name: str
    settings_file: Path
    values: dict = field(default_factory=dict)

    @property
    def role(self):
        if self.name == "platform":
            return "platform"
        if re.fullmatch(r"control-\d+", self.name):
            return "control"
        if re.fullmatch(r"proxy-\d+", self.name):
            return "proxy"
        return "database"

    @property
    def is_standby(self):
        """Waits to be added; started only when it is named."""
        return self.values.get("join") == "true"

    @property
    def program(self):
        return f"cairnhollow-{self.role}"

    @property
    def endpoints(self):
        """Listening endpoints by settings key."""
        keys = ["endpoint", "caller_endpoint", "peer_endpoint", "operator_endpoint"]
        return {key: self.values[key] for key in keys if key in self.values}

    @property
    def link_key(self):
        """The settings key of the endpoint that other processes of the fleet connect to; empty: none."""
        return {"control": "peer_endpoint", "database": "endpoint"}.get(self.role, "")

    def port_of(self, key):
        return int(self.values[key].rpartition(":")[2])

    @property
    def zone(self):
        return self.values.get("zone", "")

    @property
    def group(self):
        return self.values.get("group", "")


def read_node(settings_file):
    values = {}
    for line in settings_file.read_text().splitlines():
        match = TOP_LEVEL.match(line)
        if match:
            values[match[1]] = match[2]
    return Node(settings_file.stem, settings_file, values)


def copy_deployment(source, target, port_offset):
    """Copies settings and manifests, with every loopback port moved up by the offset."""
    for file in sorted(source.glob("*/*.yaml")):
        copy = target / file.relative_to(source)
        copy.parent.mkdir(parents=True, exist_ok=True)
        copy.write_text(LOOPBACK.sub(lambda match: f"127.0.0.1:{int(match[1]) + port_offset}", file.read_text()))


def read_deployment(settings_folder):
    """All nodes by name."""
    return {file.stem: read_node(file) for file in sorted(settings_folder.glob("*.yaml"))}
