"""The engines of the cases 6 and 7, and the clients of their streams."""

import asyncio
import hashlib
import random

import kit

CLIENTS = 24
CALM, TROUBLED, AFTER = 3.0, 5.0, 2.0
SPOILED_SHARE = 0.05  # of its answers, at most
EVENT_PAUSE = 0.02
DEADLINE_MS = 8000

CONFIG = {
    "routes": [{"name": "r-1", "host": "shop.example",
                "pathPrefix": "/review/", "kind": "streaming",
                "timeoutMs": DEADLINE_MS, "targetLatencyMs": 1200,
                "priority": 1, "service": "pool", "maxAttempts": 2,
                "public": False, "sticky": True, "streamResume": True,
                "targetGapMs": 500}],
    "services": [{"name": "pool", "healthPath": "/health",
                  "maxConnections": 620, "protocol": "h1", "tls": False,
                  "engine": {"slots": 128, "kvCapacityTokens": 287136,
                             "kvTokenBytes": 131072, "stride": 3,
                             "models": [{"name": "m"}]}}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
               "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    "tenants": [{"name": "t-1", "apiKeys": ["key-1"], "priority": 1}]}


def data_of(attempt, number):
    return hashlib.sha256(f"{attempt}/{number}".encode()).hexdigest()[:24]


class Engine(kit.Server):
    """Answers each request by the events 1 to X-Token-Count, one a while."""

    is_spoiling = False
    spoiled = 0

    def spoiled_id(self, number, count):
        """Returns the line of a spoiled id, or None: this event is sound."""
        raise NotImplementedError

    async def _serve(self, reader, writer):
        while (request := await kit.read_head(reader)) is not None:
            await kit.read_body(reader, request)
            await self.stream(request, writer)
            await writer.drain()

    async def stream(self, request, writer):
        attempt = request.get("x-attempt-id")
        count = int(request.get("x-token-count").split(",")[1])
        after = int(request.get("last-event-id", "0"))
        self.record.add(f"{self.id}: runs {attempt}, events {after + 1} to "
                        f"{count}")
        self.runs.append((self.record.now(), attempt))
        spoils = False
        if self.is_spoiling:
            self.answers += 1
            spoils = self.spoiled + 1 <= SPOILED_SHARE * self.answers
            self.spoiled += spoils
        writer.write(kit.head_bytes("HTTP/1.1 200 OK", {
            "X-Attempt-Id": attempt, "X-Server-Seal": f"{self.id}.{attempt}",
            "X-Weight-Versions": "1", "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked"}))
        for number in range(after + 1, count + 1):
            await asyncio.sleep(EVENT_PAUSE)
            line = f"id: {number}\n"
            wrong = self.spoiled_id(number, count) if spoils else None
            if wrong is not None:
                self.record.add(f"{self.id}: spoils event {number} of "
                                f"{attempt}: {line!r} becomes {wrong!r}")
                line = wrong
            piece = f"{line}data: {data_of(attempt, number)}\n\n".encode()
            writer.write(f"{len(piece):x}\r\n".encode() + piece + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")


async def ask(fleet, connection, attempt, count):
    """Returns the events of a stream, once it has ended as complete."""
    fields = {"Host": "shop.example", "X-Attempt-Id": attempt,
              "X-Deadline-Ms": DEADLINE_MS, "X-Credential": "key-1",
              "X-Model": "m", "X-Token-Count": f"400,{count}",
              "X-Prompt-Prefix": f"5c1e07a2:300,{attempt}:100"}
    if connection.writer is None:
        await connection.open()
    connection.writer.write(kit.message_bytes("POST /review/x HTTP/1.1",
                                              fields, b"x" * 600))
    await connection.writer.drain()
    answer = await kit.read_head(connection.reader)
    if answer is None:
        raise kit.Gone("closed without an answer")
    if answer.status != 200:
        await kit.read_body(connection.reader, answer)
        fleet.record.add(f"client: {attempt} got {answer.status}")
        return None
    body = b""
    while chunk := await kit.read_chunk(connection.reader):
        body += chunk
    return body.decode()


async def client(fleet, index, ends, whole, broken):
    gateway = fleet.gateways[index % len(fleet.gateways)]
    connection = kit.Connection(gateway.client_address)
    record = fleet.record
    while record.now() < ends:
        attempt, count = kit.attempt_id(), random.randrange(10, 20)
        record.add(f"client {index}: sends {attempt}, {count} events, to "
                   f"{gateway.name}")
        try:
            async with asyncio.timeout(10):
                body = await ask(fleet, connection, attempt, count)
        except (kit.Gone, OSError, TimeoutError) as error:
            record.add(f"client {index}: {attempt} ended: {error!r}")
            connection.close()
            continue
        if body is None:
            await asyncio.sleep(0.1)
            continue
        times = {number: body.count(f"data: {data_of(attempt, number)}\n")
                 for number in range(1, count + 1)}
        missing = [number for number in times if times[number] == 0]
        repeated = [number for number in times if times[number] > 1]
        record.add(f"client {index}: {attempt} ended as complete, missing "
                   f"pieces: {missing}, repeated: {repeated}")
        if missing or repeated:
            broken.append(f"ORDER {attempt} ended as complete, with the last "
                          f"chunk: of {count} pieces {missing} are missing, "
                          f"{repeated} came twice")
        else:
            whole.append(attempt)
    connection.close()


async def play(record, faulty):
    """Three gateways, three engines; the first engine is a `faulty` one."""
    fleet = kit.Fleet(record)
    try:
        await fleet.start()
        engines = [kind(fleet.platform, record, f"i-{number + 1}", "pool",
                        kit.ZONES[number], fleet.address(2, number + 1),
                        slots=128)
                   for number, kind in enumerate((faulty, Engine, Engine))]
        await fleet.platform.put_config(CONFIG)
        for engine in engines:
            await engine.start()
        await fleet.start_gateways()
        await asyncio.sleep(2)
        whole, broken = [], []
        ends = record.now() + CALM + TROUBLED + AFTER
        clients = [asyncio.create_task(
            client(fleet, index, ends, whole, broken))
            for index in range(CLIENTS)]
        await asyncio.sleep(CALM)
        engines[0].is_spoiling = kit.TROUBLE
        await asyncio.sleep(TROUBLED)
        engines[0].is_spoiling = False
        await asyncio.gather(*clients)
        if fleet.crashed():
            raise kit.NotRun(f"processes ended: {fleet.crashed()}")
        print(f"{len(whole)} whole streams; {engines[0].id} spoiled "
              f"{engines[0].spoiled} of {engines[0].answers} answers")
        if len(whole) < 100:
            raise kit.NotRun("fewer than 100 streams were served")
        return broken
    finally:
        await fleet.stop()
