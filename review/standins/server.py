"""A server of the users' platform, as PROTOCOL.md tells it.

It lists itself in the store, runs requests, and tells each run on standard
output as a JSON line before it begins. `--spoil KIND --share X`: while a
SIGUSR1 is in force (a second one ends it), X of its answers are spoiled.
"""

import argparse
import asyncio
import json
import random
import signal
import struct
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "tests" / "soak"))
import http_wire  # noqa: E402


def tell(event):
    event["at"] = round(time.monotonic(), 4)
    print(json.dumps(event), flush=True)


class Server:
    def __init__(self, options):
        self.options = options
        self.active = 0
        self.sequence = 0
        self.spoils = False
        self.runs = []  # of streams, the oldest first
        self.random = random.Random(f"{options.seed} {options.id}")

    async def publish(self, value):
        key = self.options.id.encode()
        record = bytes([len(key)]) + key + value
        host, port = self.options.store.split(":")
        await http_wire.call(
            (host, int(port)),
            "POST /log-append?operator=1&topic=keyed.servers&part=0",
            struct.pack(">I", len(record)) + record)

    async def publish_state(self, state):
        self.sequence += 1
        await self.publish(json.dumps({
            "service": self.options.service, "address": self.options.address,
            "zone": self.options.zone, "version": "v1",
            "slots": self.options.slots, "state": state,
            "coldRemainingMs": 0, "sequence": self.sequence}).encode())

    def toggle(self):
        self.spoils = not self.spoils
        tell({"spoils": self.spoils, "server": self.options.id})

    async def serve(self, request, writer):
        fields = request.fields
        attempt = fields.get("x-attempt-id", "")
        if request.target.startswith("/health"):
            writer.write(http_wire.write_message(
                "HTTP/1.1 200 OK", {"X-Instance-Id": self.options.id}))
            return
        if fields.get("x-expect-instance", self.options.id) != self.options.id:
            writer.write(http_wire.write_message(
                "HTTP/1.1 421 Misdirected Request", {"X-Attempt-Id": attempt}))
            return
        if self.active >= self.options.slots:
            writer.write(http_wire.write_message(
                "HTTP/1.1 503 Service Unavailable",
                {"X-Attempt-Id": attempt, "X-Not-Executed": "1"}))
            return
        self.active += 1
        try:
            tell({"run": attempt, "server": self.options.id,
                  "method": request.method, "target": request.target,
                  "tenant": fields.get("x-tenant", "")})
            head = {"X-Attempt-Id": attempt,
                    "X-Server-Seal": f"{self.options.id}.{attempt}"}
            if "x-token-count" in fields:
                await self.stream(fields, head, writer)
                return
            await asyncio.sleep(self.options.work_ms / 1000)
            body = f"{attempt} from {self.options.id}".encode().ljust(400, b".")
            if self.spoils and self.random.random() < self.options.share:
                tell({"spoiled": attempt, "server": self.options.id})
                self.write_spoiled(head, body, writer)
                return
            writer.write(http_wire.write_message("HTTP/1.1 200 OK", head, body))
        finally:
            self.active -= 1

    async def stream(self, fields, head, writer):
        """Sends events of 3 tokens, as many as the request allows."""
        events = int(fields["x-token-count"].split(",")[1]) // 3
        lines = ["HTTP/1.1 200 OK"]
        lines += [f"{name}: {value}" for name, value in head.items()]
        lines += ["X-Weight-Versions: 1", "Content-Type: text/event-stream",
                  "Transfer-Encoding: chunked", "", ""]
        writer.write("\r\n".join(lines).encode())
        run = {"priority": int(fields.get("x-request-priority", "5")),
               "goes_on_at": 0.0, "attempt": head["X-Attempt-Id"]}
        self.runs.append(run)
        try:
            await self.write_events(fields, events, run, writer)
        finally:
            self.runs.remove(run)

    async def write_events(self, fields, events, run, writer):
        for number in range(int(fields.get("last-event-id", "0")) + 1,
                            events + 1):
            await asyncio.sleep(self.options.event_ms / 1000)
            while time.monotonic() < run["goes_on_at"]:
                await asyncio.sleep(0.01)
                if writer.is_closing():
                    break
            if writer.is_closing():
                tell({"left": run["attempt"], "server": self.options.id,
                      "event": number})
                raise http_wire.Broken("the caller has left")
            data = f"id: {number}\ndata: {run['attempt']}\n\n".encode()
            writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    def preempt(self):
        """Memory has run out: the newest of the least urgent runs wait."""
        least = max((run["priority"] for run in self.runs), default=0)
        chosen = [run for run in self.runs if run["priority"] == least]
        for run in chosen[-self.options.preempted:]:
            run["goes_on_at"] = time.monotonic() + self.options.preempted_s
            tell({"preempted": run["attempt"], "server": self.options.id})

    def write_spoiled(self, head, body, writer):
        """Sends bytes that are not this server's answer."""
        if self.options.spoil == "unsealed":
            writer.write(http_wire.write_message(
                "HTTP/1.1 200 OK", {}, b"?" * 40))
        elif self.options.spoil == "unsealed-id":
            writer.write(http_wire.write_message(
                "HTTP/1.1 200 OK", {"X-Attempt-Id": head["X-Attempt-Id"]},
                b"?" * 40))
        elif self.options.spoil == "encoded":
            writer.write(http_wire.write_message(
                "HTTP/1.1 200 OK", {**head, "Content-Encoding": "gzip"},
                b"?" * 40))
        else:
            writer.write(b"?" * 40 + b"\r\n\r\n")


async def serve_connection(server, reader, writer):
    try:
        while True:
            request = await http_wire.read_head(reader)
            if request is None:
                break
            await http_wire.read_body(reader, request)
            await server.serve(request, writer)
            await writer.drain()
    except (http_wire.Broken, OSError):
        pass
    finally:
        writer.close()


async def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--id", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--zone", required=True)
    parser.add_argument("--address", required=True)
    parser.add_argument("--store", required=True)
    parser.add_argument("--slots", type=int, default=6)
    parser.add_argument("--work-ms", type=float, default=15.0)
    parser.add_argument("--event-ms", type=float, default=30.0)
    parser.add_argument("--preempted", type=int, default=0,
                        help="runs that SIGUSR2 preempts")
    parser.add_argument("--preempted-s", type=float, default=3.2)
    parser.add_argument("--spoil", default="unsealed")
    parser.add_argument("--share", type=float, default=0.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    server = Server(options)
    host, port = options.address.split(":")
    listener = await asyncio.start_server(
        lambda r, w: serve_connection(server, r, w), host, int(port))
    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1,
                                                  server.toggle)
    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR2,
                                                  server.preempt)
    await server.publish_state("ready")
    tell({"ready": options.id})
    async with listener:
        await listener.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
