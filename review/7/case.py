"""A faulty engine spoils an event in the midst: its id is lost."""

import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.dont_write_bytecode = True
sys.path.insert(0, str(FOLDER.parent / "kit2"))
import kit  # noqa: E402
import streams  # noqa: E402


class Faulty(streams.Engine):
    """Spoils one event in the midst of an answer."""

    def spoiled_id(self, number, count):
        return "" if number == count // 2 else None


async def case(record):
    return await streams.play(record, Faulty)


kit.play(FOLDER, case)
