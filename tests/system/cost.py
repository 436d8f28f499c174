"""Measures the resource use of control instances: CPU, memory and traffic on links between them.

Prints a table, the cost per worker and per start, and the rate of configuration changes. Traffic
with workers and callers is not counted. Usage: cost.py [SECONDS]
"""

import os
import sys
import threading
import time

os.chdir(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from harness import DECLARATIONS, DOMAINS, Cell, request, wait_until  # noqa: E402

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def cpu_seconds(pid):
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_mib(pid):
    with open(f"/proc/{pid}/status") as file:
        return next(int(line.split()[1]) for line in file if line.startswith("VmRSS")) / 1024


def link_bytes(cell, id):
    total = 0
    for (source, target), proxy in cell.proxies.items():
        if id in (source, target):
            total += proxy.bytes_to_target + proxy.bytes_from_target
    return total


def measure(cell, seconds):
    """Returns (percent of a core, MiB, link bytes per second) of each instance, leader first."""
    ids = sorted(cell.ids, key=lambda id: id != cell.wait_leader())
    before = {id: (cpu_seconds(cell.processes[id].pid), link_bytes(cell, id)) for id in ids}
    started = time.monotonic()
    time.sleep(seconds)
    elapsed = time.monotonic() - started
    rows = []
    for id in ids:
        cpu, sent = before[id]
        pid = cell.processes[id].pid
        rows.append(((cpu_seconds(pid) - cpu) / elapsed * 100, resident_mib(pid),
                     (link_bytes(cell, id) - sent) / elapsed))
    return rows


def print_rows(name, rows):
    for role, (cpu, memory, sent) in zip(["leader", "voter", "voter", "entry"], rows):
        print(f"{name:34} {role:7} {cpu:6.2f} % of a core {memory:7.1f} MiB {sent:10.0f} bytes/s")
    return rows


def start_load(cell, seconds, tasks):
    """Starts clients that submit jobs to all instances for the given time.

    Returns the client threads and, for each client, the number of tasks that were done.
    """
    end = time.monotonic() + seconds
    counts = [0] * 8

    def client(number):
        sequence = 0
        while time.monotonic() < end:
            reply = cell.submit(cell.ids[number % len(cell.ids)], f"load-{seconds}-{number}-{sequence}",
                                {"runMs": 5}, wait=10, tasks=tasks)
            counts[number] += tasks if reply.status == 200 else 0
            sequence += 1

    threads = [threading.Thread(target=client, args=(i,)) for i in range(8)]
    for thread in threads:
        thread.start()
    return threads, counts


def main():
    seconds = int(sys.argv[1]) if len(sys.argv) > 1 else 8
    cell = Cell(entries=1)
    try:
        cell.prepare(workers=0)
        text = DECLARATIONS.replace("cores: 24, memory: 64GiB, slots: 24",
                                    "cores: 384, memory: 640GiB, slots: 384")
        assert cell.apply(cell.wait_leader(), text, 2).status == 200
        idle = print_rows("idle, no workers", measure(cell, seconds))
        for i in range(48):
            cell.add_worker(f"worker-{i + 1}", DOMAINS[i % 3])
        wait_until(lambda: b"\nworkers_count 48" in request(cell.host[cell.wait_leader()], "GET",
                                                             "/metrics").body, 20, "48 workers")
        workers = print_rows("48 workers, no work", measure(cell, seconds))
        threads, counts = start_load(cell, seconds + 1, 5)
        busy = print_rows("48 workers, work", measure(cell, seconds))
        for thread in threads:
            thread.join()
        rate = sum(counts) / (seconds + 1)
        started = time.monotonic()
        for version in range(3, 103):
            changed = text.replace("cores: 384", f"cores: {version + 300}")
            assert cell.apply(cell.wait_leader(), changed, version).status == 200
        changes = 100 / (time.monotonic() - started)
        print(f"starts a second {rate:.0f}; configuration changes a second, one after the other "
              f"{changes:.0f}")
        for role, index in (("leader", 0), ("voter", 1), ("entry", 3)):
            per_worker = [(workers[index][k] - idle[index][k]) / 48 for k in (0, 2)]
            per_start = [(busy[index][k] - workers[index][k]) / rate for k in (0, 2)]
            print(f"slope {role:7} per worker {per_worker[0]:.4f} % {per_worker[1]:.0f} bytes/s; "
                  f"per start {per_start[0]:.4f} % of a core at one a second, "
                  f"{per_start[1]:.0f} bytes")
    finally:
        cell.close()


if __name__ == "__main__":
    main()
