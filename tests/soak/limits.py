"""Upstreams that name a limit of requests a second, and whether it is kept."""

import asyncio
import random
import signal

from promises import CONTACT, STAND_IN_SLACK

WINDOW = 4.0
FACTOR = 1.5
SLACK = 5
# After a gateway has passed on an answer that names the limit.
TOLD = 0.5
PAUSE = (0.3, 2.5)
# Bunched arrivals of a stand-in that stood still stay under so many times as
# much; a fleet that ignores limits does not.
GROSS = 2.0


class Limits:
    """Judges what arrives at each server, as the servers tell it."""

    def __init__(self, promises, disturbances):
        self._promises = promises
        self._disturbances = disturbances
        self._named = {}  # server: [(since, limit or None)]
        self._told = {}  # (gateway, server): first answer that named a limit
        self._arrivals = {}  # server: [(at, gateway)]

    def begins(self, server):
        """A server has started: what it had named is void."""
        self._named.pop(server, None)
        self._arrivals.pop(server, None)
        for pair in [pair for pair in self._told if pair[1] == server]:
            del self._told[pair]

    def restarts(self, gateway):
        for pair in [pair for pair in self._told if pair[0] == gateway]:
            del self._told[pair]

    def names(self, server, limit, now):
        self._named.setdefault(server, []).append((now, limit))

    def limit_of(self, server):
        named = self._named.get(server)
        return named[-1][1] if named else None

    def allowed(self, server, now):
        """Returns what may arrive in the window that ends now, or None where
        the server has not named a limit for long enough."""
        in_force = None
        most = None
        for since, limit in self._named.get(server, []):
            if limit is None:
                in_force, most = None, None
                continue
            if in_force is None:
                in_force = since
            is_recent = since > now - WINDOW - CONTACT
            most = max(most, limit) if most is not None and is_recent else limit
            if is_recent:
                most = max(most, self._before(server, since) or 0.0)
        if in_force is None or now - in_force < CONTACT + STAND_IN_SLACK:
            return None
        return FACTOR * most * WINDOW + SLACK

    def _before(self, server, moment):
        limit = None
        for since, named in self._named[server]:
            if since >= moment:
                break
            limit = named
        return limit

    def arrived(self, server, gateway, now):
        """Notes a request that a server has been sent, and judges it."""
        if self.limit_of(server) is not None:
            self._told.setdefault((gateway, server), now)
        arrivals = self._arrivals.setdefault(server, [])
        arrivals.append((now, gateway))
        while now - arrivals[0][0] > WINDOW:
            arrivals.pop(0)
        allowed = self.allowed(server, now)
        if allowed is None:
            return
        count = sum(self._counts(server, sender, at, now)
                    for at, sender in arrivals)
        what = (f"{server} named {self.limit_of(server)} a second and got "
                f"{count} in {WINDOW} s; allowed {allowed:.0f}")
        if count > allowed:
            self._promises.bound("LIMIT", what)
        if count > GROSS * allowed:
            self._promises.breach("LIMIT", what)

    def _counts(self, server, gateway, at, now):
        told = self._told.get((gateway, server))
        return (told is not None and at - told >= TOLD and
                self._disturbances.is_calm({gateway}, at, now))


class LimitSwitch:
    """Lets servers name and change limits, at most half of each service."""

    def __init__(self, soak, seed):
        self._soak = soak
        self._random = random.Random(seed * 7 + 3)

    async def run(self, seconds):
        end = self._soak.now() + seconds
        while self._soak.now() < end:
            await asyncio.sleep(self._random.uniform(*PAUSE))
            self._change_one()
        await self._end_all()

    def _sound(self):
        return [server for server in self._soak.fleet.servers
                if server.is_running and server.is_ready and
                not server.is_expected_to_end]

    def _is_limited(self, server):
        return self._soak.limits.limit_of(server.name) is not None

    def _change_one(self):
        sound = self._sound()
        if not sound:
            return
        server = self._random.choice(sound)
        service = [other for other in sound if other.service == server.service]
        limited = sum(self._is_limited(other) for other in service)
        if self._is_limited(server) or 2 * (limited + 1) <= len(service):
            self._soak.count("limits changed")
            server.notify(signal.SIGUSR2)

    async def _end_all(self):
        while True:
            limited = [server for server in self._sound()
                       if self._is_limited(server)]
            if not limited:
                return
            for server in limited:
                server.notify(signal.SIGUSR2)
            await asyncio.sleep(0.2)
