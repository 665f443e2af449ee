"""Old scores, read from the journal into tables."""

import json
from pathlib import Path

from .errors import ExperimentError
from .tables import row


def read_entries(folder):
    """Yields the entries of plays that ended, oldest first."""
    paths = sorted(Path(folder).glob("*.json"))
    if not paths:
        raise ExperimentError(f"journal '{folder}': it has no entry")
    for path in paths:
        try:
            entry = json.loads(path.read_text())
        except (OSError, json.JSONDecodeError) as error:
            raise ExperimentError(f"entry '{path}': {error}") from error
        if entry.get("ok") and entry.get("days"):
            yield entry


def journal_table(folder, site):
    """Returns a table of the days that the journal holds for a site."""
    lines = [row("at", "command", "day", "worth", "served", "why"),
             row(*["---"] * 6)]
    for entry in read_entries(folder):
        name = (entry.get("site") or entry["argv"][0]).split("/")[-1]
        if site and site not in name:
            continue
        for day in entry["days"]:
            worth = day.get("worth", day.get("G"))
            if worth is None:
                continue
            served = day.get("served")
            lines.append(row(
                entry["at"][0], entry["cmd"], day.get("name", ""),
                f"{worth:.3f}", "" if served is None else f"{served:.3f}",
                entry.get("why", "")))
    return "\n".join(lines)
