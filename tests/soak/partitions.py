"""Gateways that lose their paths to all servers, while their clients, the store
and the other gateways still reach them.

Connections are reset and new ones refused (`reset`), all hang (`silence`), or
the open ones live on while new ones are refused (`refuse`). The other gateways
still reach every server, unless all gateways are partitioned at once.
"""

import asyncio
import random
import socket
import struct
from pathlib import Path

MODES = {"reset": 1, "refuse": 1, "silence": 2, "peers": 3}
GRACE = 3.0  # seconds, from the start of a partition until requests count
LENGTH = 8.0
PAUSE = 3.0
LEAST_RATIO = 2 / 3
MOST_FAILED = 10
MOST_FAILED_SHARE = 1 / 50
# Of the requests that nobody can serve, how many are rejected within which
# time; the rest test whether a path is back.
LEAST_REJECTED = 0.9
REJECTION_TIME = 0.5


class SilentAddress:
    """A listener whose queue is full: connecting to it hangs."""

    def __init__(self, ip):
        self._listener = socket.create_server((ip, 0), backlog=0)
        self.address = self._listener.getsockname()
        self._fillers = []
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.address)
            self._fillers.append(filler)


class PartitionSwitch:
    """The number in a file that a gateway's preloaded library reads."""

    def __init__(self, path):
        self.path = path
        path.write_bytes(struct.pack("=q", 0))

    def set(self, mode):
        with open(self.path, "r+b") as file:  # mapped: stays in place
            file.write(struct.pack("=q", MODES.get(mode, 0)))


def own_ports(pid):
    """Returns the local endpoints of a process's connections."""
    inodes = set()
    for entry in Path(f"/proc/{pid}/fd").iterdir():
        try:
            target = str(entry.readlink())
        except OSError:
            continue
        if target.startswith("socket:["):
            inodes.add(target[8:-1])
    ports = set()
    for line in Path(f"/proc/{pid}/net/tcp").read_text().splitlines()[1:]:
        columns = line.split()
        if columns[9] in inodes:
            ip, port = columns[1].split(":")
            ports.add((socket.inet_ntoa(struct.pack("<I", int(ip, 16))),
                       int(port, 16)))
    return ports


def judge(attempts, partitioned, begin, end):
    """Judges a partition of some gateways; returns what is broken, or None."""
    counted = [attempt for attempt in attempts
               if begin + GRACE <= attempt.sent_at < end and
               attempt.ended_at > 0 and attempt.status != 429]
    inside = [a for a in counted if a.gateway in partitioned]
    outside = [a for a in counted if a.gateway not in partitioned]
    served_inside = sum(a.status == 200 for a in inside)
    served_outside = sum(a.status == 200 for a in outside)
    failed = len(inside) - served_inside
    if not inside or not outside:
        return None
    ratio = served_inside / len(inside)
    is_rare = ratio < LEAST_RATIO * served_outside / len(outside)
    if is_rare and failed > MOST_FAILED + MOST_FAILED_SHARE * len(counted):
        return (f"partitioned gateways served {served_inside} of "
                f"{len(inside)}, the others {served_outside} of "
                f"{len(outside)}")
    return None


def judge_unserved(attempts, begin, end):
    """Judges a partition of all gateways; returns what is broken, or None.

    Connections that outlive the partition still serve requests.
    """
    counted = [attempt for attempt in attempts
               if begin + GRACE <= attempt.sent_at < end and
               attempt.ended_at > 0 and attempt.status != 200]
    quick = sum(a.ended_at - a.sent_at <= REJECTION_TIME for a in counted)
    if quick < LEAST_REJECTED * len(counted):
        return (f"{quick} of {len(counted)} requests that nobody can serve "
                f"were answered within {REJECTION_TIME} s")
    return None


class Partitions:
    """Partitions one gateway, half of them, all but one, and all."""

    def __init__(self, soak, seed):
        self._soak = soak
        self._random = random.Random(seed * 9001)

    def plan(self):
        """Returns partitions as (mode, number of gateways), each mode and
        each number among the first ones."""
        count = len(self._soak.fleet.gateways)
        sizes = [max(1, count // 2), 1, count - 1, count]
        modes = list(MODES)
        self._random.shuffle(modes)
        return list(zip((modes * 2)[:len(sizes)], sizes))

    async def run(self):
        for mode, count in self.plan():
            await self._partition(mode, count)
            await asyncio.sleep(PAUSE)

    async def _partition(self, mode, count):
        gateways = self._random.sample(self._soak.fleet.gateways, count)
        names = {gateway.name for gateway in gateways}
        self._soak.count(f"partitions by {mode}")
        begin = self._soak.now()
        for gateway in gateways:
            self._begin(gateway, mode)
        await asyncio.sleep(LENGTH)
        end = self._soak.now()
        for gateway in gateways:
            gateway.partition.set("none")
        for server in self._soak.fleet.servers:
            server.link.release()
        await asyncio.sleep(1.0)
        attempts = [attempt
                    for attempt in self._soak.promises.attempts.values()
                    if self._is_in_touch(attempt)]
        is_total = count == len(self._soak.fleet.gateways)
        broken = (judge_unserved(attempts, begin, end) if is_total
                  else judge(attempts, names, begin, end))
        if broken is not None:
            self._soak.promises.breach(
                "PARTITION", f"{mode} of {sorted(names)}: {broken}")

    def _is_in_touch(self, attempt):
        """Returns whether nothing but the partition harmed the gateway."""
        return self._soak.disturbances.is_calm(
            {attempt.gateway, "store"}, attempt.sent_at, attempt.ended_at)

    def _begin(self, gateway, mode):
        gateway.partition.set(mode)
        if mode == "refuse" or not gateway.is_running:
            return
        ports = own_ports(gateway.pid)
        for server in self._soak.fleet.servers:
            server.link.partition(ports, mode)
