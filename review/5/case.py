"""Accepted work does not run on after a manifest has given its route another name."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from standin import Broken, FINISH_S, Worker, run_case, trouble, wait_until  # noqa: E402

ID = "eeeeeeeeeeeeeee5"


def case(cell):
    cell.start()
    for n in range(6):
        Worker(cell, f"worker-{n}", n, cpu=16000).start()
    cell.await_traffic()
    cell.submit(ID, {"spec": "two steps", "steps": [
        {"count": 2, "cpu": 1000, "mem_mb": 1000, "estimate_ms": 2000},
        {"count": 2, "cpu": 1000, "mem_mb": 1000, "estimate_ms": 2000, "depends_on": [0]}]})
    wait_until(lambda: cell.is_running(f"{ID}.0.0.0") and cell.is_running(f"{ID}.0.0.1"), 10,
               "step 0 runs")
    if trouble():
        # Removes the route and adds one with the same host, prefix and service.
        cell.put_manifest(cell.manifest(name="r-queue-b"))
    wait_until(lambda: not cell.is_running(f"{ID}.0.0.0") and not cell.is_running(f"{ID}.0.0.1"),
               20, "step 0 ends")
    # The workers are empty from now on, so there is room for step 1 many times over.
    since = cell.record.now()
    end = time.monotonic() + FINISH_S
    while time.monotonic() < end and not cell.runs_of(f"{ID}.0.1.0"):
        time.sleep(0.05)
    started = cell.runs_of(f"{ID}.0.1.0")
    waited = (started[0]["at"] if started else cell.record.now()) - since
    time.sleep(3.0 if started else 0.0)
    state = cell.state(ID)
    refused = sum(" 409 ticket" in line for line in cell.record.lines)
    cell.record.add(f"step 1 {'started' if started else 'did not start'}, {waited:.1f} s after "
                    f"step 0 had ended; workers refused {refused} starts without a ticket")
    if waited > 3.0:
        raise Broken(f"LOST: nothing of {ID} ran for {waited:.1f} s after step 0 had ended, with "
                     f"all workers empty, and it is shown as {state}; {refused} starts without a "
                     "ticket were refused")


run_case(HERE, case, policy=lambda step, worker: True, seconds_of=lambda task: 2.0)
