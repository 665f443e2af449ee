"""Software versions of the soak: two serve side by side, without a roll-out.

Servers of another version are started while some of the old ones leave. Clients
whose streams break take them up at another gateway, and name the attempt that
brought the first event. What is judged: a stream holds events of one version only,
and streams that are taken up go on as often as new ones begin, within the share
that the platform's rules allow, while two servers of their version serve.
"""

import asyncio
import random

SERVICE = "engine"
PAUSE = (3.0, 5.0)
LEAST_JUDGED = 12
LEAST_SHARE = 0.5
# A server that has just been started may not be listed everywhere yet.
SETTLED = 2.0


class Versions:
    """Starts servers of alternate versions, and judges what is taken up."""

    def __init__(self, soak, seed):
        self._soak = soak
        self._random = random.Random(seed * 5039)
        self._number = 1
        self._since = {}  # server: when it was started
        self._taken_up = []  # attempts that could go on
        self._new = []

    async def run(self):
        while not self._soak.is_over:
            self._number += 1
            version = f"v{self._number}"
            for _ in range(3):
                server = await self._soak.fleet.add_server(SERVICE, version)
                self._since[server.name] = self._soak.now()
                await asyncio.sleep(self._random.uniform(0.2, 0.6))
            self._soak.count("versions")
            await asyncio.sleep(self._random.uniform(*PAUSE))
            await self._leave_oldest()

    def _sound(self):
        return [server for server in self._soak.fleet.servers
                if server.service == SERVICE and server.is_running and
                not server.is_expected_to_end]

    async def _leave_oldest(self):
        """Lets servers of the oldest versions leave, while two remain."""
        versions = sorted({server.version for server in self._sound()},
                          key=lambda version: int(version[1:]))
        for version in versions[:-2]:
            for server in self._sound():
                if server.version == version:
                    await self._soak.leave(server)
                    await asyncio.sleep(self._random.uniform(0.1, 0.4))

    def serving(self, version):
        """Returns how many settled servers of a version serve."""
        now = self._soak.now()
        return sum(server.version == version and
                   now - self._since.get(server.name, 0.0) > SETTLED
                   for server in self._sound())

    def begins(self, attempt):
        """Notes a new stream that is sent."""
        self._new.append(attempt)

    def takes_up(self, attempt):
        """Notes a stream that is taken up, if its version still serves."""
        self._soak.count("streams taken up")
        (version,) = attempt.versions
        if self.serving(version) >= 2:
            self._taken_up.append((attempt, version))

    def check(self):
        """Checks the share of streams that went on, at gateways in touch."""
        taken_up = [attempt for attempt, version in self._taken_up
                    if self._is_judged(attempt) and
                    self.serving(version) >= 2]
        new = [attempt for attempt in self._new if self._is_judged(attempt)]
        went_on = sum(attempt.has_begun for attempt in taken_up)
        begun = sum(attempt.has_begun for attempt in new)
        self._soak.counts["went on"] = f"{went_on} of {len(taken_up)}"
        self._soak.counts["begun"] = f"{begun} of {len(new)}"
        if judge(went_on, len(taken_up), begun, len(new)):
            self._soak.promises.breach(
                "LOST", f"{went_on} of {len(taken_up)} streams that were "
                f"taken up went on, {begun} of {len(new)} new ones began")

    def _is_judged(self, attempt):
        return attempt.ended_at > 0 and self._soak.disturbances.is_calm(
            {attempt.gateway}, attempt.sent_at, attempt.ended_at)


def judge(went_on, taken_up, begun, new):
    """Returns whether too few of the streams taken up went on."""
    if taken_up < LEAST_JUDGED or new == 0:
        return False
    return went_on / taken_up < LEAST_SHARE * begun / new
