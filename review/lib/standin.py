"""Stand-ins for the platform, its workers, its adviser, its clients and its operator.

The cases in review/ share this module. It starts the project's node program with the command and
the settings template of the deploy file, as separate processes on loopback addresses, and follows
PROTOCOL.md and DEPLOY.md for everything that the node program talks to.
"""

import http.client
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
ZONES = ["zone-a", "zone-b", "zone-c"]
REGION = "region"
HOST_NAME = "review.example"
PREFIX = "/queue/"
KEY = "key-of-the-tenant"
SERVICE = "service"

# The values of a small deployment, as in DEPLOY.md.
HEARTBEAT_MS = 1500
CONTACT_S = 3.0
MAX_HOLD_MS = 6000
GANG_TIMEOUT_MS = 3000
STOP_TIMEOUT_MS = 900
STOP_S = 0.1
DRAIN_MS = 2000
EVACUATION_S = 5.0
CANCEL_S = 3.0
FINISH_S = 14.0
KEEPER_FDS, ENTRY_FDS = 4096, 4100
TICKET_VALIDITY_MS = 2000
RESTART_DELAY_S = 0.5
# Traffic starts this long after the machines do.
LEAD_S = 10.0


class Broken(Exception):
    """The rule was broken."""


class CannotRun(Exception):
    """The case could not be carried out."""


class Record:
    """What was sent, answered and run, with the seconds since the start of the case."""

    def __init__(self):
        self.lock = threading.Lock()
        self.began = time.monotonic()
        self.lines = []

    def now(self):
        return time.monotonic() - self.began

    def add(self, text):
        with self.lock:
            self.lines.append(f"{self.now():8.3f} {text}")

    def save(self, path):
        with self.lock, open(path, "w") as file:
            file.write("\n".join(self.lines) + "\n")


def request(address, method, path, body=None, headers=None, timeout=1.0):
    """Returns status and body; status 0 if there was no response."""
    host, port = address
    connection = http.client.HTTPConnection(host, port, timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        connection.close()


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    # Headers and body leave in one packet.
    wbufsize = -1

    def log_message(self, *arguments):
        pass

    def do_POST(self):
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        result = self.server.owner.serve(self.path, json.loads(body or b"{}"), self.headers,
                                         self.client_address)
        if result is None:
            # No response; the caller times out.
            self.close_connection = True
            return
        status, reply = result
        content = json.dumps(reply).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(content)))
        self.end_headers()
        self.wfile.write(content)
        self.wfile.flush()


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 64

    def __init__(self, address, owner):
        self.owner = owner
        self.connections = set()
        super().__init__(address, Handler)
        threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True).start()

    def handle_error(self, request, client_address):
        pass  # Connections of killed processes break.

    def process_request(self, request, client_address):
        self.connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        self.connections.discard(request)
        super().shutdown_request(request)

    def close(self):
        """Closes everything, as the end of the process would."""
        self.socket.close()
        for connection in list(self.connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        self.shutdown()


class Link:
    """A proxy for the connections to one address, each way of which can be cut."""

    def __init__(self, listen, target):
        self.target = target
        self.cut_to_target = self.cut_from_target = False
        self.closed = False
        self.listener = socket.create_server(listen, backlog=64)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while not self.closed:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            if self.cut_to_target or self.cut_from_target:
                # No connection is made over a link with a cut; the caller hangs.
                threading.Thread(target=self._hang, args=(client,), daemon=True).start()
                continue
            try:
                target = socket.create_connection(self.target, timeout=1.0)
            except OSError:
                client.close()
                continue
            target.settimeout(None)
            for socket_ in (client, target):
                socket_.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._copy, args=(client, target, True), daemon=True).start()
            threading.Thread(target=self._copy, args=(target, client, False), daemon=True).start()

    def _hang(self, client):
        while not self.closed and (self.cut_to_target or self.cut_from_target):
            time.sleep(0.1)
        client.close()

    def _copy(self, source, sink, to_target):
        try:
            while data := source.recv(65536):
                if not (self.cut_to_target if to_target else self.cut_from_target):
                    sink.sendall(data)
        except OSError:
            pass
        for socket_ in (source, sink):
            try:
                socket_.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def close(self):
        self.closed = True
        self.listener.close()


