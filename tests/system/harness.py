"""Runs a cell of real processes on loopback addresses for the system tests.

Every control instance has its own IP address and connects to its peers through a proxy, so that a
test can drop traffic in one direction without closing the connection.
"""

import base64
import hashlib
import http.client
import json
import os
import random
import select
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time

BINARIES = os.environ.get("GL_BINARIES", "build-release/apps")
HTTP_PORT = 7000
PEER_PORT = 7001
WORKER_PORT = 7100
DOMAINS = ["catania-lido", "taormina-baia", "siracusa-riva"]
OPERATOR_TOKEN = "operator-token"

DECLARATIONS = """
domains:
  - {name: catania-lido, region: sicilia-est}
  - {name: taormina-baia, region: sicilia-est}
  - {name: siracusa-riva, region: sicilia-est}
customers:
  - name: alpha
    teams:
      - name: core
        share: 1
        limit: {cores: 24, memory: 64GiB, slots: 24}
        keys: [core-key]
    queues:
      - {name: main, team: core, classes: [service, batch, gang, urgent]}
"""


def wait_until(condition, seconds, what):
    """Polls until the condition returns a true value, and returns that value."""
    end = time.monotonic() + seconds
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > end:
            raise AssertionError(f"not within {seconds} s: {what}")
        time.sleep(0.02)


class Proxy:
    """Forwards TCP connections to one target.

    Can drop the data of either direction, delay it, and close the connections. With
    silent_after_loss, a connection that has lost data carries none in that direction any more, as
    if its peer were gone. Otherwise its byte stream goes on with a gap.
    """

    def __init__(self, listen_host, target, port=PEER_PORT, silent_after_loss=False):
        self.silent_after_loss = silent_after_loss
        self.target = target
        self.drop_to_target = False
        self.drop_from_target = False
        self.delay_seconds = 0.0
        # Connections of an earlier generation are closed.
        self.generation = 0
        self.closed = False
        # Bytes received from each side, for cost.py.
        self.bytes_to_target = 0
        self.bytes_from_target = 0
        self.listener = socket.create_server((listen_host, port), backlog=64)
        self.listener.settimeout(0.2)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while not self.closed:
            try:
                client, _ = self.listener.accept()
            except (socket.timeout, OSError):
                continue
            threading.Thread(target=self._serve, args=(client,), daemon=True).start()

    def _serve(self, client):
        try:
            backend = socket.create_connection(self.target, timeout=1)
        except OSError:
            client.close()
            return
        generation = self.generation
        # The sources of which data was dropped, with silent_after_loss.
        incomplete = set()
        while not self.closed and generation == self.generation:
            readable, _, _ = select.select([client, backend], [], [], 0.2)
            if readable and self.delay_seconds > 0:
                time.sleep(self.delay_seconds)
            try:
                for source in readable:
                    data = source.recv(65536)
                    if not data:
                        raise OSError("closed")
                    to_target = source is client
                    if to_target:
                        self.bytes_to_target += len(data)
                    else:
                        self.bytes_from_target += len(data)
                    drop = self.drop_to_target if to_target else self.drop_from_target
                    if drop and self.silent_after_loss:
                        incomplete.add(source)
                    if not drop and source not in incomplete:
                        (backend if to_target else client).sendall(data)
            except OSError:
                break
        client.close()
        backend.close()

    def reset_connections(self):
        self.generation += 1

    def stop_dropping(self):
        """Resumes without closing connections."""
        self.drop_to_target = False
        self.drop_from_target = False

    def heal(self):
        self.drop_to_target = False
        self.drop_from_target = False
        self.delay_seconds = 0.0
        # Connections that lost data must not be used again, as their byte streams are incomplete.
        self.reset_connections()

    def close(self):
        self.closed = True
        self.listener.close()


class Reply:
    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)

    def outcome(self):
        """Returns what the caller may assume about the request: "done", "not-run" or "unknown"."""
        if 200 <= self.status < 300:
            return "done"
        try:
            return self.json().get("outcome", "unknown")
        except ValueError:
            return "unknown"


