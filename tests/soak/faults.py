"""Draws the troubles of one run from its seed.

Troubles come in series and overlap; each lasts a few seconds. `plan` returns
them in the order of their times; `soak.py` carries them out.
"""

import random
from dataclasses import dataclass

LINK_MODES = ("delay", "reset", "cut_up", "cut_down", "silence")
KINDS = (
    ("kill_gateway", 3), ("pause_gateway", 3), ("stop_gateway", 3),
    ("reload_gateway", 1), ("kill_all_gateways", 1),
    ("kill_server", 3), ("pause_server", 2), ("drain_server", 3),
    ("harm_client_link", 2), ("harm_server_link", 3), ("harm_store_link", 3),
    ("store_down", 2), ("store_slow", 1), ("store_lost", 2),
    ("store_forget", 1), ("remove_route", 2), ("restore_route", 2),
    ("revoke_key", 1),
)


@dataclass
class Trouble:
    at: float  # seconds from the start of the load
    kind: str
    target: int  # taken modulo what there is
    seconds: float
    mode: str = ""


def plan(seed, seconds):
    """Returns the troubles of a run that lasts `seconds`."""
    source = random.Random(seed)
    kinds = [kind for kind, weight in KINDS for _ in range(weight)]
    pause = source.choice((0.4, 0.8, 1.6))
    troubles = []
    at = 2.0
    while at < seconds:
        kind = source.choice(kinds)
        troubles.append(Trouble(
            round(at, 2), kind, source.randrange(1000),
            round(source.uniform(0.5, 5.0), 2), source.choice(LINK_MODES)))
        # The same trouble again, or the next one, often before the last ends.
        if source.random() < 0.2:
            troubles.append(Trouble(
                round(at + source.uniform(0.1, 1.0), 2), kind,
                source.randrange(1000), round(source.uniform(0.5, 3.0), 2),
                source.choice(LINK_MODES)))
        at += source.expovariate(1 / pause)
    return sorted(troubles, key=lambda trouble: trouble.at)
