"""Upstreams that crash when they reject many requests, and bursts of requests.

BRITTLE: no upstream crashes because of requests that gateways have sent which
nobody has harmed. It is decided without `--judge-time` if more crash than the
platform tolerates in one time: two, and a tenth of the service's upstreams.
"""

import asyncio
import random

import http_wire
from promises import Attempt

DOWN_TIME = 3.0
PAUSE = (0.8, 2.0)
BURST = (30, 80)  # requests
BURST_TIME = 0.3
DEADLINE = 1.5
TOLERATED = 2


class Brittle:
    """Sends bursts to a service of brittle upstreams and judges crashes."""

    def __init__(self, soak, seed):
        self._soak = soak
        self._random = random.Random(seed * 13 + 5)
        self._sent = 0
        self._counted = 0

    async def run(self, seconds):
        end = self._soak.now() + seconds
        while self._soak.now() < end:
            await asyncio.sleep(self._random.uniform(*PAUSE))
            for _ in range(self._random.randint(*BURST)):
                self._soak.spawn(self._send())

    async def _send(self):
        await asyncio.sleep(self._random.uniform(0, BURST_TIME))
        self._sent += 1
        gateway = self._random.choice(self._soak.fleet.gateways)
        attempt = Attempt(f"burst-{self._sent}", "safe", "large",
                          gateway.name, self._soak.now(), DEADLINE)
        self._soak.promises.attempts[attempt.id] = attempt
        fields = {"Host": "soak.example", "X-Attempt-Id": attempt.id,
                  "X-Deadline-Ms": str(int(DEADLINE * 1000)),
                  "X-Credential": self._soak.key_of("large")}
        writer = None
        try:
            async with asyncio.timeout(DEADLINE + 1.0):
                reader, writer = await asyncio.open_connection(
                    *gateway.client_address)
                writer.write(http_wire.write_message(
                    "GET /safe/burst HTTP/1.1", fields))
                head = await http_wire.read_head(reader)
                attempt.status = head.status if head else 0
        except (OSError, TimeoutError, http_wire.Broken):
            pass
        finally:
            if writer is not None:
                writer.transport.abort()

    def crashed(self, server, rejected, now):
        """Judges the crash of a server that has rejected these attempts."""
        self._soak.count("crashes by rejections")
        self._soak.disturb("servers", DOWN_TIME + 1.0)
        attempts = [self._soak.promises.attempts.get(attempt_id)
                    for attempt_id in rejected]
        calm = sum(attempt is not None and
                   self._soak.disturbances.is_calm({attempt.gateway}, now, now)
                   for attempt in attempts)
        if 2 * calm <= len(attempts):
            return
        self._counted += 1
        what = (f"{server} has crashed by rejecting {len(rejected)} requests "
                f"in a second; crash {self._counted}")
        self._soak.promises.bound("BRITTLE", what)
        plain = [other for other in self._soak.fleet.servers
                 if other.service == "plain" and other.is_running]
        if self._counted > TOLERATED + len(plain) // 10:
            self._soak.promises.breach("BRITTLE", what)
