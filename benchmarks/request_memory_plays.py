"""Weighs which unfinished request yields when requests need more memory.

    python3 benchmarks/request_memory_plays.py [SEEDS]

A model of one host: clients upload bodies at a steady rate; abusive ones stall
short of the end, half of them send a byte now and then. Each policy plays the same arrivals; the figures are parts of
the well-behaved requests that were rejected.
"""

import random
import sys

LIMIT = 32e6  # bytes of all requests
SMALL = 131072  # requests up to this may use the whole limit, larger ones 3/4
STEP = 0.01  # seconds
SECONDS = 10
# Requests that begin; "slow" ones are small, too.
IDLE_TIMEOUT = 15.0
SERVED = ("ordinary", "slow", "large")
TRICKLE_INTERVAL = 0.5  # seconds
SLOW_RATE = 1e4
ARRIVALS_PER_S = {"ordinary": 40, "slow": 20, "large": 1, "stalling": 60}
SERVICE_TIME = 0.5  # seconds that a complete request is held


class Request:
    def __init__(self, kind, began, size, rate, trickles):
        self.kind, self.began, self.size = kind, began, size
        self.rate = rate  # bytes a second
        self.stalls = kind == "stalling"
        self.trickles = self.stalls and trickles
        self.held = 0.0
        self.progressed = began
        self.completed_at = None

    def next_size(self):
        goal = self.size - 1 if self.stalls else self.size
        return min(goal, self.held + self.rate * STEP)


def cost_by_size(request, now):
    return request.held


def cost_by_age(request, now):
    return now - request.began


def cost_by_size_and_age(request, now):
    return request.held * max(0.001, now - request.began)


def cost_by_size_and_silence(request, now):
    return request.held * max(0.001, now - request.progressed)


POLICIES = {"newest": None, "largest": cost_by_size, "oldest": cost_by_age,
            "size times age": cost_by_size_and_age,
            "size times silence": cost_by_size_and_silence}


def arrivals(seed, stalling_size):
    """Yields the requests that begin in each step."""
    draw = random.Random(seed)
    for step in range(int(SECONDS / STEP)):
        now = step * STEP
        begun = []
        for kind, per_s in ARRIVALS_PER_S.items():
            if draw.random() >= per_s * STEP:
                continue
            small = draw.uniform(1e3, 5e4)
            size = {"ordinary": small, "slow": small, "large": 4e6,
                    "stalling": draw.uniform(0.5, 1.0) * stalling_size}[kind]
            rate = draw.uniform(1e6, 8e6)
            begun.append(Request(kind, now, size,
                                 SLOW_RATE if kind == "slow" else rate,
                                 trickles=draw.random() < 0.5))
        yield now, begun


def play(cost, seed, stalling_size):
    """Returns the parts of the well-behaved requests that were rejected."""
    open_requests, begun, rejected = [], {}, {}
    total = 0.0

    def leave(request):
        nonlocal total
        total -= request.held
        open_requests.remove(request)

    def reject(request):
        leave(request)
        rejected[request.kind] = rejected.get(request.kind, 0) + 1

    def make_room(request, growth, now):
        limit = LIMIT if request.held + growth <= SMALL else LIMIT * 3 / 4
        while total + growth > limit:
            unfinished = [other for other in open_requests
                          if other.completed_at is None]
            if cost is None or not unfinished:
                return False
            victim = max(unfinished, key=lambda other: cost(other, now))
            if victim is request:
                return False
            reject(victim)
        return True

    for now, new in arrivals(seed, stalling_size):
        open_requests += new
        for request in new:
            begun[request.kind] = begun.get(request.kind, 0) + 1
        for request in list(open_requests):
            if request not in open_requests:
                continue
            is_over = (request.completed_at is not None and
                       now - request.completed_at > SERVICE_TIME)
            is_late = request.stalls and now - request.began > IDLE_TIMEOUT
            if is_over or is_late:
                leave(request)
            elif request.completed_at is None:
                size = request.next_size()
                if not make_room(request, size - request.held, now):
                    reject(request)
                    continue
                total += size - request.held
                sends_a_byte = (request.trickles and now - request.progressed
                                > TRICKLE_INTERVAL)
                if size > request.held or sends_a_byte:
                    request.progressed = now
                request.held = size
                if size >= request.size:
                    request.completed_at = now
    return {kind: rejected.get(kind, 0) / begun[kind] for kind in SERVED}


def main():
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 20
    for stalling_size in (3e4, 1e6, 4e6):
        for name, cost in POLICIES.items():
            plays = [play(cost, seed, stalling_size) for seed in range(seeds)]
            parts = {kind: sum(one[kind] for one in plays) / seeds
                     for kind in SERVED}
            print(f"stalling {stalling_size / 1e6:g} MB, {name}:",
                  *(f"{kind} {part:.3f}" for kind, part in parts.items()),
                  flush=True)


if __name__ == "__main__":
    main()