class Adviser:
    """Answers by a fixed policy, one call at a time."""

    def __init__(self, cell, policy, decision_ms=20.0, per_worker_ms=0.5):
        self.cell, self.policy = cell, policy
        self.decision_ms, self.per_worker_ms = decision_ms, per_worker_ms
        self.turn = threading.Lock()
        self.server = Server((cell.host(200), cell.ports["adviser"]), self)

    def address_text(self):
        return f"{self.cell.host(200)}:{self.cell.ports['adviser']}"

    def serve(self, path, body, headers, peer):
        if path != "/advise":
            return 404, {}
        with self.turn:
            time.sleep((self.decision_ms + self.per_worker_ms * len(body["workers"])) / 1000)
        rows = []
        for id in body["workers"]:
            worker = self.cell.workers.get(id)
            if worker is not None and self.policy(body["step"], id):
                rows.append([id, worker.new_ticket(body["step"])])
        self.cell.record.add(f"advice step={body['step']} workers={len(body['workers'])} "
                             f"eligible={[row[0] for row in rows]}")
        return 200, {"eligible": rows, "validity_ms": TICKET_VALIDITY_MS}

    def close(self):
        self.server.close()


class Worker:
    """A worker that starts whatever it is told to start (enforce_capacity is false)."""

    def __init__(self, cell, id, number, cpu, mem_mb=65536, zone=None, labels=None):
        self.cell, self.id = cell, id
        self.host = cell.host(100 + number)
        self.zone = zone or ZONES[number % len(ZONES)]
        self.cpu, self.mem_mb = cpu, mem_mb
        self.labels = labels or ["a", f"r{number % 3}"]
        self.lock = threading.Condition()
        self.alive = False
        self.server = None
        self.draining_since = None
        self.state = "ready"
        self.heartbeats_on = True
        self.nodes = None
        cell.workers[id] = self

    # Life.

    def start(self):
        """Begins a boot that knows nothing of earlier ones."""
        with self.lock:
            self.born = int(time.time() * 1000)
            self.started_at = time.monotonic()
            self.sequence = 0
            self.fence = 0
            self.lease_end = 0
            self.running = {}
            self.ended = []
            self.last_end = 0
            self.highest_run = {}
            self.tickets = {}
            self.state = "ready"
            self.alive = True
        self.server = Server((self.host, self.cell.ports["worker"]), self)
        self.cell.record.add(f"worker {self.id} starts, born={self.born}")
        threading.Thread(target=self._tick, args=(self.born,), daemon=True).start()
        threading.Thread(target=self._heartbeats, args=(self.born,), daemon=True).start()

    def end(self, why):
        """Ends the process of the worker; everything that runs on it ends with it."""
        with self.lock:
            if not self.alive:
                return
            self.alive = False
            for task, run in list(self.running.items()):
                self.cell.run_ended(self, task, run, why)
            self.running = {}
            self.lock.notify_all()
        self.server.close()
        self.cell.record.add(f"worker {self.id} is gone: {why}")

    def clock(self):
        return int((time.monotonic() - self.started_at) * 1000)

    def _heartbeats(self, born):
        number = 0
        while self.alive and self.born == born:
            if self.heartbeats_on:
                self.send_heartbeat(number)
                number += 1
            time.sleep(HEARTBEAT_MS / 1000)

    def heartbeat(self):
        with self.lock:
            self.sequence += 1
            draining = {}
            if self.state == "draining":
                self.draining_since = self.draining_since or time.monotonic()
                left = DRAIN_MS - (time.monotonic() - self.draining_since) * 1000
                draining["drain_remaining_ms"] = max(0, int(left))
            return {**draining, "service": SERVICE, "address": f"{self.host}:{self.cell.ports['worker']}",
                    "zone": self.zone, "version": "v1", "slots": 8, "state": self.state,
                    "cold_remaining_ms": 0,
                    "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpu": 0},
                    "labels": self.labels, "clock_ms": self.clock(), "seq": self.sequence,
                    "born": self.born}

    def call_control(self, path, body, nodes):
        for node in nodes:
            status, _ = request(node, "POST", path, json.dumps(body),
                                {"Content-Type": "application/json"}, timeout=1.0)
            if 200 <= status < 300:
                return True
        return False

    def send_heartbeat(self, number=0):
        nodes = self.nodes or self.cell.control_addresses(self.number_for_choice() + number)
        return self.call_control(f"/instances/{self.id}/heartbeat", self.heartbeat(), nodes)

    def number_for_choice(self):
        return int(re.sub(r"\D", "", self.id) or 0)

    def new_ticket(self, step):
        with self.lock:
            ticket = f"{self.id}-{step}-{len(self.tickets)}"
            self.tickets[ticket] = (step, time.monotonic() + TICKET_VALIDITY_MS / 1000)
            return ticket

    # Runs.

    def _finish(self, task, how):
        run = self.running.pop(task)
        self.highest_run[task] = max(self.highest_run.get(task, 0), run["run"])
        self.last_end += 1
        self.ended.append([self.last_end, task, run["run"], how, ""])
        self.cell.run_ended(self, task, run, how)
        self.lock.notify_all()

    def _tick(self, born):
        while self.alive and self.born == born:
            time.sleep(0.01)
            with self.lock:
                if not self.alive or self.born != born:
                    return
                now = time.monotonic()
                for task, run in list(self.running.items()):
                    if self.clock() > self.lease_end:
                        self._finish(task, "lapsed")
                    elif run["stop_at"] is not None and now >= run["stop_at"]:
                        self._finish(task, "stopped")
                    elif run["until"] is not None and now >= run["until"]:
                        self._finish(task, "done")

    def _extend(self, deadline):
        if deadline is not None:
            self.lease_end = max(self.lease_end, min(deadline, self.clock() + MAX_HOLD_MS))

    def serve(self, path, body, headers, peer):
        if headers.get("X-Gooseberrylead-Target-Instance", self.id) != self.id:
            return 421, {"clock_ms": self.clock()}
        if not self.alive:
            return None
        reply = self.serve_order(path, body)
        if path != "/hold" and reply is not None:
            self.cell.record.add(f"order {path} {body.get('task')} run={body.get('run')} "
                                 f"fence={body.get('fencing_token')} at {self.id}: "
                                 f"{reply[0]} {reply[1].get('reason', '')}")
        return reply

    def serve_order(self, path, body):
        with self.lock:
            fence = body.get("fencing_token", 0)
            if fence < self.fence:
                return 409, {"clock_ms": self.clock(), "reason": "fence"}
            self.fence = fence
            if path == "/run-start":
                return self._start(body)
            if path == "/run-stop":
                return self._stop(body)
            if path == "/hold":
                return self._hold(body)
            return 404, {}

    def _start(self, body):
        task, number = body["task"], body["run"]
        reply = {"clock_ms": self.clock()}
        current = self.running.get(task)
        if current is not None and current["run"] == number:
            return 200, reply
        if body["deadline_ms"] <= self.clock():
            return 409, {**reply, "reason": "late"}
        self._extend(body["deadline_ms"])
        if number <= self.highest_run.get(task, 0) or current is not None:
            return 409, {**reply, "reason": "old"}
        if self.cell.adviser is not None:
            step, valid_until = self.tickets.get(body.get("ticket", ""), ("", 0.0))
            if task.rsplit(".", 1)[0] != step or time.monotonic() > valid_until:
                return 409, {**reply, "reason": "ticket"}
        seconds = self.cell.seconds_of(task)
        self.running[task] = {"run": number, "stop_at": None, "began": time.monotonic(),
                              "until": None if seconds is None else time.monotonic() + seconds}
        self.cell.run_started(self, task, number, body.get("spec"))
        return 200, reply

    def _stop(self, body):
        task, number = body["task"], body["run"]
        current = self.running.get(task)
        if current is not None and current["run"] <= number:
            if current["stop_at"] is None:
                current["stop_at"] = time.monotonic() + STOP_S
        else:
            self.highest_run[task] = max(self.highest_run.get(task, 0), number)
        return 200, {"clock_ms": self.clock()}

    def _hold(self, body):
        self._extend(body.get("deadline_ms"))
        self.ended = [row for row in self.ended if row[0] > body.get("ack_through", 0)]
        born = self.born
        if not self.ended and body.get("wait_ms", 0) > 0:
            self.lock.wait_for(lambda: self.ended or not self.alive or self.born != born,
                               body["wait_ms"] / 1000)
        if not self.alive or self.born != born:
            return None
        running = [[task, run["run"], "", 100, 0] for task, run in self.running.items()]
        return 200, {"clock_ms": self.clock(), "born": self.born, "running": running,
                     "ended": self.ended[:500]}


