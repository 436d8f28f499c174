"""A small deployment of the real node program on loopback addresses, with stand-ins around it.

The nodes are started with the commands and the settings template of deploy/system.toml. Workers,
the operator and clients are stand-ins that do what the users' pages say. All addresses are loopback
addresses; every machine has an address of its own and all machines use the same ports.
"""

import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))

# The bounds of the site ferrante-lidi.
BOUNDS = {"contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 6,
          "config_apply_ms": 2000, "evacuation_ms": 5000, "max_skew_ms": 5000, "quota_overshoot": 0.1,
          "max_hold_ms": 6000, "stop_timeout_ms": 900, "gang_timeout_ms": 3000, "cancel_ms": 3000,
          "visible_ms": 3000, "finish_s": 14, "checkpoint_interval_s": 1, "restore_ms": 100}
HEARTBEAT_MS = 1500
ZONES = ["catania-lido", "taormina-baia", "siracusa-riva"]
FRONT_PORT, READY_PORT, CONTROL_PORT, PEER_PORT, WORKER_PORT = 8183, 8184, 8180, 7420, 8080
METRICS_PORT = 9464


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes what was sent, answered and run, one line each, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.lock = threading.Lock()
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} {text}\n")
            self.file.flush()


def call(address, method, path, body=None, headers=None, timeout=1.0):
    """Returns status and decoded body; status 0 if there was no complete answer in time."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        text = body if isinstance(body, (str, bytes)) or body is None else json.dumps(body)
        connection.request(method, path, body=text,
                           headers={"Content-Type": "application/json", **(headers or {})})
        response = connection.getresponse()
        content = response.read()
        return response.status, json.loads(content) if content else None
    except (OSError, ValueError, http.client.HTTPException):
        return 0, None
    finally:
        connection.close()


def render(template, fields):
    """Fills in the placeholders {{a}}, {{a.b}} and {{a|json}} that the template uses."""
    def value(match):
        name, _, form = match.group(1).partition("|")
        found = fields
        for part in name.split("."):
            if isinstance(found, list):
                found = found[int(part)]
            else:
                found = found.get(part) if isinstance(found, dict) else None
        if form == "json":
            return json.dumps(found)
        if found is None:
            return ""
        return str(found).lower() if isinstance(found, bool) else str(found)
    return re.sub(r"\{\{([^{}]+)\}\}", value, template)


class Node:
    """One node process. Signals go to its own process id only."""

    def __init__(self, cell, name, role, zone, ip):
        self.cell, self.name, self.role, self.zone, self.ip = cell, name, role, zone, ip
        self.process = None
        self.log = open(os.path.join(cell.folder, name + ".log"), "ab")
        self.front = f"{ip}:{FRONT_PORT}"
        self.control = f"{ip}:{CONTROL_PORT}"

    def start(self, bootstrap=False):
        deploy = self.cell.deploy["roles"][self.role]
        listen = {"ready": f"{self.ip}:{READY_PORT}"}
        fields = {"node_name": self.name, "role": self.role, "zone": self.zone, "ip": self.ip,
                  "port_range": [PEER_PORT, PEER_PORT + 15], "bootstrap": bootstrap,
                  "seeds": [node.control for node in self.cell.keepers[:3]],
                  "heartbeat_ms": HEARTBEAT_MS, "bounds": BOUNDS, "limits": {"max_fds": 4100}}
        if "front" in deploy["serves"]:
            listen["front"] = self.front
        if "control" in deploy["serves"]:
            listen["control"] = self.control
            fields["data_dir"] = os.path.join(self.cell.folder, self.name + ".data")
            os.makedirs(fields["data_dir"], exist_ok=True)
        fields["listen"] = listen
        with open(os.path.join(ROOT, deploy["template"])) as file:
            text = render(file.read(), fields)
        path = os.path.join(self.cell.folder, self.name + ".settings")
        with open(path, "w") as file:
            file.write(text)
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
                       if key in os.environ}
        environment["GOOSEBERRYLEAD_BOOT"] = path
        self.process = subprocess.Popen(deploy["run"].split(), cwd=ROOT, env=environment,
                                        stdout=self.log, stderr=self.log)

    def signal(self, number):
        self.cell.record.write(f"platform: {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def leads(self):
        """Returns whether the node says in its metrics that it leads."""
        connection = http.client.HTTPConnection(self.ip, METRICS_PORT, timeout=1.0)
        try:
            connection.request("GET", "/metrics")
            text = connection.getresponse().read().decode()
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()
        return any(re.match(r"\S*leads(\{\S*\})? 1", line) for line in text.splitlines())


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    # A response must not wait for the acknowledgement of an earlier segment.
    wbufsize = -1
    disable_nagle_algorithm = True

    def log_message(self, *arguments):
        pass

    def do_POST(self):
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        status, reply = self.server.owner.serve(self.path, json.loads(body or b"{}"), self.headers)
        if status is None:
            self.close_connection = True
            return
        content = json.dumps(reply).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(content)))
        self.end_headers()
        self.wfile.write(content)


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def __init__(self, address, owner):
        self.owner = owner
        self.open = set()
        super().__init__(address, Handler)
        threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True).start()

    def process_request(self, request, client_address):
        self.open.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        self.open.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request, client_address):
        pass  # Killed nodes break their connections.

    def end(self):
        """Stops listening and resets all open connections, as when the process is killed."""
        self.shutdown()
        self.server_close()
        for request in list(self.open):
            try:
                request.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                request.shutdown(socket.SHUT_RDWR)
                request.close()
            except OSError:
                pass


class Worker:
    """A worker that keeps to the pages: fence, lease, stops, ends and the hold's wait.

    It doesn't guard its capacity. A run lasts as long as its step's estimate says.
    """

    def __init__(self, cell, id, zone, ip, cpu=16000):
        self.cell, self.id, self.zone, self.ip, self.cpu = cell, id, zone, ip, cpu
        self.address = f"{ip}:{WORKER_PORT}"
        self.lock = threading.Condition()
        self.stop_seconds = 0.1
        self.first_heartbeat_delay = 0.0
        self.state = "ready"
        self.late_delay = None
        self.late_start = None
        self.on_stop = None
        self.lives = 0
        self.alive = False
        self.closed = False
        self.begin()
        threading.Thread(target=self._tick, daemon=True).start()
        threading.Thread(target=self._send_heartbeats, daemon=True).start()

    def begin(self):
        """Starts the process: it knows nothing of an earlier one under the same id."""
        with self.lock:
            self.lives += 1
            self.born = int(time.time() * 1000)
            self.started_at = time.monotonic()
            self.next_heartbeat = self.started_at + self.first_heartbeat_delay
            self.sequence = 0
            self.fence = 0
            self.lease_end = 0
            self.running = {}
            self.ended = []
            self.ends = 0
            self.highest_run = {}
            self.alive = True
        self.server = Server((self.ip, WORKER_PORT), self)
        self.cell.record.write(f"{self.id}: life {self.lives} begins")

    def crash(self):
        """Ends the process at once; all that runs on it ends."""
        with self.lock:
            self.alive = False
            for task, run in self.running.items():
                self.cell.run_ended(self, task, run["run"], "gone with its worker")
            self.running = {}
            self.lock.notify_all()
        self.server.end()
        self.cell.record.write(f"{self.id}: life {self.lives} crashes")

    def clock(self):
        return int((time.monotonic() - self.started_at) * 1000)

    def _send_heartbeats(self):
        while not self.closed:
            time.sleep(0.02)
            with self.lock:
                if not self.alive or time.monotonic() < self.next_heartbeat:
                    continue
                self.next_heartbeat = time.monotonic() + HEARTBEAT_MS / 1000
                self.sequence += 1
                body = {"service": "prenota-lido", "address": self.address, "zone": self.zone,
                        "version": "v1", "slots": 8, "state": self.state, "cold_remaining_ms": 0,
                        "capacity": {"cpu": self.cpu, "mem_mb": 65536, "gpu": 0},
                        "labels": ["a", "r-" + self.zone], "clock_ms": self.clock(),
                        "seq": self.sequence, "born": self.born}
            for node in random.sample(self.cell.keepers, len(self.cell.keepers)):
                status, _ = call(node.control, "POST", f"/instances/{self.id}/heartbeat", body)
                if status == 200:
                    break

    def _tick(self):
        while not self.closed:
            time.sleep(0.01)
            with self.lock:
                now = time.monotonic()
                if self.running and self.clock() > self.lease_end:
                    for task in list(self.running):
                        self._end(task, "lapsed")
                for task, run in list(self.running.items()):
                    if run["stop_at"] is not None and now >= run["stop_at"]:
                        self._end(task, "stopped")
                    elif run["stop_at"] is None and now >= run["until"]:
                        self._end(task, "done")

    def _end(self, task, how):
        run = self.running.pop(task)
        self.highest_run[task] = max(self.highest_run.get(task, 0), run["run"])
        self.ends += 1
        self.ended.append([self.ends, task, run["run"], how, ""])
        self.cell.run_ended(self, task, run["run"], how)
        self.lock.notify_all()

    def _extend(self, deadline):
        if deadline is not None:
            most = self.clock() + BOUNDS["max_hold_ms"]
            self.lease_end = max(self.lease_end, min(deadline, most))

    def serve(self, path, body, headers):
        """The path to the worker's process, which may hold one start order back."""
        expected = headers.get("X-Gooseberrylead-Target-Instance")
        if expected is not None and expected != self.id:
            return 421, {"clock_ms": self.clock()}
        if path == "/run-start" and self.late_delay is not None:
            delay, self.late_delay = self.late_delay, None
            return self._start_late(body, delay)
        return self.carry_out(path, body)

    def hold_next_start_back(self, delay):
        self.late_delay = delay

    def _start_late(self, body, delay):
        """The path holds the order back, which reaches whatever process is there later."""
        self.late_start = body["task"]
        self.cell.record.write(f"{self.id}: start of {body['task']} run {body['run']} with fence "
                               f"{body['fencing_token']} is held back on its way")

        def later():
            status, reply = self.carry_out("/run-start", body, " (late)")
            self.cell.record.write(f"{self.id}: start of {body['task']} run {body['run']} reaches "
                                   f"the worker late, in life {self.lives}: {status} {reply}")
        timer = threading.Timer(delay, later)
        timer.daemon = True
        timer.start()
        time.sleep(2.0)
        return None, None

    def carry_out(self, path, body, mark=""):
        """The worker's process."""
        with self.lock:
            if not self.alive:
                return None, None
            fence = body.get("fencing_token", 0)
            if fence < self.fence:
                return 409, {"clock_ms": self.clock(), "reason": "fence"}
            self.fence = fence
            if path == "/run-start":
                return self._start(body, mark)
            if path == "/run-stop":
                return self._stop(body)
            if path == "/hold":
                return self._hold(body)
        return 404, {}

    def _start(self, body, mark):
        task, number = body["task"], body["run"]
        current = self.running.get(task)
        if current is not None and current["run"] == number:
            return 200, {"clock_ms": self.clock()}
        if body["deadline_ms"] <= self.clock():
            return 409, {"clock_ms": self.clock(), "reason": "late"}
        self._extend(body["deadline_ms"])
        if number <= self.highest_run.get(task, 0) or current is not None:
            return 409, {"clock_ms": self.clock(), "reason": "old"}
        step = self.cell.step_of(task)
        self.running[task] = {"run": number, "stop_at": None,
                              "until": time.monotonic() + step["estimate_ms"] / 1000}
        self.cell.run_started(self, task, number, mark)
        return 200, {"clock_ms": self.clock()}

    def _stop(self, body):
        task, number = body["task"], body["run"]
        self.cell.record.write(f"{self.id}: told to stop {task} run {number}")
        current = self.running.get(task)
        if current is not None and current["run"] <= number:
            if current["stop_at"] is None:
                current["stop_at"] = time.monotonic() + self.stop_seconds
        else:
            self.highest_run[task] = max(self.highest_run.get(task, 0), number)
        if self.on_stop is not None:
            self.on_stop()
        return 200, {"clock_ms": self.clock()}

    def _hold(self, body):
        self._extend(body.get("deadline_ms"))
        through = body.get("ack_through", 0)
        self.ended = [row for row in self.ended if row[0] > through]
        life = self.lives
        if not self.ended and body.get("wait_ms", 0) > 0:
            self.lock.wait_for(lambda: self.ended or self.lives != life or not self.alive,
                               min(body["wait_ms"], 2000) / 1000)
        if not self.alive or self.lives != life:
            return None, None
        running = [[task, run["run"], "", 50, 0] for task, run in self.running.items()]
        return 200, {"clock_ms": self.clock(), "born": self.born, "running": running,
                     "ended": self.ended[:500]}

    def close(self):
        self.closed = True
        if self.alive:
            self.alive = False
            self.server.end()


