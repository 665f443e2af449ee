"""Clients of the soak: each keeps a connection and asks one thing at a time."""

import asyncio
import random
import uuid

import http_wire
from herd_kills import RETURN
from promises import Attempt

PATHS = {"safe": "/safe/", "unsafe": "/once/",
         "stream": "/stream/", "fixed": "/fixed/"}
DEADLINES = {"safe": 1.5, "unsafe": 1.5, "stream": 6.0, "fixed": 6.0}
SHARE_LEAVING = 0.03
SHARE_HOLDING = 0.5
PATIENCE = 1.5
SHARE_BREAKING = 0.3  # of streams whose connection their client loses


async def read_stream(promises, attempt, answer, reader):
    """Judges the events of a stream until it ends or its client is to leave."""
    if answer.fields.get("x-attempt-id") != attempt.id:
        promises.breach("MIXED", f"{attempt.id} got the head of "
                        f"{answer.fields}")
    try:
        async for event in http_wire.read_events(reader):
            promises.saw_event(attempt, int(event["id"]), event["data"],
                               event["version"])
            if attempt.seen_events == attempt.breaks_after:
                raise http_wire.Broken("the client loses its connection")
    except http_wire.HalfEvent as rest:
        promises.breach("ORDER", f"{attempt.id}: half an event at the end: "
                        f"{rest}")


class Client:
    """One client at one gateway."""

    def __init__(self, soak, gateway, tenant, seed):
        self._soak = soak
        self._gateway = gateway
        self._tenant = tenant
        self._random = random.Random(seed)
        self._reader = None
        self._writer = None
        self._held = []

    async def run(self):
        while not self._soak.is_over:
            try:
                if self._writer is None:
                    async with asyncio.timeout(2):
                        self._reader, self._writer = (
                            await asyncio.open_connection(
                                *self._gateway.client_address))
                pause = await self._ask()
            except (OSError, TimeoutError):
                self._drop()
                pause = 0.2
            await asyncio.sleep(pause + self._random.expovariate(20))
        self._drop()
        for writer in self._held:
            writer.close()

    async def _ask(self):
        """Asks once; returns how long to wait before the next time."""
        attempt, start, fields = self._draw()
        promises = self._soak.promises
        promises.attempts[attempt.id] = attempt
        if self._soak.versions and attempt.kind == "stream":
            self._soak.versions.begins(attempt)
            if self._soak.herd_kills:
                self._soak.herd_kills.begins(attempt)
            if self._random.random() < SHARE_BREAKING:
                attempt.breaks_after = self._random.randint(1, attempt.events)
        limit = attempt.deadline + PATIENCE
        leaves = self._random.random() < SHARE_LEAVING
        if leaves:
            limit = self._random.uniform(0.01, 0.3)
        try:
            async with asyncio.timeout(limit):
                self._writer.write(http_wire.write_message(start, fields))
                await self._writer.drain()
                answer = await self._read_answer(attempt)
        except TimeoutError:  # before OSError, of which it is one
            if not leaves:
                promises.given_up(attempt, self._soak.now())
            self._drop()
            return 0.05
        except (http_wire.Broken, OSError):
            promises.cut_off(attempt, self._soak.now())
            self._drop()
            if self._soak.versions and attempt.kind == "stream":
                await self._resume(attempt, start, fields)
            return 0.05
        if answer.fields.get("connection", "").lower() == "close":
            self._leave_connection()
        retry = float(answer.fields.get("retry-after", "0"))
        return min(retry, 1.0)

    async def _resume(self, broken, start, fields):
        """Resumes a broken stream: once, or until the deadline of a client
        whose gateway was killed with all others."""
        seen = broken.seen_events
        if not 0 < seen < broken.events or len(broken.versions) != 1:
            return
        attempt = self._next_attempt(broken)
        self._soak.versions.takes_up(attempt)
        await self._take_up(attempt, start, fields)
        herd_kills = self._soak.herd_kills
        if not herd_kills or not herd_kills.has_killed(broken):
            return
        deadline = broken.sent_at + broken.deadline
        while not attempt.has_begun and self._soak.now() < deadline:
            await asyncio.sleep(RETURN)
            attempt = self._next_attempt(broken)
            await self._take_up(attempt, start, fields)
        herd_kills.resumes(attempt)

    def _next_attempt(self, broken):
        """Returns an attempt at another gateway that resumes a stream."""
        seen = broken.seen_events
        others = [gateway for gateway in self._soak.fleet.gateways
                  if gateway is not self._gateway]
        gateway = self._random.choice(others)
        return Attempt(
            uuid.UUID(int=self._random.getrandbits(128)).hex[:16], broken.kind,
            broken.tenant, gateway.name, self._soak.now(), broken.deadline,
            broken.events, seen_events=seen, events_before=seen,
            resumes=broken.stream, versions=broken.versions)

    async def _take_up(self, attempt, start, fields):
        """Sends an attempt that resumes a stream."""
        self._soak.promises.attempts[attempt.id] = attempt
        gateway = next(gateway for gateway in self._soak.fleet.gateways
                       if gateway.name == attempt.gateway)
        fields = {**fields, "X-Attempt-Id": attempt.id,
                  "Resumes": attempt.resumes,
                  "Last-Event-Id": str(attempt.events_before)}
        own, writer = self._reader, None
        try:
            async with asyncio.timeout(attempt.deadline):
                self._reader, writer = await asyncio.open_connection(
                    *gateway.client_address)
                writer.write(http_wire.write_message(start, fields))
                await writer.drain()
                await self._read_answer(attempt)
        except (http_wire.Broken, OSError, TimeoutError):
            self._soak.promises.cut_off(attempt, self._soak.now())
        finally:
            self._reader = own
            if writer is not None:
                writer.transport.abort()

    def _draw(self):
        kind = self._random.choice(("safe", "unsafe", "stream", "fixed"))
        attempt = Attempt(
            uuid.UUID(int=self._random.getrandbits(128)).hex[:16], kind,
            self._tenant, self._gateway.name, self._soak.now(),
            DEADLINES[kind])
        path = PATHS[kind]
        if kind == "safe" and self._random.random() < 0.3:
            path = self._random.choice(self._soak.extra_routes())
        fields = {"Host": "soak.example", "X-Attempt-Id": attempt.id,
                  "X-Deadline-Ms": str(int(attempt.deadline * 1000)),
                  "X-Credential": self._soak.key_of(self._tenant)}
        if kind in ("stream", "fixed"):
            attempt.events = self._random.randrange(1, 60)
            part = self._random.randrange(20)
            fields |= {"X-Model": "m",
                       "X-Token-Count": f"400,{attempt.events}",
                       "X-Prompt-Prefix": f"{part:x}:300,{attempt.id}:100"}
        method = "GET" if kind == "safe" else "POST"
        return attempt, f"{method} {path}x HTTP/1.1", fields

    async def _read_answer(self, attempt):
        answer = await http_wire.read_head(self._reader)
        if answer is None:
            raise http_wire.Broken("closed without an answer")
        is_stream = answer.fields.get("transfer-encoding") == "chunked"
        if is_stream:
            await read_stream(self._soak.promises, attempt, answer,
                              self._reader)
            self._soak.promises.streamed(attempt, self._soak.now())
        else:
            await http_wire.read_body(self._reader, answer)
            self._soak.promises.answered(attempt, answer, self._soak.now())
        return answer

    def _leave_connection(self):
        """Some clients keep a connection open until the process is gone."""
        if self._random.random() < SHARE_HOLDING:
            self._held.append(self._writer)
            self._reader = self._writer = None
        else:
            self._drop()

    def _drop(self):
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None
