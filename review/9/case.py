"""One submission with many overdue occurrences ends all keepers, again and again."""

import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
from cell import BOUNDS, CannotRun, run_case  # noqa: E402

# `memory_mb` of a core machine of the site. A process that uses more is killed.
MEMORY_KB = 256 * 1000
RESTART_SECONDS = 0.5
OCCURRENCES = 1_000_000
# The one submission is under 0.05 of all.
SUBMISSIONS = 20
ASK_SECONDS = 3.0
TRIES = 3


def resident_kb(process):
    try:
        with open(f"/proc/{process.pid}/status") as file:
            for line in file:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1])
    except OSError:
        pass
    return 0


def play(cell, trouble):
    cell.start([{"name": "tenant-1", "api_keys": ["key-1"], "priority": 1, "weight": 26,
                 "max_count": {"cpu": 0, "mem_mb": 0, "gpu": 0}}])
    kills = {node.name: 0 for node in cell.keepers}
    over = threading.Event()

    def watch(node):
        """The platform: kills a process over its memory and starts it again."""
        while not over.wait(0.005):
            if resident_kb(node.process) > MEMORY_KB:
                kills[node.name] += 1
                cell.record.write(f"platform: {node.name} uses more than {MEMORY_KB} kB")
                node.kill()
                time.sleep(RESTART_SECONDS)
                if not over.is_set():
                    node.start()
    watchers = [threading.Thread(target=watch, args=(node,), daemon=True) for node in cell.keepers]
    for watcher in watchers:
        watcher.start()
    accepted = []
    for _ in range(SUBMISSIONS):
        id, status = cell.submit([{"count": 2, "cpu": 1000, "mem_mb": 500, "estimate_ms": 3000}])
        if status != 200:
            raise CannotRun("a submission was not accepted")
        accepted.append(id)
    due = int(time.time() * 1000) - OCCURRENCES * 1000
    id = "00000000c0ffee00"
    steps = [{"count": 1, "cpu": 100, "mem_mb": 10, "estimate_ms": 100}]
    cell.submissions[id] = {"steps": steps, "tenant": "tenant-1"}
    for _ in range(5):
        status, _ = cell.ask("POST", id, {
            "spec": "spec of " + id, "steps": steps, "initial_delay_ms": due, "interval_ms": 1000,
            "run_count": OCCURRENCES if trouble else 3})
        if status in (200, 400, 429, 503):
            break
    time.sleep(BOUNDS["finish_s"])
    # Each submission is asked for three times, by three seconds each.
    state = {}

    def ask(id):
        for _ in range(TRIES):
            status, reply = cell.ask("GET", id, timeout=ASK_SECONDS)
            if status in (200, 410):
                state[id] = reply.get("state", "unknown")
                return
            time.sleep(0.2)
    askers = [threading.Thread(target=ask, args=(id,), daemon=True) for id in accepted]
    for asker in askers:
        asker.start()
    for asker in askers:
        asker.join()
    over.set()
    for watcher in watchers:
        watcher.join()
    cell.record.write(f"platform: processes ended for their memory: {kills}")
    breaks = [f"LOST {id} was accepted and gets no answer" for id in accepted if id not in state]
    breaks += [f"LOST {id} was accepted and is not known" for id in accepted
               if state.get(id) == "unknown"]
    return breaks


if __name__ == "__main__":
    sys.exit(run_case(HERE, play))
