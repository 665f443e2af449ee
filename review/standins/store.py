"""The platform's store and its API for duties, as PROTOCOL.md tells them.

Topics have one partition, in memory. `log-read` keeps to `max_kb` (but gives
one record at least), `log-append` to its condition `at` and to the largest
record and call, a partition to `part_mb`. `POST /usage` and `POST /scale` are
taken and told on standard output, a JSON line each.
"""

import argparse
import asyncio
import base64
import json
import struct
import sys
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "tests" / "soak"))
import http_wire  # noqa: E402

PAGE = 500
RECORD_BYTES = 262144
CALL_BYTES = 2097152
PART_BYTES = 200 * 1000 * 1000


class Topic:
    def __init__(self):
        self.first = 0
        self.records = []
        self.bytes = 0
        self.newest = {}
        self.changed = asyncio.Condition()

    @property
    def end(self):
        return self.first + len(self.records)

    async def append(self, records, is_keyed):
        offset = self.end
        for record in records:
            if is_keyed and len(record) > record[0]:
                key = record[1:1 + record[0]].decode()
                value = record[1 + record[0]:]
                self.newest[key] = (self.end, value)
                if not value:
                    del self.newest[key]
            self.records.append(record)
            self.bytes += len(record)
        while self.bytes > PART_BYTES:
            self.bytes -= len(self.records.pop(0))
            self.first += 1
        async with self.changed:
            self.changed.notify_all()
        return offset


class Store:
    def __init__(self):
        self.topics = {}

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    async def serve(self, request):
        url = urlsplit(request.target)
        query = {name: values[0]
                 for name, values in parse_qs(url.query).items()}
        if url.path == "/log-append":
            return await self.append(query, request.body)
        if url.path == "/log-read":
            return await self.read(query)
        if url.path == "/log-newest":
            return self.list_newest(query)
        if url.path in ("/usage", "/scale"):
            print(json.dumps({
                "duty": url.path[1:], "at": round(time.monotonic(), 4),
                "holder": request.fields.get("x-duty-holder"),
                "fence": request.fields.get("x-fencing-token"),
                "body": json.loads(request.body)}), flush=True)
            return 200, b"{}"
        return 404, b"{}"

    async def append(self, query, body):
        topic = self.topic(query["topic"])
        if "at" in query and int(query["at"]) != topic.end:
            return 412, json.dumps({"end": topic.end}).encode()
        records = []
        view = memoryview(body)
        if len(view) > CALL_BYTES:
            return 413, b"{}"
        while view:
            size = struct.unpack(">I", view[:4])[0]
            if size > RECORD_BYTES:
                return 413, b"{}"
            records.append(bytes(view[4:4 + size]))
            view = view[4 + size:]
        offset = await topic.append(records,
                                    query["topic"].startswith("keyed."))
        return 200, json.dumps({"offset": offset, "end": topic.end}).encode()

    async def read(self, query):
        topic = self.topic(query["topic"])
        start = int(query["from"])
        if start >= topic.end:
            wait = min(int(query.get("waitMs", "0")), 30000) / 1000
            try:
                async with asyncio.timeout(wait), topic.changed:
                    await topic.changed.wait_for(lambda: topic.end > start)
            except TimeoutError:
                pass
        if start < topic.first:
            return 410, json.dumps({"first": topic.first}).encode()
        room = int(query.get("max_kb", "1024")) * 1024
        parts = [struct.pack(">QQ", topic.end, topic.first)]
        for index in range(start - topic.first, len(topic.records)):
            record = topic.records[index]
            if len(parts) > 1 and room < len(record) + 4:
                break
            room -= len(record) + 4
            parts += [struct.pack(">I", len(record)), record]
        return 200, b"".join(parts)

    def list_newest(self, query):
        topic = self.topic(query["topic"])
        after = query.get("afterRevision", "")
        keys = [key for key in sorted(topic.newest) if key > after]
        items = [{"privateKey": key, "offset": topic.newest[key][0],
                  "value": base64.b64encode(topic.newest[key][1]).decode()}
                 for key in keys[:PAGE]]
        return 200, json.dumps({"items": items, "more": len(keys) > PAGE,
                                "end": topic.end}).encode()


async def serve_connection(store, reader, writer):
    try:
        while (request := await http_wire.read_head(reader)) is not None:
            await http_wire.read_body(reader, request)
            status, body = await store.serve(request)
            writer.write(http_wire.write_message(
                f"HTTP/1.1 {status} Any", {}, body))
            await writer.drain()
    except (http_wire.Broken, OSError):
        pass
    finally:
        writer.close()


async def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True)
    options = parser.parse_args()
    host, port = options.address.split(":")
    store = Store()
    server = await asyncio.start_server(
        lambda r, w: serve_connection(store, r, w), host, int(port))
    print(json.dumps({"ready": True}), flush=True)
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
