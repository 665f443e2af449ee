"""Kills of all gateways of the soak at once, while streams are being served.

What is judged: of the streams that lose their gateway so, and whose clients resume
them until their deadline, at least half as many go on as new streams begin, while
two servers of their version serve. It goes with `--versions`, which judges that
none goes on at another version.
"""

import asyncio
import random

from versions import judge

PAUSE = (6.0, 8.0)
DOWN = 0.3
# A client that is rejected, or finds no gateway, comes back after this time.
RETURN = 0.25


class HerdKills:
    """Kills all gateways now and then, and judges what is resumed."""

    def __init__(self, soak, seed):
        self._soak = soak
        self._random = random.Random(seed * 7919)
        self._kills = []
        self._resumed = []  # last attempts
        self._new = []

    async def run(self):
        while not self._soak.is_over:
            await asyncio.sleep(self._random.uniform(*PAUSE))
            self._soak.count("kills of all gateways")
            self._kills.append(self._soak.now())
            await asyncio.gather(*(self._soak.kill_and_start(gateway, DOWN)
                                   for gateway in self._soak.fleet.gateways))

    def has_killed(self, attempt):
        """Returns whether all gateways were killed since it was sent."""
        return any(killed >= attempt.sent_at for killed in self._kills)

    def begins(self, attempt):
        self._new.append(attempt)

    def resumes(self, attempt):
        """Notes the last attempt that resumes a stream, if it could go on."""
        serving = [self._soak.versions.serving(version)
                   for version in attempt.versions]
        if min(serving) >= 2:
            self._resumed.append(attempt)

    def check(self):
        went_on = sum(attempt.has_begun for attempt in self._resumed)
        begun = sum(attempt.has_begun for attempt in self._new)
        resumed, new = len(self._resumed), len(self._new)
        self._soak.counts["went on after a kill of all"] = (
            f"{went_on} of {resumed}")
        self._soak.counts["begun beside kills of all"] = f"{begun} of {new}"
        if judge(went_on, resumed, begun, new):
            self._soak.promises.breach(
                "RESUME", f"{went_on} of {resumed} streams that were resumed "
                f"after a kill of all gateways went on, {begun} of {new} new "
                f"ones began")
