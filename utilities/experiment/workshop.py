"""Copies of the sources, and plays in them."""

import concurrent.futures
import os
import shutil
import signal
import subprocess
import tempfile
from pathlib import Path

from .errors import ExperimentError

TEMPLATE = Path("platform/gateway.toml.template")
SETTINGS_PAGE = Path("docs/SETTINGS.md")
LAST_LINES = 3  # of a failed play's output that are shown


def run_git(folder, *arguments, variables=None):
    """Returns what git prints."""
    result = subprocess.run(["git", "-C", str(folder), *arguments],
                            capture_output=True, text=True, check=False,
                            env={**os.environ, **(variables or {})})
    if result.returncode != 0:
        raise ExperimentError(
            f"git {' '.join(arguments)}: {result.stderr.strip()}")
    return result.stdout.strip()


def resolve_commit(repository, commit):
    """Returns a commit's id; "." is the work tree, with its changes."""
    if commit == ".":
        return commit_of_work_tree(repository)
    return run_git(repository, "rev-parse", "--verify", f"{commit}^{{commit}}")


def commit_of_work_tree(repository):
    """Makes a commit of all that is there, new files too, on no branch.

    The same content gives the same commit, so that what was played with it is
    found again.
    """
    head = run_git(repository, "rev-parse", "HEAD")
    with tempfile.TemporaryDirectory() as folder:
        variables = {"GIT_INDEX_FILE": str(Path(folder) / "index")}
        run_git(repository, "read-tree", "HEAD", variables=variables)
        # What plays leave behind is no source.
        run_git(repository, "add", "-A", ":!journal", variables=variables)
        tree = run_git(repository, "write-tree", variables=variables)
    if tree == run_git(repository, "rev-parse", f"{head}^{{tree}}"):
        return head
    fixed = {f"GIT_{who}_{what}": text for who in ("AUTHOR", "COMMITTER")
             for what, text in (("NAME", "experiment"),
                                ("EMAIL", "experiment@localhost"),
                                ("DATE", "2000-01-01T00:00:00Z"))}
    return run_git(repository, "commit-tree", tree, "-p", head, "-m",
                   "The work tree", variables=fixed)


class Workshop:
    """Copies by commit; each is built once, and plays one variant at a time."""

    def __init__(self, repository, bench, folder, jobs, extra=()):
        """`extra` are further words for the bench's verb `run`."""
        self._extra = list(extra)
        self._repository = Path(repository)
        self._bench = Path(bench)
        self._folder = Path(folder)
        self._jobs = jobs
        self._running = set()
        if not os.access(self._bench, os.X_OK):
            raise ExperimentError(f"no bench at '{bench}'")

    def copy_of(self, variant, commit_id):
        """Returns a checkout of the commit, made if it is not there.

        The work tree has one copy, which is brought up to date, so that only
        what has changed is built again.
        """
        name = "work" if variant.commit == "." else commit_id[:12]
        copy = self._folder / "copies" / name
        if not copy.exists():
            made = copy.with_suffix(".part")
            shutil.rmtree(made, ignore_errors=True)
            made.parent.mkdir(parents=True, exist_ok=True)
            run_git(self._repository, "clone", "--quiet", "--shared",
                    "--no-checkout", ".", str(made))
            made.rename(copy)
        if run_git(copy, "rev-parse", "HEAD") != commit_id or \
                not (copy / SETTINGS_PAGE).exists():
            run_git(copy, "checkout", "--quiet", "--force", commit_id)
        return copy

    def check_settings(self, variant, commit_id):
        """Refuses a setting that the commit's page does not list."""
        page = run_git(self._repository, "show",
                       f"{commit_id}:{SETTINGS_PAGE}")
        for key, _ in variant.settings:
            if f"| `{key}` |" not in page:
                raise ExperimentError(f"variant '{variant.name}': there is no "
                                      f"setting '{key}'")

    def prepare(self, variant, commit_id):
        """Lays the variant's settings into the commit's copy."""
        copy = self.copy_of(variant, commit_id)
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
                   "--why", why, "--jobs", "1", *self._extra]
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
        """Copies the journal of all plays, with what its entries name.

        Returns how many entries are new.
        """
        count = 0
        for journal in sorted(self._folder.glob("copies/*/journal")):
            for file in sorted(journal.rglob("*.*")):
                kept = Path(target) / file.relative_to(journal)
                if kept.exists() or not file.is_file():
                    continue
                kept.parent.mkdir(parents=True, exist_ok=True)
                shutil.copyfile(file, kept)
                count += kept.parent == Path(target)
        return count
