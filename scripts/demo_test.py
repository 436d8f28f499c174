"""Unit tests of check_rows in scripts/demo.py."""

import pathlib
import sys
import tempfile
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
sys.dont_write_bytecode = True
import demo  # noqa: E402  (the folder must be on the path first)

JOB = demo.Job("7", "batch", "asada", "asada/main", "", 2, "")
DONE = [{"outcome": "succeeded"}]
ONCE = "start 7.0.1 a\nend 7.0.1 a\nstart 7.1.1 b\nend 7.1.1 b\n"


class CheckRowsTest(unittest.TestCase):
    def problems(self, records, rows=None):
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            (folder / "w.record").write_text(records)
            return demo.check_rows(folder, [JOB], rows or DONE)

    def test_accepts_each_task_once(self):
        """Guards against a check that fails on a correct run."""
        self.assertEqual(self.problems(ONCE), [])

    def test_finds_a_task_that_ran_twice(self):
        """Guards against a second attempt on another worker that is not detected."""
        found = self.problems(ONCE + "start 7.1.2 a\nend 7.1.2 a\n")
        self.assertEqual(found, ["task 7.1 was started 2 times and ended 2 times, "
                                 "expected once each"])

    def test_finds_a_task_that_never_ran(self):
        """Guards against a job that is reported as succeeded although a task never ran."""
        self.assertEqual(len(self.problems("start 7.0.1 a\nend 7.0.1 a\n")), 1)

    def test_finds_work_that_nobody_submitted(self):
        """Guards against tasks that run although they belong to no submitted job."""
        self.assertEqual(self.problems(ONCE + "start 9.0.1 a\n"),
                         ["task 9.0 ran but was never submitted"])

    def test_finds_an_unexpected_outcome(self):
        """Guards against a demo that exits with 0 although a job failed."""
        self.assertEqual(self.problems(ONCE, [{"outcome": "failed"}]),
                         ["job 7 ended as failed, expected succeeded"])


if __name__ == "__main__":
    unittest.main()