class Node:
    """One process of the system, started as the deploy file says."""

    def __init__(self, cell, role, name, number, zone):
        self.cell, self.role, self.name, self.zone = cell, role, name, zone
        self.host = cell.host(number)
        self.process = None
        self.ends_by_itself = 0
        self.log_path = os.path.join(cell.folder, name + ".log")
        self.log = open(self.log_path, "ab")

    def values(self, bootstrap):
        cell = self.cell
        keeper = self.role["on"] == "core"
        return {
            "node_name": self.name, "zone": self.zone, "ip": self.host,
            "port_range.0": cell.ports["peer"], "bootstrap": bootstrap,
            "seeds": [f"{node.host}:{cell.ports['control']}" for node in cell.keepers[:3]],
            "data_dir": os.path.join(cell.folder, self.name + ".data") if keeper else "",
            "listen.front": "" if keeper else f"{self.host}:{cell.ports['front']}",
            "listen.ready": "" if keeper else f"{self.host}:{cell.ports['ready']}",
            "listen.control": f"{self.host}:{cell.ports['control']}" if keeper else "",
            "recommendation": cell.adviser_address(), "heartbeat_ms": HEARTBEAT_MS,
            "bounds.max_hold_ms": MAX_HOLD_MS, "bounds.gang_timeout_ms": GANG_TIMEOUT_MS,
            "bounds.stop_timeout_ms": STOP_TIMEOUT_MS,
            "limits.max_fds": KEEPER_FDS if keeper else ENTRY_FDS,
        }

    def start(self, bootstrap=False):
        values = self.values(bootstrap)

        def fill(match):
            name, _, form = match.group(1).partition("|")
            value = values[name]
            return json.dumps(value) if form == "json" or isinstance(value, bool) else str(value)

        with open(os.path.join(ROOT, self.role["template"])) as file:
            settings = re.sub(r"\{\{([^}]+)\}\}", fill, file.read())
        path = os.path.join(self.cell.folder, self.name + ".yaml")
        with open(path, "w") as file:
            file.write(settings)
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["GOOSEBERRYLEAD_BOOT"] = path
        self.process = subprocess.Popen(self.role["run"].split(), cwd=ROOT, env=environment,
                                        stdout=self.log, stderr=self.log,
                                        stdin=subprocess.DEVNULL)

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def freeze(self):
        self.cell.record.add(f"freeze {self.name}")
        self.signal(signal.SIGSTOP)

    def thaw(self):
        self.cell.record.add(f"thaw {self.name}")
        self.signal(signal.SIGCONT)

    def kill(self):
        self.cell.record.add(f"kill {self.name}")
        self.signal(signal.SIGKILL)
        self.process.wait()

    def memory_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                found = re.search(r"VmRSS:\s+(\d+) kB", file.read())
            return int(found.group(1)) / 1000 if found else 0.0
        except OSError:
            return 0.0

    def led_since(self):
        """Returns the latest term that the process says it leads, or 0."""
        term = 0
        with open(self.log_path, errors="replace") as file:
            for line in file:
                began = re.search(r"event=term-began term=(\d+)", line)
                if began:
                    term = int(began.group(1))
        return term


