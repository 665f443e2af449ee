"""Reports of plays, read as the bench's pages describe them."""

import dataclasses
import json
from pathlib import Path

from .errors import ExperimentError


@dataclasses.dataclass(frozen=True)
class Result:
    """What one play has shown."""

    worth: float
    served: float
    refused: float
    failed: float
    parts: dict[str, float]  # share earned, by part
    prices: dict[str, float]  # worth taken off, by what was paid for
    windows: list[tuple[float, float]]  # second, share earned
    refusals: list[tuple[float, int, int, int]]  # second, refused, failed, late
    troubles: list[tuple[float, float, str]]  # from, to, kind
    unserved_by: dict[str, int]  # requests, by the last try's end
    breaks: dict[str, int]  # rules broken

    @property
    def price(self):
        return sum(self.prices.values())


def read_result(path):
    """Reads a report; a field that is missing is an error, never a zero."""
    try:
        report = json.loads(Path(path).read_text())
        return Result(
            worth=float(report["G"]),
            served=float(report["served"]),
            refused=float(report["refused"]),
            failed=float(report["failed"]),
            parts={name: share for name, _, share in report["parts"]},
            prices={name: worth for name, _, worth in report["prices"]},
            windows=[(float(row["name"]), row["worth"])
                     for row in report["windows"]],
            refusals=[(float(row["name"]), row["refused"], row["failed"],
                       row["late"]) for row in report["windows"]],
            troubles=[(event["at_s"], event["to_s"], event["kind"])
                      for event in report["events"]],
            unserved_by={row[0]: row[1] for row in report["unserved_by"]},
            breaks=dict(report["breaks"]),
        )
    except (OSError, json.JSONDecodeError, KeyError, TypeError,
            ValueError) as error:
        raise ExperimentError(
            f"report '{path}' cannot be read: {error!r}") from error
