"""Copies of the sources, and plays in them."""

import concurrent.futures
import os
import shutil
import signal
import subprocess
from pathlib import Path

from .errors import ExperimentError

TEMPLATE = Path("platform/gateway.toml.template")
SETTINGS_PAGE = Path("docs/SETTINGS.md")
LAST_LINES = 3  # of a failed play's output that are shown


def run_git(folder, *arguments):
    """Returns what git prints."""
    result = subprocess.run(["git", "-C", str(folder), *arguments],
                            capture_output=True, text=True, check=False)
    if result.returncode != 0:
        raise ExperimentError(
            f"git {' '.join(arguments)}: {result.stderr.strip()}")
    return result.stdout.strip()


def resolve_commit(repository, commit):
    """Returns a commit's id; "." is the work tree, with its changes."""
    if commit == ".":
        changed = run_git(repository, "stash", "create")
        return changed or run_git(repository, "rev-parse", "HEAD")
    return run_git(repository, "rev-parse", "--verify", f"{commit}^{{commit}}")


class Workshop:
    """Copies by commit; each is built once, and plays one variant at a time."""

    def __init__(self, repository, bench, folder, jobs):
        self._repository = Path(repository)
        self._bench = Path(bench)
        self._folder = Path(folder)
        self._jobs = jobs
        self._running = set()
        if not os.access(self._bench, os.X_OK):
            raise ExperimentError(f"no bench at '{bench}'")

    def copy_of(self, commit_id):
        """Returns a checkout of the commit, made if it is not there."""
        copy = self._folder / "copies" / commit_id[:12]
        if not copy.exists():
            made = copy.with_suffix(".part")
            shutil.rmtree(made, ignore_errors=True)
            made.parent.mkdir(parents=True, exist_ok=True)
            run_git(self._repository, "clone", "--quiet", "--shared",
                    "--no-checkout", ".", str(made))
            run_git(made, "checkout", "--quiet", commit_id)
            made.rename(copy)
        return copy

    def check_settings(self, variant, commit_id):
        """Refuses a setting that the commit's page does not list."""
        page = (self.copy_of(commit_id) / SETTINGS_PAGE).read_text()
        for key, _ in variant.settings:
            if f"| `{key}` |" not in page:
                raise ExperimentError(f"variant '{variant.name}': there is no "
                                      f"setting '{key}'")

    def prepare(self, variant, commit_id):
        """Lays the variant's settings into the commit's copy."""
        copy = self.copy_of(commit_id)
        original = run_git(copy, "show", f"HEAD:{TEMPLATE}") + "\n"
        lines = [f"{key.removeprefix('policy.')} = {value}"
                 for key, value in variant.settings]
        if lines:
            original += "\n[policy]\n" + "\n".join(lines) + "\n"
        (copy / TEMPLATE).write_text(original)
        return copy

    def build(self, copy):
        result = subprocess.run([str(self._bench), "build"], cwd=copy,
                                capture_output=True, text=True, check=False)
        if result.returncode != 0:
            raise ExperimentError(f"the build in {copy} failed: "
                                  f"{result.stdout[-400:]}{result.stderr}")

    def play_all(self, copy, plays, why, done):
        """Plays in one copy, a few at a time.

        `plays` are pairs of a play and the file for its report; `done` is
        called with the play and an error's text or None.
        """
        with concurrent.futures.ThreadPoolExecutor(self._jobs) as pool:
            waiting = {pool.submit(self._play, copy, play, report, why): play
                       for play, report in plays}
            try:
                for future in concurrent.futures.as_completed(waiting):
                    done(waiting[future], future.result())
            except BaseException:
                for future in waiting:
                    future.cancel()
                self._end_running()
                raise

    def _play(self, copy, play, report, why):
        report.parent.mkdir(parents=True, exist_ok=True)
        part = report.with_suffix(".part")
        part.unlink(missing_ok=True)
        command = [str(self._bench), "run", str(play.site), play.day,
                   "--seed", str(play.seed), "--report", str(part),
                   "--why", why, "--jobs", "1"]
        process = subprocess.Popen(command, cwd=copy, text=True,
                                   stdout=subprocess.PIPE,
                                   stderr=subprocess.STDOUT,
                                   start_new_session=True)
        self._running.add(process)
        output, _ = process.communicate()
        self._running.discard(process)
        report.with_suffix(".txt").write_text(output)
        if process.returncode < 0 or not part.exists():
            lines = output.strip().splitlines()[-LAST_LINES:]
            return f"exit {process.returncode}: {' / '.join(lines)}"
        part.rename(report)
        return None

    def _end_running(self):
        for process in list(self._running):
            if process.poll() is None:
                os.killpg(process.pid, signal.SIGTERM)

    def collect_journal(self, target):
        """Copies the journal entries of all plays; returns how many are new."""
        count = 0
        for entry in sorted(self._folder.glob("copies/*/journal/*.json")):
            kept = Path(target) / entry.name
            if not kept.exists():
                shutil.copyfile(entry, kept)
                count += 1
        return count
