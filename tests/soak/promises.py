"""What the system promises, judged by what callers and servers see.

Each `Attempt` is one request of a client. Executions come from the servers,
answers from the clients, duty calls from the store. A broken promise is kept
with what shows it; promises with a time bound are judged only where nobody has
harmed what they depend on (`Disturbances`).
"""

from dataclasses import dataclass, field

import server as server_stand_in

PROMISES_NOT_RUN = (408, 421, 429, 503)
CONTACT = 3.0
DRAIN_BOUND = 2.0
CONFIGURATION_BOUND = 2.0
ANSWER_SLACK = 0.5
# Of a server that wants rest, after which requests count, and how many may.
REST_GRACE = 0.5
MOST_WHILE_RESTING = 2
# A wake-up, a connection and a hop of Python stand-ins on a busy machine.
STAND_IN_SLACK = 0.5


@dataclass
class Attempt:
    """One request of a client, and all that became of it."""

    id: str
    kind: str  # safe, unsafe, stream (resumable) or fixed (not resumable)
    tenant: str
    gateway: str
    sent_at: float
    deadline: float  # seconds
    events: int = 0
    version: int = 0  # of the configuration that was acknowledged when sent
    status: int = 0  # 0: no whole answer
    ended_at: float = 0.0
    seen_events: int = 0
    runs: list = field(default_factory=list)  # (time, server, events before)
    resumes: str = ""  # attempt that brought the first event of the stream
    breaks_after: int = 0  # events, after which the client disconnects
    events_before: int = 0  # that the stream had when it was taken up
    versions: set = field(default_factory=set)  # that wrote the stream's events

    @property
    def stream(self):
        return self.resumes or self.id

    @property
    def has_begun(self):
        return self.seen_events > self.events_before

    @property
    def may_repeat(self):
        return self.kind in ("safe", "stream")


class Disturbances:
    """When which part was harmed."""

    def __init__(self):
        self._spans = []  # (part, from, to)

    def add(self, part, begin, end):
        self._spans.append((part, begin, end))

    def is_calm(self, parts, begin, end):
        """Returns whether the parts were sound from `CONTACT` before."""
        return not any(part in parts and start < end and stop > begin - CONTACT
                       for part, start, stop in self._spans)


