"""Prompt parts that crash each server that begins to write an answer on them.

No two of these requests are alike. Sound requests share their caller and their
other parts. What is judged: few requests with such a part reach servers once the
fleet should know it, and sound ones go on to be served.
"""

import asyncio
import random

import http_wire
from promises import CONTACT, STAND_IN_SLACK, Attempt

CRASHES_OBSERVED = 5  # after which the fleet is to reject the part
MOST_SENT = 3  # that may still reach servers then
DEADLINE = 3.0
PAUSE = (0.1, 0.5)
SOUND_PAUSE = 0.12
EVENTS = 4
PARTS = ("dead0", "dead1")  # hexadecimal, as all part ids
SOUND_PARTS = tuple(f"5{number}" for number in range(4))
COMMON_PART = "c0"  # of all these requests
LEAST_SHARE = 0.5
LEAST_JUDGED = 20


class DeadlyParts:
    """Sends requests with deadly parts, and sound ones beside them."""

    def __init__(self, soak, seed):
        self._soak = soak
        self._random = random.Random(seed * 37 + 5)
        self._crashes = {part: [] for part in PARTS}
        self._part_of = {}  # attempt: its deadly part
        self._late = {part: [] for part in PARTS}
        self._sound = []

    async def run(self, seconds):
        end = self._soak.now() + seconds
        for part in PARTS[:self._soak.options.deadly_parts]:
            self._soak.spawn(self._send_all(part, end))
        self._soak.spawn(self._send_sound(end + CONTACT))

    async def _send_all(self, part, end):
        while self._soak.now() < end:
            attempt = self._draw("deadlypart")
            self._part_of[attempt.id] = part
            self._soak.spawn(self._send(attempt, part))
            await asyncio.sleep(self._random.uniform(*PAUSE))

    async def _send_sound(self, end):
        while self._soak.now() < end:
            attempt = self._draw("sound")
            self._sound.append(attempt)
            self._soak.spawn(self._send(attempt,
                                        self._random.choice(SOUND_PARTS)))
            await asyncio.sleep(SOUND_PAUSE)

    def _draw(self, name):
        gateway = self._random.choice(self._soak.fleet.gateways)
        attempt = Attempt(f"{name}-{self._random.getrandbits(64):x}", "stream",
                          "large", gateway.name, self._soak.now(), DEADLINE,
                          EVENTS)
        self._soak.promises.attempts[attempt.id] = attempt
        return attempt

    async def _send(self, attempt, part):
        gateway = next(one for one in self._soak.fleet.gateways
                       if one.name == attempt.gateway)
        fields = {"Host": "soak.example", "X-Attempt-Id": attempt.id,
                  "X-Deadline-Ms": str(int(DEADLINE * 1000)),
                  "X-Credential": self._soak.key_of("large"), "X-Model": "m",
                  "X-Token-Count": f"500,{EVENTS}",
                  "X-Prompt-Prefix": f"{COMMON_PART}:200,{part}:200,"
                                     f"{self._random.getrandbits(32):x}:100"}
        writer = None
        try:
            async with asyncio.timeout(DEADLINE + 1.0):
                reader, writer = await asyncio.open_connection(
                    *gateway.client_address)
                writer.write(http_wire.write_message(
                    f"POST /stream/{attempt.id} HTTP/1.1", fields))
                answer = await http_wire.read_head(reader)
                if answer is not None:
                    await http_wire.read_body(reader, answer)
                    attempt.status = answer.status
        except (OSError, TimeoutError, http_wire.Broken):
            pass
        finally:
            attempt.ended_at = self._soak.now()
            if writer is not None:
                writer.transport.abort()

    # What servers tell.

    def ran(self, attempt_id, gateway, now):
        """A server has begun to run a request."""
        part = self._part_of.get(attempt_id)
        if part is None or len(self._crashes[part]) < CRASHES_OBSERVED:
            return
        fifth = self._crashes[part][CRASHES_OBSERVED - 1]
        is_bound = now > fifth + CONTACT + STAND_IN_SLACK
        if is_bound and self._soak.disturbances.is_calm({gateway, "store"},
                                                        fifth, now):
            self._late[part].append(now)
            if len(self._late[part]) > MOST_SENT:
                self._soak.promises.breach(
                    "BUDGET", f"{attempt_id} with part {part} was sent by "
                    f"{gateway} {now - fifth:.2f} s after the fifth crash")

    def crashed(self, attempt_id, now):
        part = self._part_of.get(attempt_id)
        if part is not None:
            self._crashes[part].append(now)

    def check(self):
        """Checks that sound requests are served while the part is rejected."""
        crashes = {part: len(times) for part, times in self._crashes.items()}
        self._soak.counts["crashes by part"] = crashes
        self._soak.counts["sent late"] = {part: len(times) for part, times
                                          in self._late.items()}
        known_at = max((times[CRASHES_OBSERVED - 1] if
                        len(times) >= CRASHES_OBSERVED else times[-1])
                       for times in self._crashes.values() if times)
        judged = [attempt for attempt in self._sound
                  if attempt.sent_at > known_at + 2 * CONTACT and
                  self._soak.disturbances.is_calm(
                      {attempt.gateway}, attempt.sent_at, attempt.ended_at)]
        served = sum(attempt.status == 200 for attempt in judged)
        self._soak.counts["sound"] = f"{served} of {len(judged)}"
        if len(judged) >= LEAST_JUDGED and served < LEAST_SHARE * len(judged):
            self._soak.promises.breach(
                "LOST", f"{served} of {len(judged)} sound requests were "
                "served beside a part that crashes servers")
