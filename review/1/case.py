"""A worker that leaves and gets no confirmation runs on for seconds while its task runs again."""

import http.client
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from standin import (Broken, CannotRun, DRAIN_MS, Link, Worker, run_case, trouble,  # noqa: E402
                     wait_until)

ID = "fffffffffffffff6"
TASK = f"{ID}.0.0.0"
# One worker of these stays within the shares of workers that leave and that are cut at once.
WORKERS = 16
# "some seconds later"
PATIENCE_S = 2.5
# The uncertainty of the times that this process takes.
MEASURING_S = 0.1


class LinkedWorker(Worker):
    """A worker whose packets to and from the core pass a link."""

    def __init__(self, cell, id, number, cpu):
        super().__init__(cell, id, number, cpu)
        port = cell.ports["worker"]
        self.links_to_core = [Link((cell.host(180 + n), cell.ports["control"]),
                                   (node.host, cell.ports["control"]))
                              for n, node in enumerate(cell.keepers)]
        self.link_from_core = Link((cell.host(190), port), (self.host, port))
        self.announced = f"{cell.host(190)}:{port}"
        self.connection = http.client.HTTPConnection(cell.host(180), cell.ports["control"],
                                                     timeout=1.0)

    def heartbeat(self):
        return {**super().heartbeat(), "address": self.announced}

    def call_control(self, path, body, nodes):
        """Uses the open connection to the first keeper."""
        try:
            self.connection.request("POST", path, json.dumps(body),
                                    {"Content-Type": "application/json"})
            response = self.connection.getresponse()
            response.read()
            return 200 <= response.status < 300
        except (OSError, http.client.HTTPException):
            return False

    def cut_from_core(self):
        """What the core sends gets lost; what the worker sends arrives."""
        for link in self.links_to_core:
            link.cut_from_target = True
        self.link_from_core.cut_to_target = True

    def leave(self):
        self.heartbeats_on = False
        body = {"service": "service", "seq": self.sequence + 1, "born": self.born}
        confirmed = self.call_control(f"/instances/{self.id}/deregister", body, None)
        if confirmed:
            self.end("left, confirmed")
        else:
            self.cell.record.add(f"{self.id} got no confirmation that it leaves")
            time.sleep(PATIENCE_S - 1.0)
            self.end("left without a confirmation")


def case(cell):
    cell.start()
    leaving = LinkedWorker(cell, "worker-0", 0, cpu=8000)
    leaving.start()
    cell.await_traffic()
    cell.submit(ID, {"spec": "s", "steps": [{"count": 1, "cpu": 2000, "mem_mb": 1000,
                                             "estimate_ms": 9000}]})
    wait_until(lambda: cell.is_running(TASK), 10, "the task runs")
    for n in range(1, WORKERS):
        Worker(cell, f"worker-{n}", n, cpu=8000).start()
    time.sleep(1.0)
    leaving.state = "draining"
    end = time.monotonic() + 10
    while not leaving.send_heartbeat():
        if time.monotonic() > end:
            raise CannotRun("draining was not confirmed")
        time.sleep(0.1)
    cell.record.add("worker-0 drains, confirmed")
    time.sleep(DRAIN_MS / 1000 + 0.4)
    if trouble():
        leaving.cut_from_core()
        cell.record.add("the link from the core to worker-0 is cut, the other way is not")
    time.sleep(0.1)
    leaving.leave()
    time.sleep(8.0)
    runs = cell.runs_of(TASK)
    if len(runs) < 2:
        raise CannotRun("the task did not run again")
    overlap = runs[0]["ended"] - runs[1]["at"]
    cell.record.add(f"both runs were at work for {max(overlap, 0.0):.3f} s")
    if overlap > MEASURING_S:
        raise Broken(f"TWICE: run 2 of {TASK} began on {runs[1]['worker']} {overlap:.2f} s before "
                     f"run 1 ended on {runs[0]['worker']}, which was up")


run_case(HERE, case, seconds_of=lambda task: 9.0)