class Cell:
    """Five keepers and three entry nodes in three zones, with workers of one service."""

    def __init__(self, record_path, workers_per_zone=2):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.deploy = tomllib.load(file)
        for role in self.deploy["roles"].values():
            if not os.access(os.path.join(ROOT, role["run"].split()[0]), os.X_OK):
                raise CannotRun("the program of the deploy file is not built")
        self.record = Record(record_path)
        self.folder = tempfile.mkdtemp(prefix="gooseberrylead-review-")
        self.net = self._free_net()
        self.runs_lock = threading.Lock()
        self.runs = []
        self.submissions = {}
        self.workers = []
        self.version = 0
        keeper_zones = [ZONES[0], ZONES[1], ZONES[2], ZONES[0], ZONES[1]]
        self.keepers = [Node(self, f"keeper-{n + 1}", "keeper", zone, f"{self.net}.{n + 10}")
                        for n, zone in enumerate(keeper_zones)]
        self.entries = [Node(self, f"entry-{n + 1}", "entry", zone, f"{self.net}.{n + 30}")
                        for n, zone in enumerate(ZONES)]
        self.workers_per_zone = workers_per_zone

    @staticmethod
    def _free_net():
        for _ in range(50):
            net = f"127.{random.randrange(60, 250)}.{random.randrange(1, 250)}"
            try:
                for host, port in [(f"{net}.{n}", port) for n in (10, 14, 30, 50)
                                   for port in (FRONT_PORT, READY_PORT, CONTROL_PORT, PEER_PORT,
                                                WORKER_PORT, METRICS_PORT)]:
                    with socket.socket() as probe:
                        probe.bind((host, port))
                return net
            except OSError:
                continue
        raise CannotRun("no loopback network with free ports was found")

    def start(self, tenants):
        """Starts all nodes and workers and waits until the first manifest is acknowledged."""
        for node in self.keepers + self.entries:
            node.start(bootstrap=True)
        self.tenants = tenants
        if self.put_manifest(deadline=20.0) is None:
            raise CannotRun("the first manifest was not acknowledged")
        for zone in ZONES:
            for _ in range(self.workers_per_zone):
                n = len(self.workers)
                self.workers.append(Worker(self, f"i-{n + 1:02d}", zone, f"{self.net}.{n + 50}"))
        # As on the installations, traffic starts 10 s after the machines do.
        time.sleep(6.0)

    # The operator.

    def manifest(self, version):
        limits = {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                  "idle_timeout_ms": 15000}
        route = {"name": "r-verifica", "host": "lidi.example", "path_prefix": "/verifica/",
                 "kind": "unsafe", "timeout_ms": 3000, "completion_target_ms": 250, "priority": 0,
                 "service": "prenota-lido", "attempts": 4, "slack_factor": 1.5, "public": False}
        service = {"name": "prenota-lido", "health_path": "/health", "max_conns": 64,
                   "protocol": "h1", "tls": False, "cold_start_s": 0.0, "cold_per_s": 0.0,
                   "enforce_capacity": False, "standby": False}
        return {"version": version, "routes": [route], "services": [service], "limits": limits,
                "tenants": self.tenants}

    def put_manifest(self, deadline=4.0):
        self.version += 7
        return self.order("/config/replace", self.manifest(self.version), deadline=deadline)

    def order(self, path, body=None, first=None, deadline=None):
        """Sends an order as the operator does, and returns when it was acknowledged.

        The operator moves on to another node after a failure, a 5xx or a second without an answer,
        and sends the same order for at most ack_ms.
        """
        end = time.monotonic() + (BOUNDS["ack_ms"] / 1000 if deadline is None else deadline)
        nodes = random.sample(self.keepers, len(self.keepers))
        if first is not None:
            nodes = [first] + [node for node in nodes if node is not first]
        pause = 0.05
        while time.monotonic() < end:
            for node in nodes:
                if time.monotonic() >= end:
                    break
                self.record.write(f"operator: POST {path} to {node.name}")
                status, _ = call(node.control, "POST", path, body, timeout=1.0)
                self.record.write(f"operator: {status or 'no answer'} to POST {path} from "
                                  f"{node.name}")
                if status == 200:
                    return self.record.now()
                if 400 <= status < 500 and status not in (408, 429):
                    return None
                time.sleep(pause)
                pause = min(pause * 2, 0.4)
        return None

    # Clients.

    def ask(self, method, id, body=None, key="key-1", entry=None, timeout=3.0):
        entry = entry or random.choice(self.entries)
        headers = {"Host": "lidi.example", "Authorization": "Bearer " + key,
                   "X-Gooseberrylead-Deadline-Ms": str(int(timeout * 1000))}
        status, reply = call(entry.front, method, "/verifica/" + id, body, headers, timeout)
        self.record.write(f"client: {method} {id} through {entry.name}: "
                          f"{status or 'no answer'} {json.dumps(reply) if reply else ''}")
        return status, reply

    def submit(self, steps, key="key-1", tenant="tenant-1"):
        """Hands a submission in, with up to four retries. Returns its id and the last status."""
        id = f"{random.getrandbits(64):016x}"
        self.submissions[id] = {"steps": steps, "tenant": tenant}
        status = 0
        for _ in range(5):
            status, _ = self.ask("POST", id, {"spec": "spec of " + id, "steps": steps}, key)
            if status in (200, 400, 401, 404):
                break
            time.sleep(0.3)
        return id, status

    def step_of(self, task):
        id, _, step, _ = task.split(".")
        return self.submissions[id]["steps"][int(step)]

    # What workers see.

    def run_started(self, worker, task, number, mark=""):
        with self.runs_lock:
            self.runs.append({"task": task, "run": number, "worker": worker, "life": worker.lives,
                              "began": self.record.now(), "ended": None, "how": None})
        self.record.write(f"{worker.id} ({worker.zone}): starts {task} run {number}{mark}")

    def run_ended(self, worker, task, number, how):
        with self.runs_lock:
            for run in self.runs:
                if (run["task"], run["run"], run["worker"], run["ended"]) == (task, number, worker,
                                                                             None):
                    run["ended"], run["how"] = self.record.now(), how
        self.record.write(f"{worker.id} ({worker.zone}): {task} run {number} ends {how}")

    def leader(self, seconds=5.0):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for node in self.keepers:
                if node.process.poll() is None and node.leads():
                    return node
            time.sleep(0.1)
        raise CannotRun("no node leads")

    def close(self):
        for worker in self.workers:
            worker.close()
        for node in self.keepers + self.entries:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.send_signal(signal.SIGKILL)
                node.process.wait()
            node.log.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs are in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder, play, workers_per_zone=2):
    """Runs play(cell, trouble), which returns the breaks of the rule, and returns the exit code."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    cell = None
    try:
        cell = Cell(os.path.join(folder, "record.txt"), workers_per_zone)
        breaks = play(cell, trouble)
        for text in breaks:
            cell.record.write("BREAK " + text)
            print("BREAK", text)
        cell.record.write(f"result: {'broken' if breaks else 'held'}")
        print("the rule was broken" if breaks else "the rule held")
        return 1 if breaks else 0
    except Exception as error:  # Any failure of the set-up means that the case couldn't run.
        print("the case could not run:", error)
        if cell is not None:
            cell.record.write(f"could not run: {error}")
        return 2
    finally:
        if cell is not None:
            cell.close()
