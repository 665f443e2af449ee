"""Servers that start again under their ids, and entries of other writers.

A server that is killed, or drains, comes back under the id that it had, with a
later birth and its counts anew; its entry may have lapsed meanwhile or not. Others
write records that no server would write, and the server its own after them. What
is judged besides what always is: a server that is back gets requests again.
"""

import asyncio
import json
import random
import signal

# A server that is back must have been asked something after this time.
USED_WITHIN = 12.0
PAUSE = (0.5, 4.0)


class Rebirths:
    """Strikes one server after the other, the strikes overlapping."""

    def __init__(self, soak, seed):
        self._soak = soak
        self._random = random.Random(seed * 6007)
        self._back_since = {}  # server: when it was listed again
        self._busy = set()

    async def run(self, begin_after):
        await asyncio.sleep(begin_after)
        strikes = (self._restart, self._drain_and_restart, self._overwrite,
                   self._write_torn)
        while not self._soak.is_over:
            strike = self._random.choice(strikes)
            server = self._pick()
            if server is not None:
                self._soak.count(strike.__name__.strip("_"))
                self._soak.spawn(self._strike(strike, server))
            await asyncio.sleep(self._random.uniform(*PAUSE))

    def _pick(self):
        """Returns a sound server whose service keeps another, or nothing."""
        sound = [server for server in self._soak.fleet.servers
                 if server.is_running and not server.is_expected_to_end and
                 server.name not in self._busy]
        kept = [server for server in sound
                if sum(other.service == server.service
                       for other in sound) > 1]
        return self._random.choice(kept) if kept else None

    async def _strike(self, strike, server):
        self._busy.add(server.name)
        try:
            await strike(server)
        finally:
            self._busy.discard(server.name)

    async def _restart(self, server):
        self._soak.disturb("servers", 3.0)
        server.kill()
        await server.ended()
        if self._random.random() < 0.5:
            await self._soak.unlist(server)
        await asyncio.sleep(self._random.uniform(0.0, 2.0))
        await self._start(server)

    async def _drain_and_restart(self, server):
        await self._soak.leave(server)
        await server.ended()
        await asyncio.sleep(self._random.uniform(0.0, 1.0))
        await self._start(server)

    async def _start(self, server):
        if self._soak.is_over:
            return
        await server.start()
        self._back_since[server.name] = self._soak.now()

    async def _overwrite(self, server):
        """Somebody else writes the server's entry, then the server again."""
        key = server.name.encode()
        await self._soak.write_server_record(
            bytes([len(key)]) + key + self._foreign_value())
        await asyncio.sleep(self._random.uniform(0.2, 1.5))
        server.notify(signal.SIGUSR1)

    def _foreign_value(self):
        values = (b"\xff\x00\x17", b"{", b"[]", b"17", b"{}",
                  json.dumps({"service": "plain", "state": "asleep"}).encode(),
                  json.dumps({"service": 7, "address": [], "zone": None,
                              "version": "v1", "slots": "many",
                              "state": "ready", "sequence": -1}).encode())
        return self._random.choice(values)

    async def _write_torn(self, server):
        """Somebody writes a record that has no whole key."""
        await self._soak.write_server_record(
            self._random.choice((b"", b"\xffabc", b"\x05ab")))

    def check(self):
        """Checks that each server that came back was used again."""
        soak = self._soak
        used = {}
        for attempt in soak.promises.attempts.values():
            for at, name, _ in attempt.runs:
                used[name] = max(used.get(name, 0.0), at)
        for server in soak.fleet.servers:
            since = self._back_since.get(server.name)
            if since is None or not server.is_running:
                continue
            is_judged = soak.now() - since > USED_WITHIN
            if is_judged and used.get(server.name, 0.0) < since:
                soak.promises.bound("REBIRTH", f"{server.name} was not used "
                                    "after it had started again")
