"""Clients of a node that send without end, far over the limits, or keep much open.

Guards against clients that end a process by making it hold memory or descriptors. The tests start
one real node on loopback addresses and check nothing that depends on the speed of the machine.
"""

import json
import os
import shutil
import socket
import subprocess
import tempfile
import unittest

from harness import BINARIES, request, wait_until

PROGRAM = os.path.join(BINARIES, "..", "platform", "gooseberrylead-node")
CALLER_PORT, READY_PORT, CONTROL_PORT, PEER_PORT = 8100, 8101, 8102, 8103
MEBIBYTE = 1024 * 1024
# Growth of the peak of resident memory over the memory after the first ordinary request.
MAX_GROWTH = 48 * MEBIBYTE
# Descriptors that may still be open after the clients have left.
MAX_LEFT_DESCRIPTORS = 100
# What one client sends of something that has no end.
ENDLESS_BYTES = 128 * MEBIBYTE
# Clients that send bodies of nearly 4 MiB, and clients that send bodies below the pages' limit.
LARGE_BODY_CLIENTS, LARGE_BODY = 60, 4 * MEBIBYTE - 4096
SMALL_BODY_CLIENTS, SMALL_BODY = 300, 262144 - 4096
SETTINGS = {"requestMemoryBytes": 16 * MEBIBYTE, "callerBodyBytes": MEBIBYTE}
POST = b"POST /queue/%016x HTTP/1.1\r\nHost: test.example\r\nAuthorization: Bearer key\r\n"
MANIFEST = {
    "version": 1,
    "routes": [{"name": "queue", "host": "test.example", "path_prefix": "/queue/",
                "kind": "unsafe", "timeout_ms": 3000, "completion_target_ms": 60000,
                "priority": 1, "service": "service", "attempts": 4, "slack_factor": 3.0,
                "public": False}],
    "services": [{"name": "service"}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000},
    "tenants": [{"name": "tenant", "api_keys": ["key"], "priority": 1, "weight": 1,
                 "max_count": {"cpu": 0, "mem_mb": 0, "gpu": 0}}],
}


