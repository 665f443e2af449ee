"""Clients of the users' platform: what each attempt sent and what came back."""

import asyncio
import itertools
import time

import http_wire

numbers = itertools.count(1)


def new_id():
    return f"{next(numbers):016x}"


class Connection:
    """A kept connection to one gateway; opened anew once it has ended."""

    def __init__(self, gateway):
        self.gateway = gateway
        self.reader = None
        self.writer = None

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def attempt(self, method, target, fields, body=b"", limit=20.0):
        """Sends one attempt; returns what was seen of it."""
        attempt = new_id()
        seen = {"attempt": attempt, "gateway": self.gateway.name,
                "target": target, "status": 0, "seal": None, "whole": False,
                "events": 0, "read": False}
        try:
            async with asyncio.timeout(limit):
                if self.writer is None:
                    self.reader, self.writer = await asyncio.open_connection(
                        *self.gateway.client)
                seen["sent_at"] = time.monotonic()
                self.writer.write(http_wire.write_message(
                    f"{method} {target} HTTP/1.1",
                    {"Host": "a.example", "X-Attempt-Id": attempt, **fields},
                    body))
                await self.writer.drain()
                await self._read(seen)
        except (OSError, TimeoutError, http_wire.Broken) as error:
            seen["error"] = f"{type(error).__name__}: {error}"
            self.close()
        seen["ended_at"] = time.monotonic()
        return seen

    async def _read(self, seen):
        answer = await http_wire.read_head(self.reader)
        if answer is None:
            raise http_wire.Broken("closed without an answer")
        seen["status"] = answer.status
        seen["seal"] = answer.fields.get("x-server-seal")
        seen["encoding"] = answer.fields.get("content-encoding")
        if answer.fields.get("content-type", "").startswith(
                "text/event-stream"):
            while chunk := await http_wire.read_chunk(self.reader):
                seen["events"] += chunk.count(b"\n\n")
        else:
            await http_wire.read_body(self.reader, answer)
        seen["whole"] = True
        if answer.fields.get("connection", "").lower() == "close":
            self.close()
