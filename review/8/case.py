"""A faulty server spoils the status of some answers, by one bit."""

import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.dont_write_bytecode = True
sys.path.insert(0, str(FOLDER.parent / "kit2"))
import kit  # noqa: E402
import load  # noqa: E402

SPOILED_SHARE = 0.05  # of its answers, at most


class Faulty(kit.Server):
    """In some answers the first digit of the status, 2, becomes 0."""

    is_spoiling = False
    spoiled = answered = 0

    async def outcome(self, request):
        answer = await super().outcome(request)
        if not self.is_spoiling or not answer.startswith(b"HTTP/1.1 200"):
            return answer
        self.answered += 1
        if self.spoiled + 1 > SPOILED_SHARE * self.answered:
            return answer
        self.spoiled += 1
        self.record.add(f"{self.id}: spoils the status of its answer to "
                        f"{request.get('x-attempt-id')}: 200 becomes 000")
        return answer.replace(b"HTTP/1.1 200", b"HTTP/1.1 000", 1)


async def case(record):
    _, no_answers, _ = await load.play(record, Faulty)
    return [f"MIXED {attempt}: its client got bytes that are no answer "
            f"({text[len(kit.NO_MESSAGE):]})"
            for attempt, text in no_answers.items()]


kit.play(FOLDER, case)
