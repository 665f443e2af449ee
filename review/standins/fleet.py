"""Starts a small deployment of gateways, servers and a store on loopback.

Every process is started here and ended here. The gateways run with the command
of `deploy/system.toml`; their settings are the project's own template, filled
with the fields that DEPLOY.md lists.
"""

import asyncio
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(ROOT / "tests" / "soak"))
import http_wire  # noqa: E402  (the project's own reader and writer)

ZONES = ("pad-a", "pad-b", "pad-c")

# The bounds of the small site `brenta-reg`.
BOUNDS = {
    "seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackTimeoutMs": 4000,
    "catchUpS": 4, "drainTimeoutMs": 2000, "gracePeriodS": 8,
    "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250,
    "maxStretchMs": 5000, "strictRevocation": False, "revokeTimeoutMs": 5000,
    "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetSlack": 56,
    "quotaWindowS": 8, "quotaOvershoot": 0.1, "quotaSlack": 72000,
    "requireFencing": False, "leaseMs": 3000, "thawSlackMs": 300,
    "reportWindowS": 5, "usageTolerance": 0.05, "usageLateS": 10,
    "recoveryS": 12, "passMs": 120, "retryAfterS": 9.6,
}


def lookup(scopes, path):
    """Returns the value that a gap of the template names, or None."""
    parts = path.split(".")
    for scope in reversed(scopes):
        value = scope
        for part in parts:
            if isinstance(value, list) and part.isdigit():
                value = value[int(part)] if int(part) < len(value) else None
            elif isinstance(value, dict):
                value = value.get(part)
            else:
                value = None
        if value is not None:
            return value
    return None


