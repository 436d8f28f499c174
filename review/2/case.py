"""A new leader starts a task anew that runs on a worker whose restart is not in the log yet."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import standin  # noqa: E402
from standin import Broken, Worker, run_case, trouble, wait_until  # noqa: E402

# The longest time that a stop may take.
standin.STOP_S = 0.85
# The leader is killed this long after the worker has restarted.
KILL_AFTER_S = 0.6
ROUNDS = 4
LABEL = "b"


def case(cell):
    cell.start()
    # Two of eight workers are of the kind that the tasks need.
    workers = [Worker(cell, f"worker-{n}", n, cpu=16000, labels=[LABEL if n < 2 else "a", "r1"])
               for n in range(8)]
    for worker in workers:
        worker.start()
    cell.await_traffic()
    for number in range(ROUNDS):
        one_round(cell, workers[0], f"{number + 1:016x}")
        both = [(run, cell.overlap_of(run)) for run in cell.runs if run["others"]]
        for run, seconds in both:
            cell.record.add(f"run {run['run']} of {run['task']} on {run['worker']} began while the "
                            f"task ran on {run['others']}, for {seconds:.2f} s")
        if both:
            run, seconds = both[0]
            raise Broken(f"TWICE: run {run['run']} of {run['task']} began on {run['worker']} while "
                         f"the task ran on {run['others']}, {seconds:.2f} s before that run ended")


def one_round(cell, restarting, id):
    leader = cell.leader()
    slow = cell.followers()[0]
    others = [node for node in cell.keepers if node not in (slow, leader)]
    # The worker calls the keeper first that freezes, and another one after a second.
    restarting.nodes = [(node.host, cell.ports["control"]) for node in [slow] + others]
    if trouble():
        slow.freeze()
        restarting.end("crash")
        time.sleep(0.3)
        restarting.start()
    restarted = time.monotonic()
    cell.submit(id, {"spec": "s", "steps": [{"count": 6, "cpu": 4000, "mem_mb": 500,
                                             "estimate_ms": 5000, "requires": LABEL}]})
    wait_until(lambda: any(run["worker"] == restarting.id and run["task"].startswith(id)
                           for run in cell.runs), 10, "the worker gets a task")
    time.sleep(max(0.0, restarted + KILL_AFTER_S - time.monotonic()))
    if trouble():
        leader.kill()
        time.sleep(standin.RESTART_DELAY_S)
        leader.start()
        time.sleep(2.0)
        slow.thaw()
    time.sleep(10.0)


run_case(HERE, case, seconds_of=lambda task: 5.0)
