"""A withdrawal of an evacuation that a frozen keeper had not read takes effect after a later one."""

import os
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
from cell import BOUNDS, ZONES, CannotRun, run_case  # noqa: E402

FREEZE_SECONDS = 4.0
ZONE = ZONES[2]


def play(cell, trouble):
    cell.start([{"name": "tenant-1", "api_keys": ["key-1"], "priority": 1, "weight": 26,
                 "max_count": {"cpu": 0, "mem_mb": 0, "gpu": 0}}])
    over = threading.Event()

    def submit_steadily():
        while not over.wait(0.25):
            cell.submit([{"count": 6, "cpu": 1000, "mem_mb": 500, "estimate_ms": 400,
                          "max_per_server": 1}])
    for _ in range(2):
        threading.Thread(target=submit_steadily, daemon=True).start()
    time.sleep(2.0)
    if cell.order(f"/evacuations/{ZONE}/start", deadline=10.0) is None:
        raise CannotRun("the first evacuation was not acknowledged")
    time.sleep(2.0)
    frozen = cell.keepers[3]
    thaw_at = time.monotonic() + FREEZE_SECONDS
    if trouble:
        frozen.signal(signal.SIGSTOP)
        time.sleep(0.2)
    if cell.order(f"/evacuations/{ZONE}/finish", first=frozen) is None:
        raise CannotRun("the withdrawal was not acknowledged")
    time.sleep(0.3)
    evacuated_at = cell.order(f"/evacuations/{ZONE}/start", first=cell.keepers[1])
    if evacuated_at is None:
        raise CannotRun("the second evacuation was not acknowledged")
    time.sleep(max(0.0, thaw_at - time.monotonic()))
    if trouble:
        frozen.signal(signal.SIGCONT)
    # Only starts count that are later than evacuation_ms after the acknowledgement, by a machine
    # that is in touch: contact_ms after the keeper has been woken. An unstable core stretches the
    # bound by max_skew_ms at most.
    counts_from = max(evacuated_at + (BOUNDS["evacuation_ms"] + BOUNDS["max_skew_ms"]) / 1000,
                      cell.record.now() + BOUNDS["contact_ms"] / 1000) + 0.5
    cell.record.write(f"judged: starts in {ZONE} from {counts_from:.3f} on")
    time.sleep(counts_from - cell.record.now() + 5.0)
    over.set()
    with cell.runs_lock:
        late = [run for run in cell.runs
                if run["worker"].zone == ZONE and run["began"] > counts_from]
        others = [run for run in cell.runs
                  if run["worker"].zone != ZONE and run["began"] > counts_from]
    if not others:
        raise CannotRun("no task was started in the other zones")
    return [f"EVAC {run['task']} run {run['run']} starts on {run['worker'].id} in {ZONE} at "
            f"{run['began']:.3f}, the evacuation was acknowledged at {evacuated_at:.3f}"
            for run in late]


if __name__ == "__main__":
    sys.exit(run_case(HERE, play))
