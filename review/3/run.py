"""Servers hand out bytes that are not their answers; what do clients get?

Two of four servers spoil 5 in 100 of their answers for five seconds: in place
of the answer they send a 200 without `X-Server-Seal` and `X-Attempt-Id`, with
other bytes. MIXED is judged at the clients.
"""

import asyncio
import json
import os
import signal
import sys
import time
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
import fleet as parts  # noqa: E402
import client  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GATEWAYS = 3
CALLERS = 4  # a gateway
SPOILED_SHARE, SPOILING_S = 0.05, 5.0


class Run:
    def __init__(self, folder):
        self.record = open(HERE / "record.txt", "w", encoding="utf-8")
        self.fleet = parts.Fleet(folder, GATEWAYS, self.on_line)
        self.attempts = []
        self.spoiled = {}
        self.is_over = False

    def tell(self, **fields):
        print(json.dumps({"at": round(time.monotonic(), 3), **fields}),
              file=self.record, flush=True)

    def on_line(self, process, event):
        if "spoiled" in event:
            self.spoiled[event["spoiled"]] = event
        if "spoiled" in event or "spoils" in event:
            self.tell(process=process.name, **event)

    def configuration(self):
        return {"routes": [
            parts.route("fetch", "/fetch/", "reg-api"),
            parts.route("index", "/index/", "reg-api", "unsafe",
                        maxAttempts=1)],
            "services": [{"name": "reg-api", "healthPath": "/health",
                          "maxConnections": 110, "protocol": "h1",
                          "tls": False}],
            "limits": parts.LIMITS, "tenants": parts.TENANTS}

    async def caller(self, gateway, number):
        connection = client.Connection(gateway)
        while not self.is_over:
            if number % 2:
                seen = await connection.attempt("GET", "/fetch/", parts.PLAIN)
            else:
                seen = await connection.attempt("POST", "/index/", parts.PLAIN,
                                                b"x" * 600)
            self.attempts.append(seen)
            await asyncio.sleep(0.1)
        connection.close()

    async def run(self):
        await self.fleet.start()
        for _ in range(4):
            await self.fleet.add_server(
                "reg-api", parts.HERE / "server.py", "--spoil", "unsealed",
                "--share", str(SPOILED_SHARE))
        await self.fleet.set_configuration(self.configuration())
        await self.fleet.start_gateways()
        await self.fleet.wait_ready()
        await asyncio.sleep(2)
        callers = [asyncio.create_task(self.caller(gateway, number))
                   for gateway in self.fleet.gateways
                   for number in range(CALLERS)]
        await asyncio.sleep(3)
        faulty = self.fleet.servers[:2] if HAS_TROUBLE else []
        for server in faulty:
            server.send(signal.SIGUSR1)
        await asyncio.sleep(SPOILING_S)
        for server in faulty:
            server.send(signal.SIGUSR1)
        await asyncio.sleep(3)
        self.is_over = True
        await asyncio.gather(*callers)
        return self.judge()

    def judge(self):
        mixed = [seen for seen in self.attempts
                 if 200 <= seen["status"] < 300 and seen["seal"] is None]
        for seen in mixed:
            self.tell(mixed=seen, server=self.spoiled.get(seen["attempt"]))
        statuses = Counter(str(seen["status"]) for seen in self.attempts)
        self.tell(attempts=len(self.attempts), statuses=statuses,
                  spoiled=len(self.spoiled), mixed=len(mixed))
        if statuses["200"] < len(self.attempts) / 2:
            raise OSError(f"too few requests were served: {statuses}")
        print(f"{'broken' if mixed else 'held'}: {len(self.attempts)} "
              f"requests, {len(self.spoiled)} answers spoiled, {len(mixed)} "
              f"successes without a seal at clients")
        return 1 if mixed else 0


async def main():
    with parts.temporary_folder() as folder:
        run = Run(folder)
        try:
            return await run.run()
        finally:
            run.is_over = True
            await run.fleet.end()


if __name__ == "__main__":
    try:
        CODE = asyncio.run(main())
    except Exception as error:  # noqa: BLE001  (whatever it is: not a verdict)
        print("could not run:", repr(error))
        CODE = 2
    sys.exit(CODE)
