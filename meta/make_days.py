#!/usr/bin/env python3
"""Writes days for the users' bench from a seed.

Every pair of kinds of trouble that strike the same part comes together once;
so each kind comes many times. Usage: make_days.py SITE.toml SEED FOLDER
"""
import itertools
import json
import pathlib
import random
import sys
import tomllib

PARTS = {
    "servers": [
        "srv_crash", "srv_grey", "srv_slow", "answer_lost", "garble",
        "release", "scale_in", "srv_cut", "replace_with_reuse", "scale_out",
    ],
    "machines": [
        "node_kill", "node_freeze", "node_slow", "roll_term", "herd_kill",
        "hup", "reset_conns", "add_nodes", "replace_core", "kill_leader",
        "clock_step",
    ],
    "store": [
        "platform_down", "platform_slow", "platform_lost", "platform_compact",
        "core_cut",
    ],
    "links": ["zone_cut", "node_cut", "lossy"],
    "configuration": [
        "config_change", "config_storm", "revoke", "after_ack_kill",
    ],
    "clients": [
        "burst", "shift", "hot_key", "hot_tenant", "retry_abuse", "give_up",
    ],
    "platform": ["cloud_down", "cloud_slow"],
}
PLANNED = {
    "release", "scale_in", "scale_out", "roll_term", "hup", "add_nodes",
    "config_change", "config_storm", "revoke",
}
# Kinds that a site file may not hold, with fields that fit any site.
DEFAULTS = {
    "srv_slow": {"share": 0.3, "x": 4.0, "for_s": 5.0},
    "srv_cut": {"share": 0.3, "for_s": 5.0},
    "replace_with_reuse": {"share": 0.2},
    "scale_out": {"share": 0.3, "gap_s": 1.0},
    "clock_step": {"share": 0.3, "x": 2000.0, "for_s": 5.0},
    "hup": {"share": 0.3, "gap_s": 0.5},
    "reset_conns": {"share": 0.3, "x": 0.5},
    "cloud_down": {"for_s": 5.0, "how": "silent"},
    "cloud_slow": {"for_s": 5.0, "x": 50.0},
    "lossy": {"x": 0.03, "for_s": 5.0},
    "shift": {"share": 0.5, "for_s": 5.0},
}
STARTS = (6.0, 20.0, 35.0)


def variants(site):
    """Returns the entries of a site's list of troubles, by kind."""
    by_kind = {}
    for entry in site.get("troubles", []):
        by_kind.setdefault(entry["kind"], []).append(entry)
    for kind, fields in DEFAULTS.items():
        by_kind.setdefault(kind, []).append({"kind": kind, **fields})
    return by_kind


def as_toml(entry):
    fields = ", ".join(f"{key} = {json.dumps(value)}"
                       for key, value in entry.items())
    return "  { " + fields + " },"


def write_day(path, number, pairs, by_kind, chance):
    plan, faults = [], []
    for start, pair in zip(STARTS, pairs):
        for kind in pair:
            entry = dict(chance.choice(by_kind[kind]))
            entry["at"] = round(start + chance.uniform(0, 0.5), 2)
            (plan if kind in PLANNED else faults).append(entry)
    lines = ["[[day]]", f'name = "pairs-{number}"', 'slot = "trouble"',
             f"seed = {chance.randrange(1, 10**9)}", "length_s = 52.0",
             "zero = 0.0", "one = 1.0", "goal = { floor = 0.1 }",
             "plan = [", *map(as_toml, plan), "]",
             "faults = [", *map(as_toml, faults), "]"]
    path.write_text("\n".join(lines) + "\n")


def main():
    site = tomllib.loads(pathlib.Path(sys.argv[1]).read_text())
    chance = random.Random(int(sys.argv[2]))
    folder = pathlib.Path(sys.argv[3])
    folder.mkdir(parents=True, exist_ok=True)
    by_kind = variants(site)
    pairs = [pair for kinds in PARTS.values()
             for pair in itertools.combinations(
                 [kind for kind in kinds if kind in by_kind], 2)]
    chance.shuffle(pairs)
    days = range(0, len(pairs), len(STARTS))
    for number, first in enumerate(days):
        write_day(folder / f"pairs-{number:02}.toml", number,
                  pairs[first:first + len(STARTS)], by_kind, chance)
    print(f"{len(pairs)} pairs on {len(days)} days in {folder}")


if __name__ == "__main__":
    main()
