"""Stand-ins and helpers for the cases 4 to 8 of the second review.

Clients, servers and the platform run inside the script's own process. The
gateways are separate processes, started with the command of the deploy file.
Every address is a loopback address. Standard library only.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import struct
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("hall-a", "hall-b", "hall-c")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
NO_MESSAGE = "no message: "


class Gone(Exception):
    """The connection ended, or held bytes that are no message."""


def net():
    """Returns the second number of this run's addresses, 127.NET.x.y."""
    return 64 + os.getpid() % 128


def free_port(addresses):
    """Returns a port that is free, for TCP and UDP, at all addresses."""
    for _ in range(200):
        port = random.randrange(20000, 32000)
        taken = []
        try:
            for address in addresses:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    probe = socket.socket(socket.AF_INET, kind)
                    taken.append(probe)
                    probe.bind((address, port))
            return port
        except OSError:
            continue
        finally:
            for probe in taken:
                probe.close()
    raise OSError("no free port")


class Record:
    """What was sent, answered and run, in `record.txt` of the case."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self._begun = time.monotonic()

    def now(self):
        return time.monotonic() - self._begun

    def add(self, text):
        self._file.write(f"{self.now():9.3f} {text}\n")

    def close(self):
        self._file.close()


class Message:
    def __init__(self, start, fields, body=b""):
        self.start, self.fields, self.body = start, fields, body

    @property
    def status(self):
        return int(self.start.split(" ")[1])

    @property
    def target(self):
        return self.start.split(" ")[1]

    def get(self, name, default=""):
        return self.fields.get(name.lower(), default)


async def read_head(reader):
    """Returns a head, or None if the connection ends before it begins."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise Gone("cut off within a head") from error
    except (asyncio.LimitOverrunError, OSError) as error:
        raise Gone(str(error)) from error
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    if not re.match(r"HTTP/1\.1 \d{3}|\S+ \S+ HTTP/1\.1$", lines[0]):
        raise Gone(NO_MESSAGE + repr(raw[:60]))
    return Message(lines[0], fields)


async def read_chunk(reader):
    try:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        return (await reader.readexactly(size + 2))[:-2]
    except (asyncio.IncompleteReadError, ValueError, OSError) as error:
        raise Gone("cut off within chunks") from error


async def read_body(reader, message):
    if message.get("transfer-encoding") == "chunked":
        while chunk := await read_chunk(reader):
            message.body += chunk
        return
    try:
        message.body = await reader.readexactly(
            int(message.get("content-length", "0")))
    except (asyncio.IncompleteReadError, OSError) as error:
        raise Gone("cut off within a body") from error


def head_bytes(start, fields):
    lines = [start] + [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def message_bytes(start, fields, body=b""):
    return head_bytes(start, {**fields, "Content-Length": len(body)}) + body


class Listener:
    """A listening address; its connections end with it."""

    def __init__(self):
        self._server = None
        self.writers = set()

    async def listen(self, address, serve):
        async def handle(reader, writer):
            self.writers.add(writer)
            try:
                await serve(reader, writer)
            except (Gone, OSError, asyncio.CancelledError):
                pass
            finally:
                self.writers.discard(writer)
                writer.close()
        self._server = await asyncio.start_server(handle, *address,
                                                  limit=1 << 20)

    def stop(self):
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self.writers):
            writer.transport.abort()


class Topic:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.changed = asyncio.Condition()


