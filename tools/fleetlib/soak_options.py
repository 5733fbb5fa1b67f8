"""The command line of tools/soak, which describes it."""

import random
from dataclasses import dataclass

from fleetlib.soak_faults import SERIES

LAGS_MS = {"study-card": 8, "scooter-fleet": 60}


@dataclass
class Options:
    seconds: int = 60
    seed: int = 0
    deployment: str = "study-card"
    faults: tuple = tuple(SERIES)
    controls: int = 3
    proxies: int = 4
    groups: int = 2
    lost_disks: int = 1
    failovers: bool = False
    keyless: bool = False
    untimed: bool = False
    keep: bool = False


NUMBERS = {"seconds": (1, 86400), "seed": (0, 2**63 - 1), "controls": (3, 9), "proxies": (1, 200), "groups": (1, 50),
           "lost-disks": (1, 4)}
FLAGS = ("failovers", "keyless", "untimed", "keep")


class WrongOption(Exception):
    """Told to the user as one line."""


def read_options(words):
    options = Options(seed=random.randrange(1_000_000))
    for word in words:
        name, equals, value = word.removeprefix("--").partition("=")
        if not word.startswith("--") or name not in (*NUMBERS, *FLAGS, "deployment", "faults"):
            raise WrongOption(f"{word}: no such option")
        setattr(options, name.replace("-", "_"), read_value(name, equals, value))
    if options.controls < 2 * options.lost_disks + 1:
        raise WrongOption(f"--controls: must be at least {2 * options.lost_disks + 1} for --lost-disks={options.lost_disks}")
    return options


def read_value(name, equals, value):
    if name in FLAGS:
        if equals:
            raise WrongOption(f"--{name}: takes no value")
        return True
    if name in NUMBERS:
        lowest, highest = NUMBERS[name]
        if not value.isascii() or not value.isdigit() or not lowest <= int(value) <= highest:
            raise WrongOption(f"--{name}: '{value}' is no number from {lowest} to {highest}")
        return int(value)
    if name == "deployment" and value not in LAGS_MS:
        raise WrongOption(f"--deployment: '{value}' is none of {', '.join(LAGS_MS)}")
    if name == "deployment":
        return value
    unknown = [word for word in value.split(",") if word not in SERIES]
    if unknown:
        raise WrongOption(f"--faults: '{unknown[0]}' is none of {', '.join(SERIES)}")
    return tuple(value.split(","))
