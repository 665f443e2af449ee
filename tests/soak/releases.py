"""Releases of the soak, each while one gateway is out of step.

Each of several services has had a single version until servers of a second one
join. Meanwhile one gateway is stopped, suspended, or cut off from the store, and in
half of the cases from the other gateways too. Streams that begin at the other
gateways are broken and resumed at that one; half of their clients name the attempt
that began them. What is judged: a stream holds events of one version only, and
streams go on at gateways in touch as often as new ones begin, where their version
can be known.
"""

import asyncio
import random
import signal
import uuid

import http_wire
from clients import read_stream
from promises import Attempt
from versions import judge

COUNT = 6
SERVERS = 2  # of each version
STREAMS = 16  # at a time
SETTLING = 1.0  # with one version
AFTERWARDS = 1.0
EVENTS = 12
MOST_BEFORE_BREAK = 3  # events
DEADLINE = 6.0
LONGEST_TROUBLE = 5.0
STORE_TROUBLES = ("stop", "suspend", "cut_up", "cut_down", "silence")
SHARE_CUT_FROM_PEERS = 0.5
SERVICES = [f"release{number}" for number in range(COUNT)]


def path_of(service):
    return f"/{service}/"


class Releases:
    """Releases a second version of each service, one after the other."""

    def __init__(self, soak, seed):
        self._soak = soak
        self._troubles = random.Random(seed * 6121)
        self._random = random.Random(seed * 6133)
        self._released_at = {}  # service: when its second version was started
        self._resumed = []
        self._new = []

    async def start(self):
        for service in SERVICES:
            for _ in range(SERVERS):
                await self._soak.fleet.add_server(service)

    async def run(self, seconds):
        """Releases until the time is over or every service was released."""
        begin = self._soak.now()
        for service in SERVICES:
            if self._soak.now() - begin > seconds:
                break
            await self._release(service)

    async def _release(self, service):
        gateways = self._soak.fleet.gateways
        disturbed = self._troubles.choice(gateways)
        seconds = self._troubles.uniform(0.2, LONGEST_TROUBLE)
        length = SETTLING + seconds + AFTERWARDS
        streams = [asyncio.create_task(
            self._play_streams(service, disturbed, length))
            for _ in range(STREAMS)]
        await asyncio.sleep(SETTLING)
        trouble = asyncio.create_task(self._disturb(disturbed, seconds))
        self._released_at[service] = self._soak.now()
        for _ in range(SERVERS):
            await self._soak.fleet.add_server(service, "v2")
        self._soak.count("releases")
        await asyncio.gather(trouble, *streams)

    async def _disturb(self, gateway, seconds):
        # A server takes a moment to list itself.
        await asyncio.sleep(self._troubles.uniform(0.0, 0.5))
        kind = self._troubles.choice(STORE_TROUBLES)
        is_cut_off = self._troubles.random() < SHARE_CUT_FROM_PEERS
        self._soak.count(f"out of step: {kind}")
        self._soak.disturb(gateway.name, seconds + 0.5)
        if is_cut_off:
            self._soak.count("out of step: cut off from peers")
            gateway.partition.set("peers")
        if kind == "suspend" and self._soak.options.suspensions:
            await gateway.suspend(seconds)
        elif kind in ("stop", "suspend"):
            gateway.send(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            gateway.send(signal.SIGCONT)
        else:
            gateway.store_link.harm(kind)
            await asyncio.sleep(seconds)
            gateway.store_link.heal()
        gateway.partition.set("none")

    async def _play_streams(self, service, disturbed, seconds):
        end = self._soak.now() + seconds
        others = [gateway for gateway in self._soak.fleet.gateways
                  if gateway is not disturbed]
        while self._soak.now() < end:
            begun = self._attempt(self._random.choice(others).name)
            begun.breaks_after = self._random.randint(1, MOST_BEFORE_BREAK)
            await self._send(service, begun, {})
            self._new.append(begun)
            if len(begun.versions) != 1:
                await asyncio.sleep(0.1)
                continue
            at = disturbed if self._random.random() < 0.8 else (
                self._random.choice(others))
            await self._resume(service, begun, at)

    def _attempt(self, gateway):
        return Attempt(uuid.UUID(int=self._random.getrandbits(128)).hex[:16],
                       "stream", "large", gateway, self._soak.now(), DEADLINE,
                       EVENTS)

    async def _resume(self, service, begun, gateway):
        attempt = self._attempt(gateway.name)
        attempt.seen_events = attempt.events_before = begun.seen_events
        attempt.resumes = begun.id
        attempt.versions = begun.versions
        is_named = self._random.random() < 0.5
        self._soak.count("resumed, named" if is_named else "resumed, unnamed")
        fields = {"Last-Event-Id": str(begun.seen_events),
                  "X-Soak-Stream": begun.id}
        if is_named:
            fields["Resumes"] = begun.id
        await self._send(service, attempt, fields)
        released_at = self._released_at.get(service, float("inf"))
        if is_named or attempt.ended_at < released_at:
            self._resumed.append(attempt)

    async def _send(self, service, attempt, fields):
        """Sends an attempt on a connection of its own."""
        promises = self._soak.promises
        promises.attempts[attempt.id] = attempt
        gateway = next(gateway for gateway in self._soak.fleet.gateways
                       if gateway.name == attempt.gateway)
        fields = {"Host": "soak.example", "X-Attempt-Id": attempt.id,
                  "X-Deadline-Ms": str(int(DEADLINE * 1000)),
                  "X-Credential": self._soak.key_of("large"), "X-Model": "m",
                  "X-Token-Count": f"400,{EVENTS}",
                  "X-Prompt-Prefix": f"{attempt.id}:100", **fields}
        writer = None
        try:
            async with asyncio.timeout(DEADLINE + 1.0):
                reader, writer = await asyncio.open_connection(
                    *gateway.client_address)
                writer.write(http_wire.write_message(
                    f"POST {path_of(service)}x HTTP/1.1", fields))
                await writer.drain()
                await self._read(attempt, reader)
        except (http_wire.Broken, OSError, TimeoutError):
            promises.cut_off(attempt, self._soak.now())
        finally:
            if writer is not None:
                writer.transport.abort()

    async def _read(self, attempt, reader):
        answer = await http_wire.read_head(reader)
        if answer is None:
            raise http_wire.Broken("closed without an answer")
        if answer.fields.get("transfer-encoding") != "chunked":
            await http_wire.read_body(reader, answer)
            self._soak.promises.answered(attempt, answer, self._soak.now())
            return
        await read_stream(self._soak.promises, attempt, answer, reader)
        self._soak.promises.streamed(attempt, self._soak.now())

    def check(self):
        """Checks the share of streams that went on, at gateways in touch."""
        resumed = [attempt for attempt in self._resumed
                   if self._is_judged(attempt)]
        new = [attempt for attempt in self._new if self._is_judged(attempt)]
        went_on = sum(attempt.has_begun for attempt in resumed)
        begun = sum(attempt.has_begun for attempt in new)
        self._soak.counts["releases: went on"] = f"{went_on} of {len(resumed)}"
        self._soak.counts["releases: begun"] = f"{begun} of {len(new)}"
        if judge(went_on, len(resumed), begun, len(new)):
            self._soak.promises.breach(
                "LOST", f"{went_on} of {len(resumed)} streams that were "
                f"resumed went on, {begun} of {len(new)} new ones began")

    def _is_judged(self, attempt):
        return attempt.ended_at > 0 and self._soak.disturbances.is_calm(
            {attempt.gateway}, attempt.sent_at, attempt.ended_at)
