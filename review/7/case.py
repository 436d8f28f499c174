"""A task of a crashed worker stands still for 15 s after another worker took over the address."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
from cell import BOUNDS, CannotRun, Worker, run_case  # noqa: E402

# The largest dose of the site is 4.5 s.
DOWN_SECONDS = 3.6
IDLE_SECONDS = 3.0


def play(cell, trouble):
    cell.start([{"name": "tenant-1", "api_keys": ["key-1"], "priority": 1, "weight": 26,
                 "max_count": {"cpu": 0, "mem_mb": 0, "gpu": 0}}])
    _, status = cell.submit([{"count": 1, "cpu": 1000, "mem_mb": 500, "estimate_ms": 40000}])
    if status != 200:
        raise CannotRun("the first submission was not accepted")
    time.sleep(2.0)
    worker = cell.runs[0]["worker"]
    id, status = cell.submit([{"count": 1, "cpu": 1000, "mem_mb": 500, "estimate_ms": 30000}])
    if status != 200:
        raise CannotRun("the second submission was not accepted")
    time.sleep(0.3)
    if not any(run["task"].startswith(id) and run["worker"] is worker for run in cell.runs):
        raise CannotRun("the task went to another worker")
    traffic_ended = cell.record.now()
    if trouble:
        worker.crash()
        worker.closed = True
        time.sleep(DOWN_SECONDS)
        cell.workers.append(Worker(cell, "i-new", worker.zone, worker.ip))
    time.sleep(traffic_ended + BOUNDS["finish_s"] + IDLE_SECONDS - cell.record.now())
    asked_at = cell.record.now()
    status, reply = cell.ask("GET", id)
    if status != 200:
        return [f"LOST {id} gets {status or 'no answer'}"]
    if reply["state"] == "completed":
        return []
    with cell.runs_lock:
        at_work = [run for run in cell.runs if run["task"].startswith(id)
                   and (run["ended"] is None or run["ended"] > asked_at - IDLE_SECONDS)]
        busy = sum(run["ended"] is None for run in cell.runs)
    if at_work:
        return []
    return [f"LOST {id} is {reply['state']} and has had nothing running for {IDLE_SECONDS:.0f} s, "
            f"{asked_at - traffic_ended:.1f} s after the end of the traffic, with {busy} cores of "
            f"{16 * sum(other.alive for other in cell.workers)} in use"]


if __name__ == "__main__":
    sys.exit(run_case(HERE, play, workers_per_zone=3))
