"""What an experiment plays: sites, days, seeds and variants."""

import dataclasses
import hashlib
import re
import tomllib
from pathlib import Path

from .errors import ExperimentError

SETTING = re.compile(r"policy\.[a-z0-9_]+")


@dataclasses.dataclass(frozen=True)
class Variant:
    """One state of the system: a commit, and settings of its policy."""

    name: str
    commit: str  # any revision; "." is the work tree with its changes
    settings: tuple[tuple[str, str], ...] = ()

    def key(self, commit_id, extra=()):
        """Returns a folder's name that changes with what is played."""
        text = repr((commit_id, self.settings, tuple(extra))).encode()
        return f"{self.name}-{hashlib.sha256(text).hexdigest()[:10]}"


@dataclasses.dataclass(frozen=True)
class Play:
    """One day of one site with one seed."""

    site: Path
    day: str
    seed: int

    def label(self):
        return f"{self.site.stem}/{self.day}-{self.seed}"


def parse_variant(text):
    """Reads NAME[@COMMIT][=KEY:VALUE,...]."""
    head, _, tail = text.partition("=")
    name, _, commit = head.partition("@")
    if not re.fullmatch(r"[A-Za-z0-9_.-]+", name):
        raise ExperimentError(f"variant '{text}': '{name}' is no name")
    settings = []
    for item in filter(None, tail.split(",")):
        key, colon, value = item.partition(":")
        if not colon or not SETTING.fullmatch(key):
            raise ExperimentError(
                f"variant '{name}': '{item}' is not policy.KEY:VALUE")
        settings.append((key, value))
    return Variant(name, commit or ".", tuple(settings))


def read_site(path):
    """Returns the names of a site's standard days."""
    try:
        content = tomllib.loads(Path(path).read_text())
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise ExperimentError(f"site '{path}': {error}") from error
    days = [day["name"] for day in content.get("day", [])]
    if not days:
        raise ExperimentError(f"site '{path}': it has no days")
    return days


def make_plays(sites, days, seeds):
    """Returns every day asked for, of every site, with every seed.

    `days` are names of standard days, `all`, or `trouble`: all but the quiet.
    """
    plays = []
    for site in sites:
        known = read_site(site)
        for day in days:
            if day == "all":
                names = known
            elif day == "trouble":
                names = [name for name in known if "quiet" not in name]
            elif day in known:
                names = [day]
            else:
                raise ExperimentError(f"site '{site}' has no day '{day}'; "
                                      f"it has {', '.join(known)}")
            plays += [Play(Path(site).resolve(), name, seed)
                      for name in names for seed in seeds]
    return list(dict.fromkeys(plays))