class Promises:
    """Judges as things happen; `broken` holds what was not kept."""

    def __init__(self, disturbances):
        self.disturbances = disturbances
        self.attempts = {}
        self.broken = []
        self.late = []  # promises with a time bound
        self.draining = {}  # server: when the store had it
        self.routes_removed = {}  # path: when acknowledged
        self.stops = {}  # gateway: when it was told to stop
        self._rests = {}  # (gateway, server): (asked at, its end, requests)
        self._told_leaving = {}  # (gateway, server): first answer that said so
        self._usage = {}
        self._fences = {}

    def breach(self, promise, what):
        self.broken.append((promise, what))

    def bound(self, promise, what):
        self.late.append((promise, what))

    # What servers tell.

    def ran(self, attempt_id, server, tenant, path, after, now):
        attempt = self.attempts.get(attempt_id)
        if attempt is None:
            self.breach("UNASKED", f"{server} ran {attempt_id}")
            return
        attempt.runs.append((now, server, after))
        if tenant != attempt.tenant:
            self.breach("UNASKED", f"{attempt_id}: tenant {tenant} instead of "
                        f"{attempt.tenant}")
        if not attempt.may_repeat and len(attempt.runs) > 1:
            self.breach("TWICE", f"{attempt_id} ({attempt.kind}): "
                        f"{attempt.runs}")
        if after > attempt.events:
            self.breach("ORDER", f"{attempt_id} resumed after {after} of "
                        f"{attempt.events}")
        self._check_refusal(attempt)
        self._check_drain(attempt, server, now)
        self._check_told(attempt, server, now)
        self._check_rest(attempt, server, now)
        self._check_route(attempt, path, now)

    def _check_refusal(self, attempt):
        if (attempt.status in PROMISES_NOT_RUN and attempt.runs and
                not attempt.may_repeat):
            self.breach("REFUSED", f"{attempt.id} ({attempt.kind}) answered "
                        f"{attempt.status}, ran {attempt.runs}")

    def begins(self, server):
        """A server has started, perhaps again under the id that it had."""
        self.draining.pop(server, None)
        for known in (self._rests, self._told_leaving):
            for pair in [pair for pair in known if pair[1] == server]:
                del known[pair]

    def told_leaving(self, attempt_id, server, now):
        """A server answers a request and says in that that it leaves."""
        attempt = self.attempts.get(attempt_id)
        if attempt is not None:
            self._told_leaving.setdefault((attempt.gateway, server), now)

    def turned_away(self, attempt_id, server, seconds, now):
        """A server refuses a request and wants nothing for so long."""
        attempt = self.attempts.get(attempt_id)
        if attempt is None:
            self.breach("UNASKED", f"{server} was sent {attempt_id}")
            return
        self._check_told(attempt, server, now)
        self._check_rest(attempt, server, now)
        pair = (attempt.gateway, server)
        known = self._rests.get(pair)
        if known is None or now >= known[1]:
            self._rests[pair] = (now, now + seconds, 0)

    def _check_rest(self, attempt, server, now):
        pair = (attempt.gateway, server)
        since, end, count = self._rests.get(pair, (now, now, 0))
        if now - since <= REST_GRACE or now >= end:
            return
        self._rests[pair] = (since, end, count + 1)
        if count + 1 > MOST_WHILE_RESTING and self.disturbances.is_calm(
                {attempt.gateway, server}, since, now):
            self.bound("REST", f"{server} wanted rest until "
                       f"{end - since:.2f} s later; {attempt.gateway} sent it "
                       f"request {count + 1} {now - since:.2f} s later")

    def _check_told(self, attempt, server, now):
        since = self._told_leaving.get((attempt.gateway, server))
        bound = DRAIN_BOUND + STAND_IN_SLACK
        if since is None or attempt.sent_at - since <= bound:
            return
        if self.disturbances.is_calm({attempt.gateway, server}, since, now):
            self.bound("DRAIN", f"{attempt.id}: {attempt.gateway} sent it to "
                       f"{server} {attempt.sent_at - since:.2f} s after an "
                       "answer had said that the server leaves")

    def _check_drain(self, attempt, server, now):
        since = self.draining.get(server)
        bound = DRAIN_BOUND + STAND_IN_SLACK
        if since is None or now - since <= bound:
            return
        if self.disturbances.is_calm({attempt.gateway, "store", server},
                                     since, now):
            self.bound("DRAIN", f"{attempt.id}: {server} ran it "
                       f"{now - since:.2f} s after it had stated its leaving")

    def _check_route(self, attempt, path, now):
        for prefix, removed_at in self.routes_removed.items():
            bound = CONFIGURATION_BOUND + STAND_IN_SLACK
            if (path.startswith(prefix) and
                    attempt.sent_at - removed_at > bound and
                    self.disturbances.is_calm({attempt.gateway, "store"},
                                              removed_at, now)):
                self.bound("CONFIG", f"{attempt.id} ran on {prefix}, removed "
                           f"{attempt.sent_at - removed_at:.2f} s before")

    # What clients see.

    def answered(self, attempt, answer, now):
        """Judges a whole answer that is no stream."""
        attempt.status = answer.status
        attempt.ended_at = now
        self._check_refusal(attempt)
        if answer.fields.get("x-attempt-id", attempt.id) != attempt.id:
            self.breach("MIXED", f"{attempt.id} got the answer of "
                        f"{answer.fields['x-attempt-id']}")
        if 200 <= answer.status < 300:
            wanted = server_stand_in.plain_body(attempt.id, attempt.tenant)
            if "x-server-seal" not in answer.fields or answer.body != wanted:
                self.breach("MIXED", f"{attempt.id}: {answer.body[:80]!r}")
        self._check_time(attempt, now)

    def saw_event(self, attempt, number, data, version=""):
        """Judges one event of a stream, as it comes."""
        attempt.seen_events += 1
        if number != attempt.seen_events:
            self.breach("ORDER", f"{attempt.id}: event {number} where "
                        f"{attempt.seen_events} was due")
        if data != server_stand_in.event_data(attempt.stream, number):
            self.breach("MIXED", f"{attempt.id}: event {number} holds {data}")
        if version not in attempt.versions and attempt.versions:
            self.breach("ORDER", f"{attempt.id} of stream {attempt.stream}: "
                        f"event {number} of {version} after events of "
                        f"{sorted(attempt.versions)}")
        attempt.versions.add(version)

    def streamed(self, attempt, now):
        """Judges a stream that has ended as complete."""
        attempt.status = 200
        attempt.ended_at = now
        if attempt.seen_events != attempt.events:
            self.breach("ORDER", f"{attempt.id} ended as complete after "
                        f"{attempt.seen_events} of {attempt.events} events")

    def cut_off(self, attempt, now):
        """Judges a request whose connection ended without a whole answer."""
        attempt.ended_at = now
        stop = self.stops.get(attempt.gateway, -1.0)
        is_planned = stop - 1.0 <= attempt.sent_at <= stop + 2.0
        parts = {attempt.gateway, "store", "servers"}
        if (is_planned and attempt.runs and
                self.disturbances.is_calm(parts, attempt.sent_at, now)):
            self.bound("LOST", f"{attempt.id} ({attempt.kind}) at "
                       f"{attempt.gateway}, told to stop "
                       f"{attempt.sent_at - stop:+.2f} s before it was sent, "
                       f"ran {attempt.runs}")

    def given_up(self, attempt, now):
        """Judges a request without a final answer at its deadline."""
        attempt.ended_at = now
        if self.disturbances.is_calm({attempt.gateway}, attempt.sent_at, now):
            self.bound("HELD", f"{attempt.id} ({attempt.kind}) had no answer "
                       f"{now - attempt.sent_at:.2f} s after it was sent to "
                       f"{attempt.gateway}")

    def _check_time(self, attempt, now):
        late = now - attempt.sent_at - attempt.deadline
        if late > ANSWER_SLACK + STAND_IN_SLACK:
            self.given_up(attempt, now)

    # What the store sees.

    def duty(self, call, now):
        """Judges one duty call."""
        body = call["body"]
        subject = call["duty"]
        if subject == "usage":
            window = body["windowId"]
            known = self._usage.setdefault(window, body["counts"])
            if known != body["counts"]:
                self.breach("ONE", f"window {window}: {known} and "
                            f"{body['counts']}")
        else:
            subject = f"scale {body['service']} {body['zone']}"
        holder, fence = call["holder"], call["fence"]
        highest, owner = self._fences.get(subject, (-1, holder))
        is_calm = self.disturbances.is_calm({"store", holder}, now, now)
        if fence == highest and holder != owner:
            self.breach("ONE", f"{subject}: {holder} and {owner} sent {fence}")
        if fence < highest and is_calm:
            self.breach("ONE", f"{subject}: {holder} sent {fence} after "
                        f"{highest}")
        if fence > highest:
            self._fences[subject] = (fence, holder)
