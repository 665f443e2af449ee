"""Upstreams that send without end do not exhaust a gateway's memory.

    DALESHELFD=build/bin/daleshelfd python3 -m unittest response_memory_test
"""

import asyncio
import unittest

import http_wire
import one_gateway
from server import endless_responses

LANE = 253
CONNECTIONS = 300
TIMEOUT_MS = 2000
MEMORY_LIMIT_KIB = 128 * 1024  # of the smallest hosts
CHECK_INTERVAL = 0.05
ROUTES = [one_gateway.route("safe", "safe", TIMEOUT_MS),
          one_gateway.route("events", "streaming", TIMEOUT_MS, True)]


class EndlessUpstream:
    """Answers each request with bytes of one kind until it is cut off."""

    def __init__(self, position):
        self._position = position
        self.sent = 0

    async def serve(self, reader, writer):
        try:
            request = await http_wire.read_head(reader)
            if request is None:
                return
            start, filler = endless_responses({
                "X-Attempt-Id": request.fields.get("x-attempt-id", ""),
                "X-Server-Seal": "seal"})[self._position]
            writer.write(start)
            while not writer.is_closing():
                writer.write(filler)
                self.sent += len(filler)
                await writer.drain()
        except (http_wire.Broken, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Client:
    """Sends one request; reads the answer, or leaves it unread."""

    def __init__(self, address, number, path, reads):
        self._address = address
        self._number = number
        self._path = path
        self._reads = reads

    async def run(self):
        try:
            reader, writer = await asyncio.open_connection(*self._address,
                                                           limit=4096)
        except OSError:
            return
        try:
            writer.write(http_wire.write_message(
                f"GET {self._path} HTTP/1.1",
                {"Host": one_gateway.HOST, "X-Attempt-Id": self._number,
                 "X-Deadline-Ms": TIMEOUT_MS, "Connection": "close"}))
            if not self._reads:
                await asyncio.sleep(TIMEOUT_MS / 1000)
                return
            while await reader.read(65536):
                pass
        except OSError:
            pass
        finally:
            writer.close()


class ResponseMemoryTest(unittest.IsolatedAsyncioTestCase):
    async def peak_kib(self, position, path):
        """Returns the most memory that a gateway holds with all connections.
        Every other client leaves its answer unread."""
        upstream = EndlessUpstream(position)
        async with one_gateway.OneGateway(LANE, upstream.serve,
                                          ROUTES) as gateway:
            clients = [asyncio.create_task(
                Client(gateway.address, number, path, number % 2 == 0).run())
                       for number in range(CONNECTIONS)]
            most = 0
            while not all(task.done() for task in clients):
                most = max(most, gateway.resident_kib() or 0)
                await asyncio.sleep(CHECK_INTERVAL)
            self.assertTrue(gateway.is_running, position)
            self.assertGreater(upstream.sent, 0)
            return most

    # Each exchange was bounded, and nothing bounded their sum.
    async def test_responses_without_end_are_bounded_in_sum(self):
        for position in sorted(endless_responses({})):
            for path in ("/safe/x", "/events/x"):
                with self.subTest(position=position, path=path):
                    self.assertLess(await self.peak_kib(position, path),
                                    MEMORY_LIMIT_KIB)


if __name__ == "__main__":
    unittest.main()
