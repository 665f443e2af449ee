"""Roll-outs of the soak: versions good and bad, ordered beside its troubles.

The stand-in's part is the operator's and the platform's: it starts servers of the
new version, writes the order, reads how it ends, and stops the old servers at once
or lets the new ones drain. What is judged: a bad version is never completed, gets
no more requests until its deadline than the bound allows, and none over five
seconds after its 50th failure; a good one is not taken back.
"""

import asyncio
import base64
import json
import random
import struct

from fleet import ROLLOUT_SHARE, ROLLOUT_SLACK

SERVICE = "plain"
DURATION = 10.0
# After its deadline an order may end late: the store may have been away.
LONGEST_ORDER = 30.0
LOOK = 0.25
FAILING = 0.5
ROLLBACK_BOUND = 5.0
BAD_ANSWERS = 50
STOP_AFTER_ROLLBACK = 2.0


class Rollouts:
    """Orders one roll-out after the other."""

    def __init__(self, soak, seed):
        self._soak = soak
        self._random = random.Random(seed * 7919)
        self._number = 1

    async def run(self):
        await asyncio.sleep(1.0)
        while not self._soak.is_over:
            await self._order(self._random.random() < 0.5)
            await asyncio.sleep(self._random.uniform(1.0, 3.0))

    async def _order(self, is_good):
        soak = self._soak
        self._number += 1
        version = f"v{self._number}"
        fleet = soak.fleet
        old = [server for server in fleet.servers
               if server.service == SERVICE and
               not server.is_expected_to_end]
        ordered_at = soak.now()
        await self._write(version)
        new = [await fleet.add_server(SERVICE, version,
                                      0.0 if is_good else FAILING)
               for _ in range(2)]
        state = await self._end_of(version)
        soak.count(f"roll-out {'good' if is_good else 'bad'} {state}")
        names = {server.name for server in new}
        if not is_good:
            self._judge(version, state, names, ordered_at)
        elif state == "rolled_back":
            soak.promises.late.append(
                ("ROLLOUT", f"good {version} was taken back"))
        soak.disturb("servers", 3.0)
        if state == "completed":
            fleet.versions[SERVICE] = version
            for server in old:
                soak.disturb(server.name, 1000.0)
                server.kill()
                await soak.unlist(server)
            return
        await asyncio.sleep(STOP_AFTER_ROLLBACK)
        for server in new:
            await soak.leave(server)

    async def _write(self, version):
        key = f"rollout/{SERVICE}".encode()
        order = json.dumps({"service": SERVICE, "targetVersion": version,
                            "durationS": DURATION}).encode()
        record = bytes([len(key)]) + key + order
        await self._soak.operate("POST /log-append?topic=keyed.op&part=0&",
                                 struct.pack(">I", len(record)) + record)

    async def _end_of(self, version):
        """Returns the final state of the order, or "running"."""
        until = self._soak.now() + LONGEST_ORDER
        while self._soak.now() < until and not self._soak.is_over:
            await asyncio.sleep(LOOK)
            answer = await self._soak.operate(
                "GET /log-newest?topic=keyed.status&part=0&")
            for item in json.loads(answer.body)["items"]:
                status = json.loads(base64.b64decode(item["value"]))
                is_meant = status["targetVersion"] == version
                if is_meant and status["state"] != "running":
                    return status["state"]
        return "running"

    def _judge(self, version, state, names, ordered_at):
        promises = self._soak.promises
        if state == "completed":
            promises.breach("ROLLOUT", f"bad {version} was completed")
        runs = sorted((time, server)
                      for attempt in promises.attempts.values()
                      for time, server, _ in attempt.runs
                      if ordered_at <= time <= ordered_at + DURATION and
                      attempt.kind in ("safe", "unsafe"))
        exposed = [time for time, server in runs if server in names]
        allowed = len(runs) * ROLLOUT_SHARE + ROLLOUT_SLACK
        if len(exposed) > allowed:
            promises.breach("EXPOSURE", f"{len(exposed)} of {len(runs)} ran "
                            f"on bad {version}, {allowed:.0f} may")
        # Half of its answers are failures.
        enough = exposed[2 * BAD_ANSWERS - 1:]
        if enough and exposed[-1] > enough[0] + ROLLBACK_BOUND:
            promises.bound("EXPOSURE", f"bad {version} ran requests "
                           f"{exposed[-1] - enough[0]:.2f} s after its 50th "
                           "failure")