def request(host, method, path, body=None, headers=None, timeout=10, port=HTTP_PORT):
    """Sends one request and returns the reply.

    If the connection fails, the reply has status 0 and the outcome "not-run", or "unknown" if the
    request may have been sent.
    """
    connection = http.client.HTTPConnection(host, port, timeout=timeout)
    try:
        connection.connect()
    except OSError:
        return Reply(0, {}, b'{"outcome":"not-run","code":"connection-refused"}')
    connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        payload = response.read()
        return Reply(response.status, dict(response.getheaders()), payload)
    except (OSError, http.client.HTTPException):
        return Reply(0, {}, b'{"outcome":"unknown","code":"connection-lost"}')
    finally:
        connection.close()


class Cell:
    """Three voters, optional entry instances without a disk, and stub workers."""

    cells = 0

    def __init__(self, voters=3, entries=0, seed=1):
        self.random = random.Random(seed)
        # Cells of one run, and of concurrent runs, must not share addresses.
        Cell.cells += 1
        net = f"127.{16 + os.getpid() % 200}.{Cell.cells % 250}"
        self.folder = tempfile.mkdtemp(prefix="gooseberry-")
        self.ids = [f"control-{i + 1}" for i in range(voters + entries)]
        self.voters = self.ids[:voters]
        self.host = {id: f"{net}.{i + 10}" for i, id in enumerate(self.ids)}
        self.proxies = {}
        for i, source in enumerate(self.ids):
            for j, target in enumerate(self.ids):
                if source != target:
                    address = f"{net}.{100 + i * 10 + j}"
                    self.proxies[source, target] = Proxy(address, (self.host[target], PEER_PORT))
                    self.proxies[source, target].address = address
        self.worker_host = f"{net}.9"
        self.processes = {}
        self.workers = {}
        self.key = None
        self.net = net

    # Processes

    def data_folder(self, id):
        return os.path.join(self.folder, id, "data")

    def write_settings(self, id, bootstrap):
        lines = [
            f"id: {id}",
            f"domain: {DOMAINS[self.ids.index(id) % 3]}",
            "cell: test",
            f"listen: {self.host[id]}:{HTTP_PORT}",
            f"peerListen: {self.host[id]}:{PEER_PORT}",
            f"operatorToken: {OPERATOR_TOKEN}",
            "drainPatience: 5s",
            "peers:",
        ]
        for peer in self.ids:
            if peer != id:
                voter = "true" if peer in self.voters else "false"
                lines.append(
                    f"  - {{id: {peer}, address: '{self.proxies[id, peer].address}:{PEER_PORT}', "
                    f"domain: {DOMAINS[self.ids.index(peer) % 3]}, voter: {voter}}}"
                )
        if id in self.voters:
            os.makedirs(self.data_folder(id), exist_ok=True)
            lines += [
                "voter: true",
                f"dataFolder: {self.data_folder(id)}",
                f"bootstrap: {'true' if bootstrap else 'false'}",
            ]
        path = os.path.join(self.folder, id, "settings.yaml")
        os.makedirs(os.path.dirname(path), exist_ok=True)
        with open(path, "w") as file:
            file.write("\n".join(lines) + "\n")
        return path

    def start(self, id, bootstrap=False):
        path = self.write_settings(id, bootstrap)
        log = open(os.path.join(self.folder, id, "log"), "ab")
        self.processes[id] = subprocess.Popen(
            [os.path.join(BINARIES, "gooseberryleadd"), path], stdout=log, stderr=log
        )

    def start_all(self, bootstrap=True):
        for id in self.ids:
            self.start(id, bootstrap)

    def kill(self, id):
        self.processes[id].send_signal(signal.SIGKILL)
        self.processes[id].wait()

    def terminate(self, id):
        """Stops an instance gracefully with SIGTERM and returns its exit code."""
        self.processes[id].send_signal(signal.SIGTERM)
        return self.processes[id].wait(timeout=20)

    def pause(self, id):
        self.processes[id].send_signal(signal.SIGSTOP)

    def resume(self, id):
        self.processes[id].send_signal(signal.SIGCONT)

    def add_worker(self, id, domain, cores=8, slots=8, extra=()):
        index = len(self.workers)
        record = os.path.join(self.folder, f"{id}.record")
        log = open(os.path.join(self.folder, f"{id}.log"), "ab")
        command = [
            os.path.join(BINARIES, "stub_worker"), "--id", id, "--domain", domain,
            "--rack", f"rack-{index // 2}", "--listen", f"{self.worker_host}:{WORKER_PORT + index}",
            "--control", ",".join(f"{self.host[i]}:{HTTP_PORT}" for i in self.ids),
            "--cores", str(cores), "--slots", str(slots), "--record", record, *extra,
        ]
        self.workers[id] = subprocess.Popen(command, stdout=log, stderr=log)

    def close(self):
        for process in [*self.processes.values(), *self.workers.values()]:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        for proxy in self.proxies.values():
            proxy.close()
        if os.environ.get("GL_KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)

    # Faults

    def drop_peer_traffic(self, id, incoming=True, outgoing=True):
        """Drops the data that an instance receives or sends on its peer links."""
        for (source, target), proxy in self.proxies.items():
            if target == id:
                proxy.drop_to_target = incoming
                proxy.drop_from_target = outgoing
            elif source == id:
                proxy.drop_to_target = outgoing
                proxy.drop_from_target = incoming

    def heal(self):
        for proxy in self.proxies.values():
            proxy.drop_to_target = proxy.drop_from_target = False

    # Requests

    def operator_request(self, id, method, path, body=None, timeout=10):
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        return request(self.host[id], method, path, body, headers, timeout)

    def submit(self, id, request_id, payload=None, wait=None, timeout=15, **fields):
        spec = {
            "queue": "alpha/main",
            "perTask": {"cpuMillis": 1000, "memoryBytes": 1048576, "slots": 1},
            "payload": json.dumps(payload or {}),
            **fields,
        }
        path = "/v1/jobs" + (f"?wait={wait}" if wait else "")
        headers = {"Authorization": f"Bearer {self.key}", "Idempotency-Key": request_id}
        return request(self.host[id], "POST", path, json.dumps(spec), headers, timeout)

    def job(self, id, job, suffix=""):
        headers = {"Authorization": f"Bearer {self.key}"}
        return request(self.host[id], "GET", f"/v1/jobs/{job}{suffix}", None, headers)

    def leader(self):
        """Returns the id of the leader, or None if there is none."""
        for id in self.ids:
            if self.processes.get(id) is None or self.processes[id].poll() is not None:
                continue
            reply = request(self.host[id], "GET", "/metrics", timeout=1)
            if reply.status == 200 and b"\nleader_info 1" in reply.body:
                return id
        return None

    def wait_leader(self, seconds=5, other_than=None):
        def find():
            id = self.leader()
            return id if id is not None and id != other_than else None

        return wait_until(find, seconds, "a leader")

    def wait_ready(self, ids, seconds=10):
        wait_until(
            lambda: all(request(self.host[id], "GET", "/readyz").status == 200 for id in ids),
            seconds, "instances ready")

    def apply(self, id, text, version):
        return self.operator_request(id, "PUT", f"/v1/config?version={version}", text)

    def grant_key(self, id, name="core-key", team="alpha/core"):
        """Creates a key in the way of gooseberryctl and returns the reply."""
        secret = hashlib.sha256(f"{name}-secret".encode()).hexdigest()
        salt = "00112233445566778899aabbccddeeff"
        digest = hashlib.sha256((salt + secret).encode()).hexdigest()
        self.key = f"{name}.{secret}"
        body = json.dumps({"id": name, "team": team, "salt": salt, "hash": digest})
        return self.operator_request(id, "POST", "/v1/keys", body)

    def prepare(self, workers=3):
        """Starts all processes, applies the declarations and waits until tasks can be placed."""
        self.start_all()
        leader = self.wait_leader()
        self.wait_ready(self.ids)
        assert self.apply(leader, DECLARATIONS, 1).status == 200
        assert self.grant_key(leader).status == 200
        for i in range(workers):
            self.add_worker(f"worker-{i + 1}", DOMAINS[i % 3])
        wait_until(
            lambda: f"\nworkers_count {workers}".encode()
            in request(self.host[self.leader() or leader], "GET", "/metrics").body,
            10,
            "all workers announced",
        )
        return leader

    # Records of the workers

    def worker_events(self):
        """Returns (event, attempt, worker) of all workers, in the order of each worker's record."""
        events = []
        for worker in self.workers:
            path = os.path.join(self.folder, f"{worker}.record")
            if os.path.exists(path):
                with open(path) as file:
                    events += [tuple(line.split()) for line in file if line.endswith("\n")]
        return events

    def starts_of(self, job, index=0):
        prefix = f"{job}.{index}."
        return [e for e in self.worker_events() if e[0] == "start" and e[1].startswith(prefix)]


def digest_of(body):
    return "sha-256=" + base64.b64encode(hashlib.sha256(body).digest()).decode()