class Platform:
    """The platform's store (a log) and the address of the duty calls.

    As the pages say: appends under the condition `at`, reads that wait, the
    newest record of each key. Nothing that was acknowledged is lost.
    """

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.duties = []  # (time, duty, holder, fence, body)
        self.store = Listener()
        self.cloud = Listener()
        self.cloud_delay = 0.004  # seconds, of an answer to a duty call
        self.store_delay = 0.004
        self.version = 0

    async def start(self, store_address, cloud_address):
        await self.store.listen(store_address, self._serve_store)
        await self.cloud.listen(cloud_address, self._serve_cloud)

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    async def append(self, name, records, at=None):
        topic = self.topic(name)
        if at is not None and at != len(topic.records):
            return None
        offset = len(topic.records)
        for record in records:
            if name.startswith("keyed."):
                key, value = record[1:1 + record[0]], record[1 + record[0]:]
                topic.newest[key] = (len(topic.records), value)
                if not value:
                    del topic.newest[key]
            topic.records.append(record)
        async with topic.changed:
            topic.changed.notify_all()
        return offset

    async def put(self, name, key, value):
        """Writes a keyed record, as the operator and the servers do."""
        key = key.encode()
        return await self.append(name, [bytes([len(key)]) + key + value])

    async def put_config(self, config):
        self.version += random.randrange(1, 4)
        await self.put("keyed.op", "config",
                       json.dumps({"version": self.version,
                                   **config}).encode())
        self.record.add(f"operator: configuration {self.version} acknowledged")

    async def _serve_store(self, reader, writer):
        while (request := await read_head(reader)) is not None:
            await read_body(reader, request)
            await asyncio.sleep(self.store_delay)
            status, body = await self._answer(request)
            writer.write(message_bytes(f"HTTP/1.1 {status} Any", {}, body))
            await writer.drain()

    async def _answer(self, request):
        url = urlsplit(request.target)
        query = {name: values[0] for name, values
                 in parse_qs(url.query).items()}
        name = query.get("topic", "")
        topic = self.topic(name)
        if url.path == "/log-append":
            records, body = [], request.body
            while body:
                size = struct.unpack(">I", body[:4])[0]
                records.append(body[4:4 + size])
                body = body[4 + size:]
            at = int(query["at"]) if "at" in query else None
            offset = await self.append(name, records, at)
            if offset is None:
                return 412, json.dumps({"end": len(topic.records)}).encode()
            return 200, json.dumps({"offset": offset,
                                    "end": len(topic.records)}).encode()
        if url.path == "/log-read":
            start = int(query["from"])
            if start >= len(topic.records):
                wait = int(query.get("waitMs", "0")) / 1000
                try:
                    async with asyncio.timeout(wait), topic.changed:
                        await topic.changed.wait_for(
                            lambda: len(topic.records) > start)
                except TimeoutError:
                    pass
            body = struct.pack(">QQ", len(topic.records), 0)
            for record in topic.records[start:]:
                body += struct.pack(">I", len(record)) + record
            return 200, body
        if url.path == "/log-newest":
            items = [{"privateKey": key.decode(), "offset": offset,
                      "value": base64.b64encode(value).decode()}
                     for key, (offset, value) in sorted(topic.newest.items())]
            return 200, json.dumps({"items": items, "more": False,
                                    "end": len(topic.records)}).encode()
        return 404, b"{}"

    async def _serve_cloud(self, reader, writer):
        while (request := await read_head(reader)) is not None:
            await read_body(reader, request)
            duty = (self.record.now(), request.target[1:],
                    request.get("x-duty-holder"),
                    int(request.get("x-fencing-token", "-1")),
                    json.loads(request.body))
            self.duties.append(duty)
            self.record.add(f"platform: {duty[1]} of {duty[2]}, fence "
                            f"{duty[3]}, {json.dumps(duty[4])}")
            await asyncio.sleep(self.cloud_delay)
            writer.write(message_bytes("HTTP/1.1 200 OK", {}))
            await writer.drain()


