"""Records of another writer among those that gateways read.

No gateway may end, stop following a topic or send what such a record contains.
What is judged is what always is: the gateways go on serving, and log no
unexpected error.
"""

import asyncio
import base64
import json
import random
import struct

PAUSE = (0.1, 0.8)
TOPICS = ("keyed.servers", "keyed.op", "keyed.machines", "duties", "origins")
KEYS = (b"odd", b"odd key", b"odd\r\nX-Tenant: large", b"\xff\xfe", b"o" * 255,
        b"odd&from=0", b"rollout/odd", b"odd%00")
PORTS = (0, 65536, -1, 99999999999999999999)
NUMBERS = ("1e999", "-1", str(2 ** 63), str(2 ** 53 + 1), "1.5")


def nested(levels):
    return b'{"service":"plain","later":' + b"[" * levels + b"]" * levels + b"}"


def server_values():
    """Returns entries of servers, each with one odd value."""
    sound = {"service": "plain", "address": "127.0.0.1:9", "zone": "one",
             "version": "v1", "slots": 1, "state": "draining", "sequence": 1,
             "born": 1, "coldRemainingMs": 0}
    for port in PORTS:
        yield json.dumps({**sound, "address": f"127.0.0.1:{port}"}).encode()
    yield json.dumps({**sound, "address": "[::1]:80"}).encode()
    for field in ("slots", "sequence", "born", "coldRemainingMs"):
        for number in NUMBERS:
            text = json.dumps({**sound, field: "NUMBER"})
            yield text.replace('"NUMBER"', number).encode()


VALUES = (nested(10_000), nested(500_000), b"x" * 1_000_000, b"[" * 100_000,
          b"\xff\x00\x17", b"{", b"no address here", b"127.0.0.1:65536 one",
          b"127.0.0.1:9 \xff", base64.b64encode(b"odd"), *server_values())


class OddRecords:
    """Writes one odd record after the other."""

    def __init__(self, soak, seed):
        self._soak = soak
        self._random = random.Random(seed * 17 + 9)

    async def run(self, seconds):
        end = self._soak.now() + seconds
        while self._soak.now() < end:
            await asyncio.sleep(self._random.uniform(*PAUSE))
            await self._write()

    async def _write(self):
        topic = self._random.choice(TOPICS)
        key = self._random.choice(KEYS)
        value = self._random.choice(VALUES)
        record = value
        if topic.startswith("keyed."):
            record = bytes([len(key)]) + key + value
        self._soak.count("odd records")
        await self._soak.operate(f"POST /log-append?topic={topic}&part=0&",
                                 struct.pack(">I", len(record)) + record)
