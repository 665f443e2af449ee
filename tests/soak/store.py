"""Stand-in of the platform's store and of the API that takes duty calls.

A process of its own. Speaks the published protocol of the log (append, read,
newest) and of the duties (usage, scale). Storage faults are set by the soak
with `POST /fault?kind=KIND&for=SECONDS`. Every duty call it takes is told on
standard output, a JSON line each.
"""

import argparse
import asyncio
import base64
import json
import random
import struct
import time
from urllib.parse import parse_qs, urlsplit

import http_wire

PAGE = 500


class Topic:
    """One partition of records, and the newest of each key."""

    def __init__(self):
        self.first = 0
        self.records = []
        self.newest = {}
        self.changed = asyncio.Condition()

    @property
    def end(self):
        return self.first + len(self.records)

    async def append(self, records, is_keyed):
        offset = self.end
        for record in records:
            is_torn = not record or len(record) < 1 + record[0]
            if is_keyed and not is_torn:
                # Keys are any bytes.
                key = record[1:1 + record[0]].decode(errors="surrogateescape")
                value = record[1 + record[0]:]
                self.newest[key] = (self.end, value)
                if not value:
                    del self.newest[key]
            self.records.append(record)
        async with self.changed:
            self.changed.notify_all()
        return offset

    def forget(self):
        """Drops the history; the newest record of each key stays."""
        self.first = self.end
        self.records = []


class Store:
    """The calls of the protocol, and the fault that is on."""

    def __init__(self):
        self.topics = {}
        self.fault = ""
        self.fault_until = 0.0

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def fault_now(self):
        is_on = asyncio.get_running_loop().time() < self.fault_until
        return self.fault if is_on else ""

    async def answer(self, request):
        """Returns the status, the body and whether the answer gets lost."""
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in
                 parse_qs(url.query, errors="surrogateescape").items()}
        if url.path == "/fault":
            self.set_fault(query)
            return 200, b"{}", False
        is_operator = "operator" in query
        fault = "" if is_operator else self.fault_now()
        if fault == "down":
            return 503, b"{}", False
        if fault == "slow":
            await asyncio.sleep(0.3)
        is_lost = fault == "lost" and random.random() < 0.5
        status, body = await self.serve(url.path, query, request)
        return status, body, is_lost

    def set_fault(self, query):
        if query["kind"] == "forget":
            for topic in self.topics.values():
                topic.forget()
            return
        self.fault = query["kind"]
        self.fault_until = (asyncio.get_running_loop().time() +
                            float(query["for"]))

    async def serve(self, path, query, request):
        if path == "/log-append":
            return await self.append(query, request.body)
        if path == "/log-read":
            return await self.read(query)
        if path == "/log-newest":
            return self.list_newest(query)
        if path in ("/usage", "/scale"):
            self.tell_duty(path, request)
            return 200, b"{}"
        return 404, b"{}"

    async def append(self, query, body):
        topic = self.topic(query["topic"])
        if "at" in query and int(query["at"]) != topic.end:
            return 412, json.dumps({"end": topic.end}).encode()
        records = []
        while body:
            size = struct.unpack(">I", body[:4])[0]
            records.append(body[4:4 + size])
            body = body[4 + size:]
        offset = await topic.append(records,
                                    query["topic"].startswith("keyed."))
        return 200, json.dumps({"offset": offset, "end": topic.end}).encode()

    async def read(self, query):
        topic = self.topic(query["topic"])
        start = int(query["from"])
        if start >= topic.end:
            wait = int(query.get("waitMs", "0")) / 1000
            try:
                async with asyncio.timeout(wait), topic.changed:
                    await topic.changed.wait_for(lambda: topic.end > start)
            except TimeoutError:
                pass
        if start < topic.first:
            return 410, json.dumps({"first": topic.first}).encode()
        body = struct.pack(">QQ", topic.end, topic.first)
        for record in topic.records[start - topic.first:]:
            body += struct.pack(">I", len(record)) + record
        return 200, body

    def list_newest(self, query):
        topic = self.topic(query["topic"])
        after = query.get("afterRevision", "")
        keys = [key for key in sorted(topic.newest) if key > after]
        items = [{"privateKey": key, "offset": topic.newest[key][0],
                  "value": base64.b64encode(topic.newest[key][1]).decode()}
                 for key in keys[:PAGE]]
        page = json.dumps({"items": items, "more": len(keys) > PAGE,
                           "end": topic.end}, ensure_ascii=False)
        return 200, page.encode(errors="surrogateescape")

    @staticmethod
    def tell_duty(path, request):
        print(json.dumps({
            "duty": path[1:], "at": time.monotonic(),
            "holder": request.fields.get("x-duty-holder"),
            "fence": int(request.fields.get("x-fencing-token", "-1")),
            "body": json.loads(request.body)}), flush=True)


async def serve_connection(store, reader, writer):
    try:
        while (request := await http_wire.read_head(reader)) is not None:
            await http_wire.read_body(reader, request)
            status, body, is_lost = await store.answer(request)
            if is_lost:
                # Nothing more is heard on this connection.
                await asyncio.sleep(3600)
            writer.write(http_wire.write_message(
                f"HTTP/1.1 {status} Any", {}, body))
            await writer.drain()
    except (http_wire.Broken, OSError):
        pass
    finally:
        writer.close()


async def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True, help="IP:PORT")
    options = parser.parse_args()
    host, port = options.address.split(":")
    store = Store()
    server = await asyncio.start_server(
        lambda reader, writer: serve_connection(store, reader, writer),
        host, int(port))
    print(json.dumps({"ready": True}), flush=True)
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