class Server:
    """A sound server of a plain service: it works on `slots` requests at
    once, queues a few more, and turns the others away."""

    def __init__(self, platform, record, name, service, zone, address,
                 slots=6, queue=24, work=0.015):
        self.platform, self.record = platform, record
        self.id, self.service, self.zone = name, service, zone
        self.address = address
        self.slots, self.queue, self.work = slots, queue, work
        self.places = asyncio.Semaphore(slots)
        self.inside = 0
        self.sequence = 0
        self.listener = Listener()
        self.runs = []  # (time, attempt id)
        self.answers = 0

    async def start(self):
        await self.listener.listen(self.address, self._serve)
        await self.publish("ready")

    async def publish(self, state):
        self.sequence += 1
        await self.platform.put("keyed.servers", self.id, json.dumps({
            "service": self.service, "version": "v1", "zone": self.zone,
            "address": f"{self.address[0]}:{self.address[1]}",
            "slots": self.slots, "state": state, "coldRemainingMs": 0,
            "sequence": self.sequence}).encode())

    async def _serve(self, reader, writer):
        while (request := await read_head(reader)) is not None:
            await read_body(reader, request)
            await self.answer(request, reader, writer)
            await writer.drain()

    async def answer(self, request, reader, writer):
        answer = await self.outcome(request)
        self.answers += 1
        writer.write(answer)

    async def outcome(self, request):
        """Runs a request or turns it away; returns the bytes of the answer."""
        attempt = request.get("x-attempt-id")
        if request.get("x-expect-instance", self.id) != self.id:
            return self.turned_away("421 Misdirected Request", attempt)
        if self.inside >= self.slots + self.queue:
            self.record.add(f"{self.id}: full, turns {attempt} away")
            return self.turned_away("503 Service Unavailable", attempt)
        self.inside += 1
        try:
            async with self.places:
                self.runs.append((self.record.now(), attempt))
                self.record.add(f"{self.id}: runs {attempt}")
                await asyncio.sleep(self.work)
        finally:
            self.inside -= 1
        return message_bytes("HTTP/1.1 200 OK", {
            "X-Attempt-Id": attempt,
            "X-Server-Seal": f"{self.id}.{attempt}"}, b"done " +
            attempt.encode())

    def turned_away(self, status, _attempt):
        """As `fleetbench wire` prints it: the answer holds no id."""
        return message_bytes(f"HTTP/1.1 {status}", {"X-Not-Executed": "1"})


class Gateway:
    """One process of the role `gateway`, with its settings file."""

    def __init__(self, fleet, index):
        self.fleet, self.index = fleet, index
        self.name = f"edge-{ZONES[index % 3]}-{index // 3 + 1}"
        self.ip = fleet.gateway_ips[index]
        self.client_address = (self.ip, fleet.ports["frontend"])
        self.child = None
        self.settings = fleet.folder / f"{self.name}.toml"
        self.log = fleet.folder / f"{self.name}.log"
        self.is_first = True

    async def start(self):
        ports, fleet = self.fleet.ports, self.fleet
        seeds = json.dumps([f"{ip}:{ports['control']}"
                            for ip in fleet.gateway_ips[:3]])
        first = "first_start = true" if self.is_first else ""
        self.is_first = False
        self.settings.write_text(f"""[host]
id = "{self.name}"
hall = "{ZONES[self.index % 3]}"
[clients]
address = "{self.ip}:{ports['frontend']}"
[readiness]
address = "{self.ip}:{ports['readiness']}"
[metrics]
address = "{self.ip}:{ports['metrics']}"
[peers]
address = "{self.ip}:{ports['peers']}"
seeds = {seeds}
{first}
[store]
address = "{fleet.store_for(self)}"
[duties]
address = "{fleet.cloud_for(self)}"
[drain]
stop_ms = 8000
[retries]
ratio = 0.2
slack = 56
[quota]
window_ms = 8000
overshoot = 0.1
slack = 72000
[headroom]
min_slot_tokens = 8000
[usage]
window_ms = 5000
late_ms = 10000
""", encoding="utf-8")
        with open(self.log, "ab") as log:
            self.child = await asyncio.create_subprocess_exec(
                *fleet.command, cwd=ROOT, stdout=log, stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
                env={"PATH": os.environ.get("PATH", ""),
                     "DALESHELF_BOOT": str(self.settings)})
        fleet.record.add(f"{self.name}: process started")

    @property
    def code(self):
        return None if self.child is None else self.child.returncode

    def send(self, number):
        if self.child is not None and self.child.returncode is None:
            self.child.send_signal(number)

    async def is_ready(self):
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    self.ip, self.fleet.ports["readiness"])
                writer.write(head_bytes("GET /ready HTTP/1.1",
                                        {"Host": self.ip}))
                answer = await read_head(reader)
                writer.close()
                return answer is not None and answer.status == 200
        except (OSError, TimeoutError, Gone):
            return False


