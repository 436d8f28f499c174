"""A delayed start is carried out by a restarted worker while its task runs elsewhere."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
from cell import ZONES, CannotRun, run_case  # noqa: E402

CRASH_AFTER_SECONDS = 3.0
DOWN_SECONDS = 0.5
# An order that got no answer is carried out 2 to 12 s later; here 0.15 s after the worker is back.
DELAY_SECONDS = CRASH_AFTER_SECONDS + DOWN_SECONDS + 0.15
# At most 0.055 of the orders are held back, so workers of another zone get others meanwhile.
OTHER_ORDERS = 24
HERE_ONLY, ELSEWHERE = "r-" + ZONES[0], "r-" + ZONES[2]


def play(cell, trouble):
    cell.start([{"name": "tenant-1", "api_keys": ["key-1"], "priority": 1, "weight": 26,
                 "max_count": {"cpu": 0, "mem_mb": 0, "gpu": 0}}])
    _, status = cell.submit([{"count": 1, "cpu": 1000, "mem_mb": 500, "estimate_ms": 60000,
                             "requires": HERE_ONLY}])
    if status != 200:
        raise CannotRun("the first submission was not accepted")
    time.sleep(2.0)
    # The task goes to the worker that has work already.
    worker = cell.runs[0]["worker"]
    if trouble:
        worker.hold_next_start_back(DELAY_SECONDS)
    began = time.monotonic()
    id, status = cell.submit([{"count": 1, "cpu": 1000, "mem_mb": 500, "estimate_ms": 25000,
                               "requires": HERE_ONLY}])
    if status != 200:
        raise CannotRun("the second submission was not accepted")
    cell.submit([{"count": OTHER_ORDERS, "cpu": 500, "mem_mb": 100, "estimate_ms": 300,
                  "requires": ELSEWHERE}])
    # Work that goes to another worker, as the first one seems not to answer.
    time.sleep(0.95 - (time.monotonic() - began))
    _, status = cell.submit([{"count": 1, "cpu": 5000, "mem_mb": 500, "estimate_ms": 60000,
                             "requires": HERE_ONLY}])
    if status != 200:
        raise CannotRun("the third submission was not accepted")
    time.sleep(CRASH_AFTER_SECONDS - (time.monotonic() - began))
    if trouble:
        if worker.late_start is None or not any(run["task"].startswith(id) for run in cell.runs):
            raise CannotRun("the start went to another worker, or the task does not run again")
        worker.crash()
        time.sleep(DOWN_SECONDS)
        worker.begin()
    time.sleep(DELAY_SECONDS + 4.0 - (time.monotonic() - began))
    with cell.runs_lock:
        runs = [run for run in cell.runs if run["task"].startswith(id)]
    if not runs:
        raise CannotRun("the task did not run")
    breaks = []
    for run in runs:
        for earlier in runs:
            if earlier is not run and earlier["began"] <= run["began"] and (
                    earlier["ended"] is None or earlier["ended"] > run["began"]):
                breaks.append(f"TWICE {run['task']} run {run['run']} starts on {run['worker'].id} "
                              f"life {run['life']} at {run['began']:.3f}, run {earlier['run']} is at "
                              f"work on {earlier['worker'].id} since {earlier['began']:.3f}")
    return breaks


if __name__ == "__main__":
    sys.exit(run_case(HERE, play, workers_per_zone=3))
