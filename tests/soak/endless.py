"""Upstreams whose responses have no end, and whether gateways bound them.

ENDLESS: the gateway closes each such connection within the deadline of its
request and `CLOSE_SLACK`. MEMORY: the resident memory of a gateway stays below
`memory_bound_kib`.
"""

import asyncio
import random
import signal

from promises import CONTACT

CLOSE_SLACK = 1.0
# The result counts without `--judge-time` if a connection is open for this
# much longer, which is more than stand-ins on a busy machine are late.
GROSS = CONTACT
PAUSE = (0.3, 1.5)
# Ignored by a stand-in that has not installed its handlers yet.
SIGNAL = signal.SIGWINCH
# At least default_max_input in services/gateway/byte_channel.hpp.
INPUT_KIB = 256
# max_event_bytes in libraries/ingress/event_splitter.hpp; bodies that are not
# streams have max_allowance in services/gateway/buffer_budget.hpp, which is as
# large.
EVENT_KIB = 256


def memory_bound_kib(before_kib, connections):
    """Returns what a gateway may hold with so many connections at once.

    The most connections of the process count, not the current ones: the
    allocator may keep freed memory.
    """
    return before_kib + connections * (INPUT_KIB + EVENT_KIB)


class Endless:
    """Judges connections with endless responses, as the servers tell them."""

    def __init__(self, promises, disturbances):
        self._promises = promises
        self._disturbances = disturbances
        self._open = {}  # (server, number): (attempt id, position)
        self._before = {}  # gateway: (resident KiB, sockets) before the load
        self._most = {}  # gateway: most sockets since its start
        self._exceeded = set()  # gateways, reported once a start
        self.closed_count = 0
        self.judged_count = 0
        self.latest = 0.0  # seconds from a deadline to a judged closing
        self.most_memory = (0.0, 0, 0, 0)  # part of bound, KiB, bound, sockets

    def server_begins(self, server):
        """The server has started: connections of its predecessor are closed."""
        for key in [key for key in self._open if key[0] == server]:
            del self._open[key]

    def began(self, server, number, attempt_id, position):
        self._open[server, number] = (attempt_id, position)

    def closed(self, server, number, now):
        """Judges a connection that the gateway has closed."""
        attempt_id, position = self._open.pop((server, number), (None, ""))
        if attempt_id is None:
            return  # of a process that has been replaced
        self.closed_count += 1
        self._judge(server, attempt_id, position, now, "was closed")

    def check(self, running, now):
        """Judges the connections that are open at the end of the run."""
        for (server, _), (attempt_id, position) in self._open.items():
            if server in running:
                self._judge(server, attempt_id, position, now, "is open")

    def _judge(self, server, attempt_id, position, now, state):
        attempt = self._promises.attempts.get(attempt_id)
        if attempt is None:
            return  # UNASKED, which `Promises.ran` reports
        if not self._disturbances.is_calm({attempt.gateway, server},
                                          attempt.sent_at, now):
            return
        self.judged_count += 1
        late = now - attempt.sent_at - attempt.deadline
        self.latest = max(self.latest, late)
        if late <= CLOSE_SLACK:
            return
        what = (f"{attempt_id} ({attempt.kind}) of {attempt.gateway}: the "
                f"connection of {server} with an endless {position} {state} "
                f"{late:.2f} s after the deadline")
        self._promises.bound("ENDLESS", what)
        if late > CLOSE_SLACK + GROSS:
            self._promises.breach("ENDLESS", what)

    # Memory.

    def load_begins(self, gateway, resident_kib, sockets):
        """Notes what the gateway has before clients connect."""
        self._before[gateway] = (resident_kib, sockets)
        self._most[gateway] = sockets

    def gateway_restarts(self, gateway):
        """A restarted gateway is judged by what it had before the load: it
        gets connections at once."""
        self._exceeded.discard(gateway)
        if gateway in self._before:
            self._most[gateway] = self._before[gateway][1]

    def gateway_holds(self, gateway, resident_kib, sockets):
        """Judges the resident memory of a gateway."""
        if gateway not in self._before:
            return
        before_kib, sockets_before = self._before[gateway]
        self._most[gateway] = max(self._most[gateway], sockets)
        connections = self._most[gateway] - sockets_before
        bound = memory_bound_kib(before_kib, connections)
        self.most_memory = max(self.most_memory,
                               (round(resident_kib / bound, 3), resident_kib,
                                bound, connections))
        if resident_kib > bound and gateway not in self._exceeded:
            self._exceeded.add(gateway)
            self._promises.breach("MEMORY", f"{gateway} holds {resident_kib} "
                                  f"KiB; {bound} allowed with {connections} "
                                  f"connections, {before_kib} before them")


class EndlessSwitch:
    """Lets servers send endless responses, at times drawn from the seed."""

    def __init__(self, soak, seed):
        self._soak = soak
        self._random = random.Random(seed * 11 + 5)
        self._phases = {}  # server: end of its phase

    async def run(self, seconds, phase):
        end = self._soak.now() + seconds - phase
        while self._soak.now() < end:
            self._begin_one(self._soak.now(), phase)
            await asyncio.sleep(self._random.uniform(*PAUSE))

    def _begin_one(self, now, phase):
        sound = [server for server in self._soak.fleet.servers
                 if server.is_running and not server.is_expected_to_end]
        if not sound:
            return
        server = self._random.choice(sound)
        service = [other for other in sound if other.service == server.service]
        faulty = {other.name for other in service
                  if self._phases.get(other.name, 0.0) > now}
        # Half of a service stays sound, so that its requests can be served.
        if 2 * len(faulty | {server.name}) <= len(service):
            self._phases[server.name] = now + phase
            self._soak.count("endless phases")
            server.send(SIGNAL)
