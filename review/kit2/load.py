"""The small deployment of the cases 4, 5 and 8, and its clients."""

import asyncio

import kit

CLIENTS = 24
PAUSE = 0.1  # seconds, between two requests of a client
CALM, TROUBLED, AFTER = 3.0, 5.0, 2.0
DEADLINE_MS = 600

CONFIG = {
    "routes": [{"name": "r-1", "host": "shop.example", "pathPrefix": "/once/",
                "kind": "unsafe", "timeoutMs": DEADLINE_MS,
                "targetLatencyMs": 100, "priority": 2, "service": "portal",
                "maxAttempts": 1, "public": False}],
    "services": [{"name": "portal", "healthPath": "/health",
                  "maxConnections": 110}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
               "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    "tenants": [{"name": "t-1", "apiKeys": ["key-1"], "priority": 1}]}


async def ask_until(fleet, index, ends, answers, no_answers):
    """One client: unsafe requests on a kept connection, one at a time. It
    repeats none; each carries an id of its own."""
    gateway = fleet.gateways[index % len(fleet.gateways)]
    connection = kit.Connection(gateway.client_address)
    record = fleet.record
    while record.now() < ends:
        attempt = kit.attempt_id()
        fields = {"Host": "shop.example", "X-Attempt-Id": attempt,
                  "X-Deadline-Ms": DEADLINE_MS, "X-Credential": "key-1"}
        record.add(f"client {index}: sends {attempt} to {gateway.name}")
        try:
            async with asyncio.timeout(3):
                answer = await connection.ask("POST /once/x HTTP/1.1", fields,
                                              b"x" * 600)
            answers[attempt] = answer.status
            record.add(f"client {index}: {attempt} got {answer.status}")
        except (kit.Gone, OSError, TimeoutError) as error:
            record.add(f"client {index}: {attempt} ended: {error!r}")
            connection.close()
            if str(error).startswith(kit.NO_MESSAGE):
                no_answers[attempt] = str(error)
        await asyncio.sleep(PAUSE)
    connection.close()


async def play(record, faulty):
    """Three gateways, three servers; the first server is a `faulty` one.

    Returns, each by attempt: the statuses of answers, the bytes that clients
    got in place of an answer, and the runs."""
    fleet = kit.Fleet(record)
    try:
        await fleet.start()
        kinds = (faulty, kit.Server, kit.Server)
        servers = [kind(fleet.platform, record, f"i-{number + 1}", "portal",
                        kit.ZONES[number], fleet.address(2, number + 1))
                   for number, kind in enumerate(kinds)]
        await fleet.platform.put_config(CONFIG)
        for server in servers:
            await server.start()
        await fleet.start_gateways()
        await asyncio.sleep(2)
        answers, no_answers = {}, {}
        ends = record.now() + CALM + TROUBLED + AFTER
        clients = [asyncio.create_task(
            ask_until(fleet, index, ends, answers, no_answers))
            for index in range(CLIENTS)]
        await asyncio.sleep(CALM)
        servers[0].is_spoiling = kit.TROUBLE
        record.add("the disruption begins" if kit.TROUBLE else
                   "the disruption would begin")
        await asyncio.sleep(TROUBLED)
        servers[0].is_spoiling = False
        record.add("the disruption is over")
        await asyncio.gather(*clients)
        await asyncio.sleep(0.5)
        if fleet.crashed():
            raise kit.NotRun(f"processes ended: {fleet.crashed()}")
        runs = {}
        for server in servers:
            for at, attempt in server.runs:
                runs.setdefault(attempt, []).append((at, server.id))
        print(f"{len(answers)} answers, {sum(map(len, runs.values()))} runs; "
              f"{servers[0].id} spoiled {servers[0].spoiled} of "
              f"{servers[0].answered} answers")
        served = sum(200 <= status < 300 for status in answers.values())
        if served < 100:
            raise kit.NotRun(f"only {served} requests were served")
        return answers, no_answers, runs
    finally:
        await fleet.stop()
