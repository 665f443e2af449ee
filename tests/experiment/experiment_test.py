"""The tool for experiments, with a bench of its own making.

    PYTHONPATH=utilities python3 -m unittest discover -s tests/experiment -p '*_test.py'
"""

import contextlib
import io
import json
import math
import os
import stat
import subprocess
import tempfile
import time
import unittest
from pathlib import Path
from unittest import mock

from experiment import __main__ as program
from experiment import journal, workshop
from experiment.comparison import compare
from experiment.errors import ExperimentError
from experiment.plan import make_plays, parse_variant
from experiment.results import read_result

UTILITIES = Path(__file__).resolve().parents[2] / "utilities"
SITE = '[[day]]\nname = "quiet-1"\n[[day]]\nname = "trouble-1"\n'

# Writes a report whose worth follows from the seed and the policy's setting.
BENCH = """#!/usr/bin/env python3
import json, pathlib, sys
words = sys.argv
pathlib.Path("journal").mkdir(exist_ok=True)
if words[1] == "build":
    sys.exit(0)
value = lambda flag: words[words.index(flag) + 1]
template = pathlib.Path("platform/gateway.toml.template").read_text()
gain = 0.1 if "factor = 2" in template else 0.0
seed = int(value("--seed"))
calls = pathlib.Path(sys.argv[0]).with_name("calls")
with calls.open("a") as file:
    file.write(f"{words[3]} {seed} {gain}\\n")
if seed == 13:
    print("the play broke")
    sys.exit(3)
report = {"G": 0.2 + gain + seed / 100, "served": 0.9, "refused": 0.02,
          "failed": 0.01, "parts": [["worst windows", 0.28, 0.5]],
          "prices": [["servers", 10.0, 0.3 - gain]],
          "windows": [{"name": str(at), "worth": 0.9, "refused": 1,
                       "failed": 0, "late": 2} for at in (0, 2, 4)],
          "events": [{"at_s": 1.0, "to_s": 2.0, "kind": "burst"}],
          "unserved_by": [["429", 3, []]], "breaks": {}}
pathlib.Path(value("--report")).write_text(json.dumps(report))
entry = pathlib.Path("journal") / f"{words[3]}-{seed}-{gain}.json"
entry.write_text(json.dumps({"why": value("--why")}))
"""


class PlanTest(unittest.TestCase):
    def test_reads_variants(self):
        variant = parse_variant("new@abc=policy.factor:2,policy.other:0.5")
        self.assertEqual(("new", "abc"), (variant.name, variant.commit))
        self.assertEqual((("policy.factor", "2"), ("policy.other", "0.5")),
                         variant.settings)

    def test_refuses_what_is_no_setting(self):
        with self.assertRaisesRegex(ExperimentError, "factor=2"):
            parse_variant("new=factor=2")

    def test_refuses_unknown_sites_and_days(self):
        with tempfile.TemporaryDirectory() as folder:
            site = Path(folder) / "one.toml"
            with self.assertRaisesRegex(ExperimentError, "one.toml"):
                make_plays([site], ["all"], [1])
            site.write_text(SITE)
            with self.assertRaisesRegex(ExperimentError, "no day 'nowhere'"):
                make_plays([site], ["nowhere"], [1])
            self.assertEqual(2, len(make_plays([site], ["trouble"], [1, 2])))


class ComparisonTest(unittest.TestCase):
    def test_compares_only_pairs(self):
        difference = compare({"a": 1.0, "b": 2.0, "c": 9.0},
                             {"a": 1.1, "b": 2.3, "d": 0.0})
        self.assertEqual(2, difference.pairs)
        self.assertAlmostEqual(0.2, difference.mean)
        # Two differences 0.1 either side of their mean: t(1) * 0.1.
        self.assertAlmostEqual(1.2706, difference.half_width, places=3)

    def test_one_pair_has_no_interval(self):
        self.assertTrue(math.isinf(compare({"a": 1}, {"a": 2}).half_width))