def plain(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(plain(item) for item in value)
    if isinstance(value, dict):
        return json.dumps(value)
    return str(value)


def render(template, scopes):
    """Fills a template as DEPLOY.md tells (without entries of lists)."""
    section = re.compile(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", re.S)

    def fill_section(match):
        value = lookup(scopes, match.group(1))
        return render(match.group(2), scopes) if value else ""

    text = section.sub(fill_section, template)

    def fill(match):
        path, _, form = match.group(1).partition("|")
        value = lookup(scopes, path)
        return json.dumps(value) if form == "json" else plain(value)

    return re.sub(r"\{\{([\w.|]+)\}\}", fill, text)


def free_lane():
    """Returns the second part of a loopback network that nobody listens on."""
    for _ in range(200):
        lane = random.randrange(20, 250)
        try:
            for group, port in ((1, 8221), (1, 7600), (4, 8225), (2, 8500)):
                with socket.socket() as probe:
                    probe.bind((f"127.{lane}.{group}.1", port))
            return lane
        except OSError:
            continue
    raise OSError("no free loopback network")


class Process:
    def __init__(self, name, command, folder, environment=None, on_line=None):
        self.name = name
        self.command = command
        self.log = folder / f"{name}.log"
        self.environment = environment
        self.on_line = on_line
        self.child = None
        self.has_told_ready = asyncio.Event()

    async def start(self):
        self.child = await asyncio.create_subprocess_exec(
            *self.command, stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT, env=self.environment,
            cwd=ROOT, limit=1 << 22)
        asyncio.ensure_future(self._read(self.child.stdout))

    async def _read(self, stream):
        with open(self.log, "ab") as log:
            while line := await stream.readline():
                log.write(line)
                log.flush()
                try:
                    event = json.loads(line)
                except ValueError:
                    event = {"text": line.decode(errors="replace")}
                if "ready" in event:
                    self.has_told_ready.set()
                if self.on_line:
                    self.on_line(self, event)

    def send(self, number):
        if self.child and self.child.returncode is None:
            try:
                os.kill(self.child.pid, number)
            except ProcessLookupError:
                pass  # it has just ended

    async def end(self):
        if self.child and self.child.returncode is None:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            await self.child.wait()


class Fleet:
    """The store, the gateways and the servers of one run."""

    def __init__(self, folder, gateways=3, on_line=None):
        self.folder = Path(folder)
        self.lane = free_lane()
        self.on_line = on_line
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.role = self.deploy["roles"]["gateway"]
        self.store_address = f"{self.ip(4, 1)}:8225"
        self.store = Process("store", [
            sys.executable, str(HERE / "store.py"), "--address",
            self.store_address], self.folder, on_line=on_line)
        self.gateways = [self.make_gateway(i) for i in range(gateways)]
        self.servers = []
        self.version = 0

    def ip(self, group, number):
        return f"127.{self.lane}.{group}.{number}"

    def fields(self, index, store=None):
        ip = self.ip(1, index + 1)
        seeds = [f"{self.ip(1, n + 1)}:8229" for n in range(3)]
        return {
            "nodeName": f"edge-{ZONES[index % 3]}-{index // 3 + 1}",
            "role": "gateway", "machineClass": "edge",
            "serves": ["edge", "control"], "ip": ip,
            "zone": ZONES[index % 3], "region": "pad",
            "internalPorts": [7600, 7615], "seeds": seeds, "bootstrap": True,
            "discovery": "platform", "entryMode": "vip", "heartbeatMs": 1200,
            "zones": {zone: "pad" for zone in ZONES},
            "listen": {"frontend": f"{ip}:8221", "readiness": f"{ip}:8224",
                       "controlPlane": f"{ip}:8229"},
            "limits": {"cpuShare": 0.25, "cpuCores": 1, "memoryMb": 260,
                       "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
            "bounds": BOUNDS,
            "platform": {"address": store or self.store_address,
                         "form": "log", "writes_per_s": 400,
                         "reads_per_s": 2000, "parts": 8, "append_ms": 4.0},
            "cloudApi": {"address": store or self.store_address,
                         "ratePerS": 50.0, "dutyPerS": 50.0},
        }

    def make_gateway(self, index, store=None):
        fields = self.fields(index, store)
        template = (ROOT / self.role["template"]).read_text()
        settings = self.folder / f"gateway-{index + 1}.toml"
        settings.write_text(render(template, [fields]))
        environment = {**os.environ, "DALESHELF_BOOT": str(settings)}
        command = self.role["run"].split()
        command[0] = os.environ.get("REVIEW_PROGRAM", str(ROOT / command[0]))
        process = Process(fields["nodeName"], command, self.folder,
                          environment, self.on_line)
        process.ip = fields["ip"]
        process.zone = fields["zone"]
        process.client = (fields["ip"], 8221)
        process.ready = (fields["ip"], 8224)
        return process

    async def add_server(self, service, program, *arguments, zone=None):
        number = len(self.servers) + 1
        zone = zone or ZONES[(number - 1) % 3]
        address = f"{self.ip(2, number)}:{8500}"
        process = Process(f"i-{number:04d}", [
            sys.executable, str(program), "--id", f"i-{number:04d}",
            "--service", service, "--zone", zone, "--address", address,
            "--store", self.store_address, *arguments],
            self.folder, on_line=self.on_line)
        process.address = address
        self.servers.append(process)
        await process.start()
        await asyncio.wait_for(process.has_told_ready.wait(), 10)
        return process

    async def start(self):
        await self.store.start()
        await wait_port(*self.store_address.split(":"))

    async def start_gateways(self):
        for gateway in self.gateways:
            await gateway.start()

    async def set_configuration(self, configuration):
        self.version += 1
        configuration = {"version": self.version, **configuration}
        await put(self.store_address, "keyed.op", "config",
                  json.dumps(configuration, separators=(",", ":")).encode())
        return time.monotonic()

    async def wait_ready(self, limit=15.0):
        until = time.monotonic() + limit
        for gateway in self.gateways:
            while time.monotonic() < until:
                if await is_ready(gateway):
                    break
                await asyncio.sleep(0.1)
            else:
                raise TimeoutError(f"{gateway.name} is not ready")

    async def end(self):
        for process in [*self.gateways, *self.servers, self.store]:
            await process.end()


async def wait_port(host, port, limit=10.0):
    until = time.monotonic() + limit
    while True:
        try:
            _, writer = await asyncio.open_connection(host, int(port))
            writer.close()
            return
        except OSError:
            if time.monotonic() > until:
                raise
            await asyncio.sleep(0.05)


async def is_ready(gateway):
    try:
        answer = await http_wire.call(gateway.ready, "GET /ready", time=1.0)
        return answer.status == 200
    except (OSError, TimeoutError, http_wire.Broken):
        return False


async def put(store, topic, key, value):
    key = key.encode()
    record = bytes([len(key)]) + key + value
    host, port = store.split(":")
    answer = await http_wire.call(
        (host, int(port)),
        f"POST /log-append?operator=1&topic={topic}&part=0",
        len(record).to_bytes(4, "big") + record)
    if answer.status != 200:
        raise OSError(f"the store answered {answer.status}")


def temporary_folder():
    return tempfile.TemporaryDirectory(prefix="review-")


def route(name, path, service, kind="safe", **fields):
    """Returns one route as the operator writes it."""
    return {"name": name, "host": "a.example", "pathPrefix": path,
            "kind": kind, "timeoutMs": 600, "targetLatencyMs": 100,
            "priority": 2, "service": service, "maxAttempts": 2,
            "public": False, **fields}


def engine(name, slots=128):
    """Returns a service of model servers."""
    return {"name": name, "healthPath": "/health", "maxConnections": 620,
            "protocol": "h1", "tls": False,
            "engine": {"slots": slots, "kvCapacityTokens": 287136,
                       "kvTokenBytes": 131072, "linkMbps": 130000.0,
                       "moves": True, "backups": True, "stride": 3,
                       "most": 12, "pinMs": 4000.0, "holdMs": 2000.0,
                       "handleS": 5.0, "models": [{"name": "m"}]}}


LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
          "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
TENANTS = [{"name": "hule930", "apiKeys": ["key-of-hule930"], "priority": 1,
            "unit": "token", "plainTokens": 200}]
STREAM = {"X-Credential": "key-of-hule930", "X-Deadline-Ms": "15000",
          "X-Model": "m", "X-Token-Count": "543,234",
          "X-Prompt-Prefix": "5c1e07a2:103,91bd3f06:69,e4402b7d:371"}
PLAIN = {"X-Credential": "key-of-hule930", "X-Deadline-Ms": "600"}
