"""Requests that crash the servers that run them, and what they cost others."""

import asyncio
import random

import http_wire
from promises import CONTACT, STAND_IN_SLACK, Attempt

CRASHES_OBSERVED = 3  # after which the fleet is to have confirmed a request
MOST_RETRIES = 3  # that may still be sent then
DOWN_TIME = 3.0
PAUSE = (0.3, 1.5)
LEAVE = (0.02, 0.06)
SHARE_LEAVING = 0.5
DEADLINE = 1.5
REASONS = ("ends_servers", "may_end_servers")


class Deadly:
    """Sends deadly requests again and again, and counts what they reach."""

    def __init__(self, soak, seed):
        self._soak = soak
        self._random = random.Random(seed * 31 + 11)
        self._sent = 0
        self._crashes = []  # times; of one content
        self.retries = []  # (time, gateway) after the fleet should know

    @property
    def crashes(self):
        return len(self._crashes)

    async def run(self, seconds):
        end = self._soak.now() + seconds
        while self._soak.now() < end:
            self._soak.spawn(self._send())
            await asyncio.sleep(self._random.uniform(*PAUSE))

    async def _send(self):
        self._sent += 1
        gateway = self._random.choice(self._soak.fleet.gateways)
        attempt = Attempt(f"deadly-{self._sent}", "safe", "large",
                          gateway.name, self._soak.now(), DEADLINE)
        self._soak.promises.attempts[attempt.id] = attempt
        fields = {"Host": "soak.example", "X-Attempt-Id": attempt.id,
                  "X-Deadline-Ms": str(int(DEADLINE * 1000)),
                  "X-Credential": self._soak.key_of("large")}
        leaves = self._random.random() < SHARE_LEAVING
        limit = self._random.uniform(*LEAVE) if leaves else DEADLINE + 1.0
        writer = None
        try:
            async with asyncio.timeout(limit):
                reader, writer = await asyncio.open_connection(
                    *gateway.client_address)
                writer.write(http_wire.write_message(
                    "GET /safe/deadly HTTP/1.1", fields))
                await http_wire.read_head(reader)
        except (OSError, TimeoutError, http_wire.Broken):
            pass
        finally:
            if writer is not None:
                writer.transport.abort()

    # What servers and gateways tell.

    def ran(self, attempt_id, gateway, now):
        """A server has begun to run a request."""
        if not attempt_id.startswith("deadly-"):
            return
        if self.crashes < CRASHES_OBSERVED:
            return
        third = self._crashes[CRASHES_OBSERVED - 1]
        is_bound = now > third + CONTACT + STAND_IN_SLACK
        if is_bound and self._soak.disturbances.is_calm({gateway, "store"},
                                                        third, now):
            self.retries.append((now, gateway))
            if len(self.retries) > MOST_RETRIES:
                self._soak.promises.breach(
                    "BUDGET", f"{attempt_id} was sent by {gateway} "
                    f"{now - third:.2f} s after the third crash; retry "
                    f"{len(self.retries)}")

    def crashed(self, server, now):
        """A server ends under a deadly request; it is back after a while."""
        self._crashes.append(now)
        server.is_expected_to_end = True
        self._soak.spawn(self._start_again(server))

    async def _start_again(self, server):
        await server.ended()
        server.link.refuse()
        await asyncio.sleep(DOWN_TIME)
        if not self._soak.is_over:
            await server.link.start()
            await server.start()

    def refused(self, attempt_id, reason):
        """A gateway has rejected a request as one that ends servers."""
        is_innocent = not attempt_id.startswith(("deadly-", "deadlypart-"))
        if reason in REASONS and is_innocent:
            self._soak.promises.breach("POISON", f"{attempt_id} was rejected "
                                       f"as {reason}")
