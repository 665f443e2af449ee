"""A gateway that is told to stop answers every request that it has passed on.

    DALESHELFD=build/bin/daleshelfd python3 -m unittest planned_stop_test
"""

import asyncio
import signal
import time
import unittest

import http_wire
import one_gateway

LANE = 252
STOP_S = 8.0
TIMEOUT_MS = 12000
SENDING_INTERVAL = 0.1
EVENT_PAUSE = 0.1
SIGNED = {"X-Server-Seal": "seal"}
ROUTES = [one_gateway.route("once", "unsafe", TIMEOUT_MS),
          one_gateway.route("events", "streaming", TIMEOUT_MS)]


class Upstream:
    """Works on each request for as long as its path says, in ms."""

    def __init__(self):
        self.runs = {}  # attempt id: when it began
        self.deadlines = {}  # attempt id: X-Deadline-Ms, in seconds

    async def serve(self, reader, writer):
        try:
            while (request := await http_wire.read_head(reader)) is not None:
                await self._run(request, writer)
                await writer.drain()
        except (http_wire.Broken, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _run(self, request, writer):
        attempt = request.fields["x-attempt-id"]
        self.runs[attempt] = time.monotonic()
        self.deadlines[attempt] = int(request.fields["x-deadline-ms"]) / 1000
        _, kind, duration = request.target.split("/")
        own = {"X-Attempt-Id": attempt, **SIGNED}
        if kind == "events":
            await self._stream(own, float(duration) / 1000, writer)
            return
        await asyncio.sleep(float(duration) / 1000)
        writer.write(http_wire.write_message("HTTP/1.1 200 OK", own, b"done"))

    async def _stream(self, own, duration, writer):
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                 "Transfer-Encoding: chunked",
                 *(f"{name}: {value}" for name, value in own.items()), "", ""]
        writer.write("\r\n".join(lines).encode())
        for number in range(1, max(1, round(duration / EVENT_PAUSE)) + 1):
            event = f"id: {number}\ndata: x\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await asyncio.sleep(EVENT_PAUSE)
        writer.write(b"0\r\n\r\n")


class Outcome:
    """What a client got for one request."""

    def __init__(self, attempt):
        self.attempt = attempt
        self.sent_at = time.monotonic()
        self.status = None  # None: no complete head
        self.is_complete = False
        self.ended_at = None

    @property
    def duration(self):
        return self.ended_at - self.sent_at


async def ask(address, attempt, path, connection=None):
    """Sends one request; returns its outcome, whatever happens."""
    outcome = Outcome(attempt)
    try:
        reader, writer = connection or await asyncio.open_connection(*address)
        outcome.sent_at = time.monotonic()
        writer.write(http_wire.write_message(
            f"POST {path} HTTP/1.1",
            {"Host": one_gateway.HOST, "X-Attempt-Id": attempt,
             "X-Deadline-Ms": TIMEOUT_MS}))
        answer = await http_wire.read_head(reader)
        if answer is not None:
            outcome.status = answer.status
            await http_wire.read_body(reader, answer)
            outcome.is_complete = True
    except (http_wire.Broken, OSError):
        pass
    outcome.ended_at = time.monotonic()
    return outcome


class PlannedStopTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.upstream = Upstream()
        self.gateway = await one_gateway.OneGateway(
            LANE, self.upstream.serve, ROUTES,
            int(STOP_S * 1000)).__aenter__()
        self.tasks = []
        self.stopped_at = None

    async def asyncTearDown(self):
        await self.gateway.__aexit__()

    def send(self, path, connection=None):
        number = len(self.tasks)
        self.tasks.append(asyncio.create_task(
            ask(self.gateway.address, f"r{number}", path, connection)))

    async def stop(self):
        self.stopped_at = time.monotonic()
        self.gateway.send(signal.SIGTERM)

    async def send_until_end(self, path):
        """Sends requests until the process is gone, on new connections and on
        connections that were opened before the stop."""
        kept = [await asyncio.open_connection(*self.gateway.address)
                for _ in range(int(STOP_S / SENDING_INTERVAL))]
        for _ in range(10):
            self.send(path)
            await asyncio.sleep(SENDING_INTERVAL)
        await self.stop()
        while self.gateway.is_running:
            self.send(path)
            if kept:
                self.send(path, kept.pop())
            await asyncio.sleep(SENDING_INTERVAL)
        return await asyncio.gather(*self.tasks)

    async def end(self):
        self.assertEqual(await self.gateway.ended(), 0)
        self.assertLess(time.monotonic() - self.stopped_at, STOP_S)

    def expect_answers(self, outcomes):
        """No request ran without an answer, or was said not to have run."""
        silent = [(round(outcome.sent_at - self.stopped_at, 2), outcome.status)
                  for outcome in outcomes
                  if outcome.attempt in self.upstream.runs and
                  not outcome.is_complete]
        self.assertEqual(silent, [], "(sent after the stop, status)")
        wrong = [outcome.attempt for outcome in outcomes
                 if outcome.status in (408, 421, 429, 503) and
                 outcome.attempt in self.upstream.runs]
        self.assertEqual(wrong, [], "promised that they had not run")

    # Requests in flight at the end of the grace were cut without an answer.
    async def test_requests_longer_than_the_grace_are_answered(self):
        outcomes = await self.send_until_end("/once/9000")
        await self.end()
        self.expect_answers(outcomes)
        self.assertIn(504, {outcome.status for outcome in outcomes})

    async def test_requests_that_can_end_within_the_grace_are_served(self):
        outcomes = await self.send_until_end("/once/2000")
        await self.end()
        self.expect_answers(outcomes)
        self.assertEqual({outcome.status for outcome in outcomes
                          if outcome.attempt in self.upstream.runs}, {200})

    # Requests were passed on with deadlines after the end of the process.
    async def test_deadlines_end_before_the_process_does(self):
        await self.send_until_end("/once/9000")
        for attempt, began in self.upstream.runs.items():
            if began > self.stopped_at:
                self.assertLess(began + self.upstream.deadlines[attempt],
                                self.stopped_at + STOP_S, attempt)

    # Requests that could not end in time were passed on all the same.
    async def test_requests_known_to_take_too_long_are_rejected_at_once(self):
        await asyncio.gather(*(ask(self.gateway.address, f"before{number}",
                                   "/once/5500") for number in range(8)))
        outcomes = await self.send_until_end("/once/5500")
        await self.end()
        self.expect_answers(outcomes)
        late = [outcome for outcome in outcomes if outcome.status is not None
                and 2.2 < outcome.sent_at - self.stopped_at < 2.8]
        self.assertGreater(len(late), 0)
        for outcome in late:
            self.assertEqual(outcome.status, 503)
            self.assertNotIn(outcome.attempt, self.upstream.runs)
            self.assertLess(outcome.duration, STOP_S / 2)

    async def test_streams_are_completed_or_look_incomplete(self):
        for path in ("/events/1000", "/events/11000"):
            self.send(path)
        await asyncio.sleep(0.5)
        await self.stop()
        for path in ("/events/1000", "/events/11000"):
            self.send(path)
        outcomes = await asyncio.gather(*self.tasks)
        await self.end()
        self.assertEqual([outcome.is_complete for outcome in outcomes],
                         [True, False, True, False])

    # A changed setting or a second signal does not move the end of the stop.
    async def test_further_signals_leave_the_end_where_it_is(self):
        self.send("/once/9000")
        await asyncio.sleep(0.2)
        await self.stop()
        self.send("/once/9000")
        for stop_ms in (60000, 500):
            await asyncio.sleep(1.0)
            self.gateway.write_settings(stop_ms)
            self.gateway.send(signal.SIGHUP)
            self.gateway.send(signal.SIGTERM)
        outcomes = await asyncio.gather(*self.tasks)
        await self.end()
        self.expect_answers(outcomes)
        self.assertGreater(time.monotonic() - self.stopped_at, STOP_S / 2)


if __name__ == "__main__":
    unittest.main()