class Fleet:
    """The gateways, their addresses and the folder of their files."""

    def __init__(self, record, gateways=3):
        self.record = record
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self.temporary.name)
        self.net = net()
        self.gateway_ips = [self.ip(1, index + 1)
                            for index in range(gateways)]
        self.ports = {}
        while len(set(self.ports.values())) < 5:
            self.ports = {name: free_port(self.gateway_ips) for name in
                          ("frontend", "readiness", "control", "peers",
                           "metrics")}
        self.store_address = self.address(4, 1)
        self.cloud_address = self.address(4, 2)
        self.store_links, self.cloud_links = {}, {}
        self.command = deploy_command()
        self.platform = Platform(record)
        self.gateways = [Gateway(self, index) for index in range(gateways)]

    def ip(self, group, number):
        return f"127.{self.net}.{group}.{number}"

    def address(self, group, number):
        ip = self.ip(group, number)
        return ip, free_port([ip])

    def store_for(self, gateway):
        ip, port = self.store_links.get(gateway.name, self.store_address)
        return f"{ip}:{port}"

    def cloud_for(self, gateway):
        ip, port = self.cloud_links.get(gateway.name, self.cloud_address)
        return f"{ip}:{port}"

    async def start(self):
        await self.platform.start(self.store_address, self.cloud_address)

    async def start_gateways(self):
        for gateway in self.gateways:
            await gateway.start()
        until = time.monotonic() + 20
        for gateway in self.gateways:
            while not await gateway.is_ready():
                if time.monotonic() > until:
                    raise NotRun(f"{gateway.name} is not ready")
                await asyncio.sleep(0.1)

    def crashed(self):
        """Returns the gateways that ended by themselves, with their codes."""
        return [(gateway.name, gateway.code) for gateway in self.gateways
                if gateway.code is not None and not
                getattr(gateway, "is_told_to_end", False)]

    async def stop(self):
        for gateway in self.gateways:
            gateway.send(signal.SIGKILL)
            gateway.send(signal.SIGCONT)
        for gateway in self.gateways:
            if gateway.child is not None:
                await gateway.child.wait()
        self.platform.store.stop()
        self.platform.cloud.stop()
        if "KEEP" in os.environ:
            print("logs in", self.folder)
            self.temporary._finalizer.detach()  # for a look at the logs
        else:
            self.temporary.cleanup()


class NotRun(Exception):
    """The case could not run."""


def deploy_command():
    text = (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
    words = re.search(r'^run = "([^"]+)"', text, re.MULTILINE)[1].split()
    program = ROOT / words[0]
    if not program.exists():
        raise NotRun(f"{words[0]} is not built")
    return [str(program), *words[1:]]


class Connection:
    """A client's connection to a gateway."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            *self.address, limit=1 << 20)

    async def ask(self, start, fields, body=b""):
        """Sends a request; returns the whole answer."""
        if self.writer is None:
            await self.open()
        self.writer.write(message_bytes(start, fields, body))
        await self.writer.drain()
        answer = await read_head(self.reader)
        if answer is None:
            raise Gone("closed without an answer")
        await read_body(self.reader, answer)
        if answer.get("connection").lower() == "close":
            self.close()
        return answer

    def close(self):
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None


def attempt_id():
    return f"{random.getrandbits(64):016x}"


def play(folder, case):
    """Runs a case: `case(record)` returns what broke the rule, one a line."""
    # A time-out of the script ends the processes, too.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    record = Record(folder)
    code = NOT_RUN
    try:
        broken = asyncio.run(case(record))
        for line in broken:
            record.add("BROKEN " + line)
        print(f"{'with' if TROUBLE else 'without'} the disruption: "
              f"{len(broken)} breaks")
        for line in broken[:5]:
            print("  " + line)
        code = BROKEN if broken else HELD
    except (NotRun, OSError, KeyboardInterrupt) as error:
        record.add(f"NOT RUN {error!r}")
        print("not run:", repr(error))
    finally:
        record.close()
    sys.exit(code)
