"""A faulty server spoils the answers of requests that it has run."""

import itertools
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.dont_write_bytecode = True
sys.path.insert(0, str(FOLDER.parent / "kit2"))
import kit  # noqa: E402
import load  # noqa: E402

SPOILED_SHARE = 0.05  # of its answers, at most
STATUSES = ("503 Service Unavailable", "429 Too Many Requests")


class Faulty(kit.Server):
    """Sends other bytes in place of some of its answers."""

    is_spoiling = False
    spoiled = answered = 0
    statuses = itertools.cycle(STATUSES)

    async def outcome(self, request):
        answer = await super().outcome(request)
        if not self.is_spoiling or not answer.startswith(b"HTTP/1.1 200"):
            return answer
        self.answered += 1
        if self.spoiled + 1 > SPOILED_SHARE * self.answered:
            return answer
        self.spoiled += 1
        attempt = request.get("x-attempt-id")
        status = next(self.statuses)
        self.record.add(f"{self.id}: sends {status} in place of its answer "
                        f"to {attempt}, without X-Not-Executed")
        # Neither signed nor marked as not run.
        return kit.message_bytes(f"HTTP/1.1 {status}",
                                 {"X-Attempt-Id": attempt})


async def case(record):
    answers, _, runs = await load.play(record, Faulty)
    return [f"REFUSED {attempt} ran at {runs[attempt][0][1]} "
            f"({runs[attempt][0][0]:.3f} s), answered {status}"
            for attempt, status in answers.items()
            if status in (408, 421, 429, 503) and attempt in runs]


kit.play(FOLDER, case)
