"""A faulty engine spoils the id of an event: it loses its last digit."""

import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.dont_write_bytecode = True
sys.path.insert(0, str(FOLDER.parent / "kit2"))
import kit  # noqa: E402
import streams  # noqa: E402


class Faulty(streams.Engine):
    """Spoils the last event of an answer; all of them have ids above 9."""

    def spoiled_id(self, number, count):
        return f"id: {str(number)[:-1]}\n" if number == count else None


async def case(record):
    return await streams.play(record, Faulty)


kit.play(FOLDER, case)
