"""A withdrawn order is applied again when a frozen keeper wakes, and an evacuated zone gets work."""

import json
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from standin import (Broken, CONTACT_S, EVACUATION_S, Worker, ZONES, run_case,  # noqa: E402
                     trouble)

ZONE = ZONES[0]
FROZEN_S = 4.0
OBSERVED_S = 5.0
ROUNDS = 5


def case(cell):
    cell.start()
    for n in range(6):
        Worker(cell, f"worker-{n}", n, cpu=16000).start()
    cell.await_traffic()
    stop = threading.Event()

    def submit_forever():
        number = 0
        while not stop.wait(0.1):
            number += 1
            cell.call("POST", f"{number:016x}", json.dumps(
                {"spec": "s", "steps": [{"count": 4, "cpu": 2000, "mem_mb": 500,
                                         "estimate_ms": 300}]}), entry=number % 3)

    threading.Thread(target=submit_forever, daemon=True).start()
    time.sleep(2.0)
    for number in range(ROUNDS):
        late = evacuate_twice(cell, number)
        if late:
            stop.set()
            raise Broken(f"EVAC: in round {number + 1}, {late} starts in {ZONE} by machines in "
                         f"touch, later than {EVACUATION_S} s after its evacuation was "
                         "acknowledged")
    stop.set()
    time.sleep(1.0)


def evacuate_twice(cell, number):
    """Returns how many tasks start in the zone although its evacuation is in force."""
    leader = cell.leader()
    followers = cell.followers()
    frozen = followers[number % len(followers)]
    # The operator happens to call the keeper first that is about to freeze.
    order = [frozen] + [node for node in cell.keepers if node not in (frozen, leader)] + [leader]
    nodes = [(node.host, cell.ports["control"]) for node in order]
    cell.operate("POST", f"/evacuations/{ZONE}/start", nodes=nodes)
    time.sleep(1.0)
    if trouble():
        frozen.freeze()
    frozen_at = time.monotonic()
    cell.operate("POST", f"/evacuations/{ZONE}/finish", nodes=nodes)
    time.sleep(1.0)
    cell.operate("POST", f"/evacuations/{ZONE}/start", nodes=nodes[1:])
    acknowledged = cell.record.now()
    time.sleep(max(0.0, frozen_at + FROZEN_S - time.monotonic()))
    if trouble():
        frozen.thaw()
    # Calm machines are in touch again this long after the thaw.
    since = max(acknowledged + EVACUATION_S, cell.record.now() + CONTACT_S)
    time.sleep(since - cell.record.now() + OBSERVED_S)
    late = [entry for entry in cell.runs if entry["zone"] == ZONE and entry["at"] > since]
    cell.record.add(f"round {number + 1}: {len(late)} starts in {ZONE} by machines in touch, later "
                    f"than {EVACUATION_S} s after its evacuation was acknowledged")
    return len(late)


run_case(HERE, case, seconds_of=lambda task: 0.3)