class Cell:
    """The system with its stand-ins."""

    def __init__(self, policy=None, seconds_of=None, entries=3, keepers=5):
        self.record = Record()
        self.folder = tempfile.mkdtemp(prefix="gooseberrylead-review-")
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            roles = tomllib.load(file)["roles"]
        program = roles["keeper"]["run"].split()[0]
        if not os.path.exists(os.path.join(ROOT, program)):
            raise CannotRun(f"{program} is not built")
        self.network = None
        self.workers = {}
        self.runs = []
        self.active = {}
        self.runs_lock = threading.RLock()
        self.seconds_of = seconds_of or (lambda task: 1.0)
        self.on_start = []
        self._choose_addresses()
        self.adviser = None
        self.adviser_policy = policy
        self.keepers = [Node(self, roles["keeper"], f"keeper-{n}", n + 1, ZONES[n % 3])
                        for n in range(keepers)]
        self.entries = [Node(self, roles["entry"], f"entry-{n}", n + 20, ZONES[n % 3])
                        for n in range(entries)]
        if policy is not None:
            self.adviser = Adviser(self, policy)
        self.version = 0

    def _choose_addresses(self):
        names = ["peer", "front", "ready", "control", "worker", "adviser"]
        for attempt in range(200):
            number = os.getpid() + attempt
            self.network = f"127.{60 + number % 60}.{number // 60 % 250}"
            base = 20000 + number % 1000 * 10
            ports = {name: base + offset for offset, name in enumerate(names)}
            if self._free(ports):
                self.ports = ports
                return
        raise CannotRun("no free loopback addresses")

    def _free(self, ports):
        wanted = [(self.host(1), ports["peer"]), (self.host(1), ports["control"]),
                  (self.host(20), ports["front"]), (self.host(20), ports["ready"]),
                  (self.host(100), ports["worker"]), (self.host(200), ports["adviser"]),
                  (self.host(1), 9464)]
        for address in wanted:
            with socket.socket() as probe:
                try:
                    probe.bind(address)
                except OSError:
                    return False
        return True

    def host(self, number):
        return f"{self.network}.{number}"

    def adviser_address(self):
        return f"{self.host(200)}:{self.ports['adviser']}" if self.adviser_policy else ""

    def control_addresses(self, first=0):
        nodes = self.keepers[first % len(self.keepers):] + self.keepers[:first % len(self.keepers)]
        return [(node.host, self.ports["control"]) for node in nodes]

    # What runs.

    def run_started(self, worker, task, run, spec):
        with self.runs_lock:
            self.record.add(f"start {task} run={run} on {worker.id} spec={spec!r}")
            entry = {"task": task, "run": run, "worker": worker.id, "zone": worker.zone,
                     "at": self.record.now(), "spec": spec,
                     "others": [other["worker"] for other in self.active.get(task, [])]}
            self.runs.append(entry)
            self.active.setdefault(task, []).append(entry)

    def run_ended(self, worker, task, run, how):
        with self.runs_lock:
            self.record.add(f"end {task} run={run['run']} on {worker.id}: {how}")
            for entry in self.active.get(task, []):
                if entry["run"] == run["run"] and entry["worker"] == worker.id:
                    entry["ended"] = self.record.now()
                    entry["how"] = how
            self.active[task] = [entry for entry in self.active.get(task, [])
                                 if "ended" not in entry]

    def runs_of(self, task):
        with self.runs_lock:
            return [dict(entry) for entry in self.runs if entry["task"] == task]

    def overlap_of(self, run):
        """Returns how long earlier runs of the task went on after this run had begun."""
        with self.runs_lock:
            return max((min(other.get("ended", self.record.now()),
                            run.get("ended", self.record.now())) - run["at"]
                        for other in self.runs
                        if other["task"] == run["task"] and other["at"] < run["at"]), default=0.0)

    def is_running(self, task):
        with self.runs_lock:
            return bool(self.active.get(task))

    # The system.

    def start(self):
        """Starts all machines and sends the first manifest, as long before traffic as is usual."""
        self.started_at = time.monotonic()
        for node in self.keepers + self.entries:
            node.start(bootstrap=True)
        self.put_manifest(self.manifest())

    def await_traffic(self):
        """Waits until traffic may start, with all keepers voting."""
        self.await_voters()
        time.sleep(max(0.0, self.started_at + LEAD_S - time.monotonic()))

    def leader(self):
        terms = [(node.led_since(), node) for node in self.keepers
                 if node.process is not None and node.process.poll() is None]
        term, node = max(terms, key=lambda pair: pair[0])
        if term == 0:
            raise CannotRun("no keeper leads")
        return node

    def followers(self):
        leader = self.leader()
        return [node for node in self.keepers if node is not leader]

    def await_voters(self, count=5, seconds=20.0):
        """Waits until the leader has as many voters, as the platform's lead time allows for."""
        pattern = re.compile(r"^gooseberrylead_\w*voters\S* (\d+)", re.M)

        def reached():
            status, body = request((self.leader().host, 9464), "GET", "/metrics")
            found = pattern.search(body.decode(errors="replace"))
            return status == 200 and found is not None and int(float(found.group(1))) >= count

        wait_until(reached, seconds, f"{count} voters")

    # The operator.

    def manifest(self, name="r-queue"):
        self.version += 1
        route = {"name": name, "host": HOST_NAME, "path_prefix": PREFIX, "kind": "unsafe",
                 "timeout_ms": 3000, "completion_target_ms": 1000, "priority": 1,
                 "service": SERVICE, "attempts": 4, "slack_factor": 2.0, "public": False}
        if self.adviser_policy is not None:
            route["recommendation"] = {"decision_ms": 20.0, "per_worker_ms": 0.5,
                                       "validity_ms": TICKET_VALIDITY_MS}
        return {"version": self.version, "routes": [route],
                "services": [{"name": SERVICE, "health_path": "/health", "max_conns": 64,
                              "protocol": "h1", "tls": False, "cold_start_s": 0.0,
                              "cold_per_s": 0.0, "enforce_capacity": False, "standby": False}],
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                           "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
                "tenants": [{"name": "tenant", "api_keys": [KEY], "priority": 1, "weight": 26,
                             "max_count": {"cpu": 1000000, "mem_mb": 10000000, "gpu": 0}}]}

    def operate(self, method, path, body=None, nodes=None, seconds=30.0):
        """Sends an order until it is acknowledged, to one node after the other."""
        end = time.monotonic() + seconds
        number = 0
        nodes = nodes or self.control_addresses()
        while time.monotonic() < end:
            node = nodes[number % len(nodes)]
            number += 1
            status, reply = request(node, method, path, body,
                                    {"Content-Type": "application/json"}, timeout=1.0)
            self.record.add(f"operator {method} {path} to {node[0]}: {status or 'no response'}")
            if 200 <= status < 300:
                return status, reply
            time.sleep(0.1)
        raise CannotRun(f"{method} {path} was not acknowledged")

    def put_manifest(self, manifest):
        return self.operate("POST", "/config/replace", json.dumps(manifest))

    # Clients.

    def call(self, method, id, body=None, entry=0, timeout=3.0):
        address = (self.entries[entry].host, self.ports["front"])
        status, reply = request(address, method, PREFIX + id, body,
                                {"Host": HOST_NAME, "Authorization": f"Bearer {KEY}",
                                 "Content-Type": "application/json",
                                 "X-Gooseberrylead-Deadline-Ms": "3000"}, timeout=timeout)
        self.record.add(f"client {method} {id} at entry-{entry}: {status or 'no response'} "
                        f"{reply.decode(errors='replace')[:80]}")
        return status, reply

    def submit(self, id, submission, tries=5):
        for attempt in range(tries):
            status, _ = self.call("POST", id, json.dumps(submission),
                                  entry=attempt % len(self.entries))
            if 200 <= status < 300:
                self.record.add(f"accepted {id}: {json.dumps(submission)}")
                return
            time.sleep(0.3)
        raise CannotRun(f"{id} was not accepted")

    def state(self, id, tries=4):
        for attempt in range(tries):
            status, reply = self.call("GET", id, entry=attempt % len(self.entries))
            if status == 200:
                return json.loads(reply)["state"]
            if status == 410:
                return "410"
            time.sleep(0.2)
        return "no answer"

    def close(self):
        for worker in self.workers.values():
            if worker.alive:
                worker.end("end of the case")
        for node in self.keepers + self.entries:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
            node.log.close()
        if self.adviser is not None:
            self.adviser.close()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def wait_until(condition, seconds, what):
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            raise CannotRun(f"not within {seconds} s: {what}")
        time.sleep(0.02)


def trouble():
    """Whether the disruption is injected."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder, case, **arguments):
    """Runs the case and exits with 0 (rule held), 1 (rule broken) or 2 (could not run)."""
    cell, result = None, 2
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        cell = Cell(**arguments)
        case(cell)
        result = 0
        cell.record.add("RESULT: the rule held")
    except Broken as broken:
        result = 1
        cell.record.add(f"RESULT: broken: {broken}")
    except CannotRun as reason:
        if cell is not None:
            cell.record.add(f"RESULT: the case could not run: {reason}")
        else:
            print(f"the case could not run: {reason}")
    except Exception as error:  # Python itself would exit with 1, which means a broken rule.
        if cell is not None:
            cell.record.add(f"RESULT: the case could not run: {error!r}")
        else:
            print(f"the case could not run: {error!r}")
    finally:
        if cell is not None:
            cell.close()
            cell.record.save(os.path.join(folder, "record.txt"))
            print(next((line for line in cell.record.lines if "RESULT" in line), "no result"))
    sys.exit(result)
