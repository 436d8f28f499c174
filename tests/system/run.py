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
import test_hostile_clients  # noqa: E402

MODULES = (test_failures, test_hostile_clients)


def module_of(name):
    """Returns the module that has the test; the first one, whose loader reports it, if none has."""
    return next((module for module in MODULES if hasattr(module, name.split(".")[0])), MODULES[0])


def main():
    loader = unittest.defaultTestLoader
    if len(sys.argv) > 1:
        suite = unittest.TestSuite(loader.loadTestsFromName(name, module_of(name))
                                   for name in sys.argv[1:])
    else:
        # One test after the other, so that no test measures the memory of another one's crowd.
        suite = unittest.TestSuite(loader.loadTestsFromModule(module) for module in MODULES)
    result = unittest.TextTestRunner(verbosity=2).run(suite)
    failed = len(result.failures) + len(result.errors)
    print(f"{result.testsRun - failed} passed, {failed} failed")
    sys.exit(1 if failed or result.testsRun == 0 else 0)


if __name__ == "__main__":
    main()