class ResultTest(unittest.TestCase):
    def test_a_missing_field_is_an_error(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "report.json"
            path.write_text(json.dumps({"G": 0.5}))
            with self.assertRaisesRegex(ExperimentError, "served"):
                read_result(path)
            path.write_text("no JSON")
            with self.assertRaisesRegex(ExperimentError, "report.json"):
                read_result(path)


class JournalTest(unittest.TestCase):
    def test_lists_only_plays_that_ended(self):
        with tempfile.TemporaryDirectory() as folder:
            entry = {"ok": True, "at": ["2026-01-01T00:00:00Z", ""],
                     "argv": ["mill.toml"], "cmd": "score", "why": "a reason",
                     "days": [{"name": "quiet-1", "G": 0.4, "served": 0.9}]}
            Path(folder, "1.json").write_text(json.dumps(entry))
            Path(folder, "2.json").write_text(json.dumps(
                {**entry, "ok": False, "why": "cut off"}))
            table = journal.journal_table(folder, "mill")
            self.assertIn("| 0.400 | 0.900 | a reason |", table)
            self.assertNotIn("cut off", table)

    def test_an_empty_folder_is_an_error(self):
        with tempfile.TemporaryDirectory() as folder:
            with self.assertRaises(ExperimentError):
                journal.journal_table(folder, "")


class PlayTest(unittest.TestCase):
    """Whole experiments in a small repository."""

    def setUp(self):
        holder = tempfile.TemporaryDirectory()
        self.addCleanup(holder.cleanup)
        self.root = Path(holder.name)
        self.repository = self.root / "source"
        self.bench = self.root / "bench"
        self.bench.write_text(BENCH)
        self.bench.chmod(self.bench.stat().st_mode | stat.S_IXUSR)
        self.site = self.root / "mill.toml"
        self.site.write_text(SITE)
        for name, text in {"platform/gateway.toml.template": "[host]\n",
                           "docs/SETTINGS.md": "| `policy.factor` | no | f |\n",
                           "journal/.keep": ""}.items():
            path = self.repository / name
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_text(text)
        for words in (["init", "-q"], ["add", "."],
                      ["-c", "user.name=t", "-c", "user.email=t@example.org",
                       "commit", "-qm", "first"]):
            subprocess.run(["git", "-C", str(self.repository), *words],
                           check=True)
        patch = mock.patch.object(program, "REPOSITORY", self.repository)
        patch.start()
        self.addCleanup(patch.stop)

    def run_tool(self, *variants, seeds="1,2", more=()):
        words = ["play", "--bench", str(self.bench), "--site", str(self.site),
                 "--seeds", seeds, "--out", str(self.root / "out"),
                 "--why", "a hypothesis", *more]
        for variant in variants:
            words += ["--variant", variant]
        output, errors = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(output), \
                contextlib.redirect_stderr(errors):
            code = program.main(words)
        return code, output.getvalue(), errors.getvalue()

    def calls(self):
        path = self.root / "calls"
        return path.read_text().splitlines() if path.exists() else []

    def test_compares_variants_and_keeps_the_journal(self):
        code, output, _ = self.run_tool("base", "more=policy.factor:2")
        self.assertEqual(0, code)
        self.assertIn("| mill | more | 0.315 | 2 | +0.100 ± 0.000 |", output)
        page = (self.root / "out/page.html").read_text()
        self.assertEqual(4, page.count("<svg"))
        self.assertIn("burst", page)
        self.assertEqual(4, len(list(
            (self.repository / "journal").glob("*.json"))))

    def test_a_second_call_plays_nothing_again(self):
        self.run_tool("base", "more=policy.factor:2")
        before = self.calls()
        code, output, _ = self.run_tool("base", "more=policy.factor:2")
        self.assertEqual(0, code)
        self.assertEqual(before, self.calls())
        self.assertIn("+0.100", output)

    def test_plays_without_processor_time_are_others(self):
        self.run_tool("base")
        self.run_tool("base", more=["--no-cpu"])
        self.assertEqual(4, len(self.calls()))

    def test_a_changed_setting_is_played_anew(self):
        self.run_tool("base", "more=policy.factor:2")
        self.run_tool("base", "more=policy.factor:3")
        self.assertEqual(6, len(self.calls()))

    def test_a_play_that_failed_is_said_and_counts_for_nothing(self):
        code, output, _ = self.run_tool("base", "more=policy.factor:2",
                                        seeds="1,13")
        self.assertEqual(1, code)
        self.assertIn("trouble-1-13", output)
        self.assertIn("the play broke", output)
        self.assertIn("+0.100 (one pair)", output)

    def test_refuses_unknown_settings_before_it_plays(self):
        code, _, errors = self.run_tool("base", "more=policy.nothing:2")
        self.assertEqual(2, code)
        self.assertEqual(1, errors.count("\n"))
        self.assertIn("no setting 'policy.nothing'", errors)
        self.assertEqual([], self.calls())

    def test_refuses_unknown_commits_and_a_missing_bench(self):
        code, _, errors = self.run_tool("base@nowhere")
        self.assertEqual((2, 1), (code, errors.count("\n")))
        os.remove(self.bench)
        code, _, errors = self.run_tool("base")
        self.assertEqual(2, code)
        self.assertIn("no bench", errors)

    def test_plays_the_work_tree_with_its_changes(self):
        template = self.repository / "platform/gateway.toml.template"
        template.write_text("[host]\n# factor = 2\n")
        _, output, _ = self.run_tool("old@HEAD", "new")
        self.assertIn("| mill | new | 0.315 | 2 | +0.100", output)

    def test_the_work_tree_has_its_new_files_and_one_id(self):
        (self.repository / "docs/NEW.md").write_text("new\n")
        first = workshop.resolve_commit(self.repository, ".")
        self.assertEqual("new", workshop.run_git(
            self.repository, "show", f"{first}:docs/NEW.md"))
        (self.repository / "journal/1.json").write_text("{}")
        self.assertEqual(first, workshop.resolve_commit(self.repository, "."))
        self.assertNotIn("NEW", workshop.run_git(
            self.repository, "diff", "--cached"))

    def test_ends_what_it_started_when_it_is_told_to_end(self):
        started = self.root / "started"
        self.bench.write_text(
            "#!/usr/bin/env bash\n"
            f"[ $1 = build ] || {{ echo $$ >{started}; exec sleep 600; }}\n")
        launcher = (f"import sys; sys.path.insert(0, {str(UTILITIES)!r})\n"
                    "from pathlib import Path\n"
                    "from experiment import __main__ as program\n"
                    f"program.REPOSITORY = Path({str(self.repository)!r})\n"
                    "sys.exit(program.main(sys.argv[1:]))")
        process = subprocess.Popen(
            ["/usr/bin/python3", "-c", launcher, "play", "--bench",
             str(self.bench), "--site", str(self.site), "--seeds", "1",
             "--out", str(self.root / "out"), "--why", "w", "--variant",
             "base"], stderr=subprocess.DEVNULL)
        self.wait_until(lambda: started.exists() and started.read_text())
        play = int(started.read_text())
        process.terminate()
        self.assertEqual(130, process.wait(timeout=60))
        self.wait_until(lambda: not Path(f"/proc/{play}").exists())

    def wait_until(self, is_met):
        for _ in range(1200):  # a minute; bounds a hang
            if is_met():
                return
            time.sleep(0.05)
        self.fail("it did not come")


if __name__ == "__main__":
    unittest.main()
