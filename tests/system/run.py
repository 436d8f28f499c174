"""Runs the system tests and prints the numbers of passed and failed tests as the last line.

Usage: run.py [NAME...], with unittest names such as Crashes or
Crashes.test_all_instances_restarted_at_once. GL_BINARIES is the folder of the executables.
"""

import os
import sys
import unittest

os.chdir(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import test_failures  # noqa: E402


def main():
    loader = unittest.defaultTestLoader
    if len(sys.argv) > 1:
        suite = loader.loadTestsFromNames(sys.argv[1:], test_failures)
    else:
        suite = loader.loadTestsFromModule(test_failures)
    result = unittest.TextTestRunner(verbosity=2).run(suite)
    failed = len(result.failures) + len(result.errors)
    print(f"{result.testsRun - failed} passed, {failed} failed")
    sys.exit(1 if failed or result.testsRun == 0 else 0)


if __name__ == "__main__":
    main()