class Node:
    """One node that is the only voter and serves callers, workers and operators."""

    started = 0

    def __init__(self):
        Node.started += 1
        self.host = f"127.{16 + os.getpid() % 200}.{250 - Node.started}.10"
        self.folder = tempfile.mkdtemp(prefix="gooseberry-")
        settings = {"instance": "node", "failureDomain": "zone", "host": self.host,
                    "peerPort": PEER_PORT, "bootstrap": True, "voters": 1,
                    "seeds": [f"{self.host}:{CONTROL_PORT}"],
                    "dataFolder": os.path.join(self.folder, "data"),
                    "listenCallers": f"{self.host}:{CALLER_PORT}",
                    "listenReadiness": f"{self.host}:{READY_PORT}",
                    "listenControl": f"{self.host}:{CONTROL_PORT}", **SETTINGS}
        path = os.path.join(self.folder, "node.yaml")
        with open(path, "w") as file:
            file.write("".join(f"{key}: {json.dumps(value)}\n" for key, value in settings.items()))
        # Freed memory that the address sanitizer keeps would count as memory that requests hold.
        options = [os.environ.get("ASAN_OPTIONS", ""), "quarantine_size_mb=1",
                   "thread_local_quarantine_size_kb=64"]
        environment = {**os.environ, "ASAN_OPTIONS": ":".join(filter(None, options))}
        with open(os.path.join(self.folder, "log"), "ab") as log:
            self.process = subprocess.Popen([PROGRAM, path], stdout=log, stderr=log,
                                            env=environment)
        self.submitted = 0

    def close(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        if os.environ.get("GL_KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)

    def status_bytes(self, field):
        with open(f"/proc/{self.process.pid}/status") as file:
            return next(int(line.split()[1]) * 1024 for line in file if line.startswith(field))

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def serves_an_ordinary_submission(self):
        self.submitted += 1
        id = f"{self.submitted:016x}"
        headers = {"Host": "test.example", "Authorization": "Bearer key"}
        body = json.dumps({"spec": "text", "steps": [{"count": 1, "cpu": 1000, "mem_mb": 100,
                                                      "estimate_ms": 100}]})
        reply = request(self.host, "POST", f"/queue/{id}", body, headers, port=CALLER_PORT)
        if reply.status != 200:
            return False
        reply = request(self.host, "GET", f"/queue/{id}", None, headers, port=CALLER_PORT)
        return reply.status == 200 and b"state" in reply.body

    def put_manifest(self):
        reply = request(self.host, "POST", "/config/replace", json.dumps(MANIFEST),
                        port=CONTROL_PORT)
        return reply.status == 200

    def connect(self, port):
        client = socket.create_connection((self.host, port), timeout=20)
        client.settimeout(20)
        return client


def send(client, data):
    """Sends all data; returns whether the node took it."""
    try:
        client.sendall(data)
        return True
    except OSError:
        return False


def send_endless(client, start, piece):
    """Sends the piece again and again until the node closes or the client has sent enough."""
    piece = piece * (65536 // len(piece))
    sent = 0
    taken = send(client, start)
    while taken and sent < ENDLESS_BYTES:
        taken = send(client, piece)
        sent += len(piece)


def chunks(size, chunk):
    """Returns a chunked body of this size without its last chunk."""
    return (b"%x\r\n" % chunk + b"x" * chunk + b"\r\n") * (size // chunk)


class HostileClients(unittest.TestCase):
    def setUp(self):
        self.node = Node()
        self.addCleanup(self.node.close)
        wait_until(self.node.put_manifest, 30, "the manifest is stored")
        wait_until(self.node.serves_an_ordinary_submission, 30, "a submission is accepted")
        self.memory = self.node.status_bytes("VmRSS")
        self.open_descriptors = self.node.descriptors()
        self.clients = []
        self.addCleanup(self.leave)

    def leave(self):
        for client in self.clients:
            client.close()
        self.clients = []

    def crowd(self, port, count, start, body):
        """Opens this many connections, which send start and body and stay open."""
        for number in range(count):
            try:
                client = self.node.connect(port)
            except OSError:
                continue
            self.clients.append(client)
            send(client, start(number) + body)

    def check(self, name):
        """Checks what must hold while the clients are still there, and after they have left."""
        self.assertIsNone(self.node.process.poll(), "the node has ended")
        # At the latest once the node has given up on slow clients.
        wait_until(self.node.serves_an_ordinary_submission, 60, "an ordinary request is answered")
        growth = self.node.status_bytes("VmHWM") - self.memory
        most = self.node.descriptors()
        print(f"\n{name}: grew by {growth / MEBIBYTE:.0f} MiB, {most} descriptors", flush=True)
        self.leave()
        bound = self.open_descriptors + MAX_LEFT_DESCRIPTORS
        wait_until(lambda: self.node.descriptors() <= bound, 60, "the descriptors are closed")
        self.assertTrue(self.node.serves_an_ordinary_submission())
        self.assertIsNone(self.node.process.poll(), "the node has ended")
        self.assertLess(growth, MAX_GROWTH)

    def check_endless(self, name, start, piece):
        for port in (CALLER_PORT, CONTROL_PORT):
            client = self.node.connect(port)
            self.clients.append(client)
            send_endless(client, start, piece)
        self.check(name)

    def test_trailers_without_end(self):
        # Guards against a read buffer without a maximum: trailers are parsed once they are complete,
        # so all of them were kept until then.
        self.check_endless("trailers", POST % 1 + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
                           b"Name: value\r\n")

    def test_chunk_extension_without_end(self):
        # Guards against the same with the line that begins a chunk.
        self.check_endless("chunk extension",
                           POST % 1 + b"Transfer-Encoding: chunked\r\n\r\n5;name=", b"x")

    def test_header_without_end(self):
        # Guards against a header that is kept beyond the limit.
        self.check_endless("header", POST % 1, b"Name: value\r\n")

    def test_announced_bodies_far_over_the_limit(self):
        # Guards against memory that is reserved for a length that a client only announces.
        def start(number):
            return POST % number + b"Content-Length: %d\r\n\r\n" % ENDLESS_BYTES

        for port in (CALLER_PORT, CONTROL_PORT):
            self.crowd(port, LARGE_BODY_CLIENTS, start, b"x" * 65536)
        self.check_endless("announced body", start(1), b"x")

    def test_chunked_body_far_over_the_limit(self):
        # Guards against a limit that counts each chunk by itself.
        self.check_endless("chunked body", POST % 1 + b"Transfer-Encoding: chunked\r\n\r\n",
                           chunks(16384, 4096))

    def check_unfinished(self, name, port, count, size, chunk):
        self.crowd(port, count, lambda n: POST % n + b"Transfer-Encoding: chunked\r\n\r\n",
                   chunks(size, chunk))
        self.check(name)

    def test_unfinished_large_bodies_of_callers(self):
        # Guards against a limit for each body and none for all: bodies that stop just short of their
        # end are kept until the read timeout.
        self.check_unfinished("large caller bodies", CALLER_PORT, LARGE_BODY_CLIENTS, LARGE_BODY,
                              65536)

    def test_unfinished_large_bodies_at_control(self):
        # Guards against the same at the address for workers and operators, whose bodies may be larger.
        self.check_unfinished("large control bodies", CONTROL_PORT, LARGE_BODY_CLIENTS, LARGE_BODY,
                              65536)

    def test_unfinished_bodies_inside_the_limit(self):
        # Guards against the same with bodies that no limit for one body can refuse.
        self.check_unfinished("bodies inside the limit", CALLER_PORT, SMALL_BODY_CLIENTS,
                              SMALL_BODY, 65536 // 4)

    def test_unfinished_bodies_in_very_small_chunks(self):
        # Guards against memory, or time of the only thread, that each chunk costs.
        self.check_unfinished("very small chunks", CALLER_PORT, SMALL_BODY_CLIENTS, SMALL_BODY, 4)

    def test_unfinished_announced_bodies(self):
        # Guards against the same with bodies whose length is announced.
        self.crowd(CALLER_PORT, SMALL_BODY_CLIENTS,
                   lambda n: POST % n + b"Content-Length: 262144\r\n\r\n", b"x" * SMALL_BODY)
        self.check("announced bodies inside the limit")

    def test_many_header_fields_before_an_unfinished_body(self):
        # Guards against header fields that take many times their length in memory: each one is an
        # allocation of its own, and they are kept while the body is awaited.
        fields = b"".join(b"%x:\r\n" % n for n in range(2500))
        self.crowd(CALLER_PORT, SMALL_BODY_CLIENTS,
                   lambda n: POST % n + fields + b"Content-Length: 100\r\n\r\n", b"x")
        self.check("header fields")

    def check_body(self, name, body):
        for port, path in ((CALLER_PORT, f"/queue/{1:016x}"), (CONTROL_PORT, "/config/replace")):
            headers = {"Host": "test.example", "Authorization": "Bearer key"}
            request(self.node.host, "POST", path, body, headers, timeout=60, port=port)
        self.check(name)

    def test_dense_json(self):
        # Guards against JSON that takes many times its length in memory once it is parsed.
        self.check_body("dense JSON", b"[" + b"[0]," * (LARGE_BODY // 4 - 1) + b"0]")

    def test_deeply_nested_json(self):
        # Guards against JSON whose depth exhausts the stack.
        self.check_body("nested JSON", b"[" * LARGE_BODY)

    def test_serves_the_largest_request_inside_the_limits(self):
        # Guards against limits that also refuse a client that keeps to the pages.
        body = json.dumps({"spec": "text", "steps": [{"count": 1, "cpu": 1000, "mem_mb": 100}]})
        body += " " * (262144 - len(body))
        headers = {"Host": "test.example", "Authorization": "Bearer key"}
        for number, encode in enumerate((lambda: body, lambda: iter([body.encode()]))):
            reply = request(self.node.host, "POST", f"/queue/{900 + number:016x}", encode(),
                            headers, port=CALLER_PORT)
            self.assertEqual(reply.status, 200)
