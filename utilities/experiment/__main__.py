"""The command line; see docs/design/experiments.md."""

import argparse
import json
import signal
import sys
from pathlib import Path

from . import journal, page, tables
from .errors import ExperimentError
from .plan import make_plays, parse_variant
from .results import read_result
from .workshop import Workshop, resolve_commit

REPOSITORY = Path(__file__).resolve().parents[2]


def make_parser():
    parser = argparse.ArgumentParser(
        prog="meta/experiment",
        description="Plays variants of the system on the same days and seeds.")
    verbs = parser.add_subparsers(dest="verb", required=True)
    play = verbs.add_parser("play", help="play what is missing, then report")
    play.add_argument("--bench", required=True, help="the bench's program")
    play.add_argument("--site", action="append", required=True)
    play.add_argument("--days", default="trouble",
                      help="names, `trouble` or `all`, with commas between")
    play.add_argument("--seeds", default="1,2,3")
    play.add_argument("--variant", action="append", required=True,
                      metavar="NAME[@COMMIT][=policy.KEY:VALUE,...]",
                      help="the first one is the base")
    play.add_argument("--out", required=True, help="folder for all results")
    play.add_argument("--jobs", type=int, default=4, help="plays at a time")
    play.add_argument("--no-cpu", action="store_true",
                      help="processor time is not charged: less noise")
    play.add_argument("--why", required=True, help="the hypothesis")
    old = verbs.add_parser("journal", help="a table of what the journal holds")
    old.add_argument("--folder", default=str(REPOSITORY / "journal"))
    old.add_argument("--site", default="", help="a part of a site's name")
    return parser


def read_numbers(text):
    try:
        return [int(item) for item in text.split(",")]
    except ValueError as error:
        raise ExperimentError(f"'{text}' is no list of numbers") from error


def check_folder(folder):
    if folder.resolve().is_relative_to(REPOSITORY):
        raise ExperimentError(f"'{folder}' lies in the source tree")


def play_variant(workshop, variant, commit_id, plays, folder, why):
    """Plays what is missing; returns results by play, and problems."""
    problems = []
    reports = {play: folder / play.site.stem / f"{play.day}-{play.seed}.json"
               for play in plays}
    missing = [(play, path) for play, path in reports.items()
               if not path.exists()]
    if missing:
        copy = workshop.prepare(variant, commit_id)
        workshop.build(copy)

        def done(play, problem):
            print(f"{variant.name}: {play.label()}: {problem or 'played'}",
                  file=sys.stderr)
            if problem:
                problems.append((variant.name, play.label(), problem))

        workshop.play_all(copy, missing, f"{variant.name}: {why}", done)
    results = {play: read_result(path) for play, path in reports.items()
               if path.exists()}
    return results, problems


def play(arguments):
    variants = [parse_variant(text) for text in arguments.variant]
    if len({variant.name for variant in variants}) != len(variants):
        raise ExperimentError("two variants have the same name")
    folder = Path(arguments.out)
    check_folder(folder)
    plays = make_plays(arguments.site, arguments.days.split(","),
                       read_numbers(arguments.seeds))
    extra = ["--no-cpu"] if arguments.no_cpu else []
    workshop = Workshop(REPOSITORY, arguments.bench, folder, arguments.jobs,
                        extra)
    commits = [resolve_commit(REPOSITORY, variant.commit)
               for variant in variants]
    for variant, commit_id in zip(variants, commits):
        workshop.check_settings(variant, commit_id)
    outcomes = {}
    problems = []
    for variant, commit_id in zip(variants, commits):
        results, failed = play_variant(
            workshop, variant, commit_id, plays,
            folder / "plays" / variant.key(commit_id, extra), arguments.why)
        outcomes[variant.name] = results
        problems += failed
    collected = workshop.collect_journal(REPOSITORY / "journal")
    print(f"{collected} new entries in the journal", file=sys.stderr)
    base = variants[0].name
    text = "\n\n".join([tables.difference_table(outcomes, base),
                        tables.day_table(outcomes),
                        tables.problem_table(problems)])
    (folder / "tables.md").write_text(text + "\n")
    (folder / "plan.json").write_text(json.dumps(
        {"why": arguments.why, "variants": arguments.variant,
         "commits": commits}, indent=1) + "\n")
    page.write_page(folder / "page.html", arguments.why, outcomes, base,
                    problems)
    print(text)
    return 1 if problems else 0


def interrupt(_number, _frame):
    raise KeyboardInterrupt


def main(arguments=None):
    """Returns the exit code: 1 if a play failed, 2 for bad input.

    Told to end, it ends the plays that it started: exit code 130.
    """
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, interrupt)
    options = make_parser().parse_args(arguments)
    try:
        if options.verb == "journal":
            print(journal.journal_table(options.folder, options.site))
            return 0
        return play(options)
    except ExperimentError as error:
        print(f"experiment: {error}", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        print("experiment: ended; a further call goes on", file=sys.stderr)
        return 130


if __name__ == "__main__":
    sys.exit(main())
