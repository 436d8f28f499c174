"""Runs both sample deployments on this machine and checks that every task ran exactly once.

For each deployment: starts control instances and stub workers, applies the samples, submits one
service, one batch and one gang job per customer, and checks the results against the workers'
records.
"""

import argparse
import collections
import json
import os
import pathlib
import re
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROGRAMS = ROOT / "build-release" / "apps"

Deployment = collections.namedtuple(
    "Deployment", "name domains service network cores memory_gib queues")

DEPLOYMENTS = [
    Deployment("sicilia-est", ["catania-lido", "taormina-baia", "siracusa-riva"], "prenota-lido",
               31, 16, 64, {"service": "prenota", "batch": "night", "gang": "night"}),
    Deployment("valle-central", ["heredia", "alajuela", "cartago"], "celdaplan",
               32, 64, 128, {"service": "plan", "batch": "study", "gang": "study"}),
]

Job = collections.namedtuple("Job", "id job_class customer team key tasks answer")
Task = collections.namedtuple("Task", "starts ends")


class DemoError(Exception):
    """An error that ends the demo; the message states the cause."""


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Processes:
    """The processes of one deployment. Stops them by process id, in reverse order."""

    def __init__(self, folder):
        self.folder = folder
        self.running = []

    def start(self, name, arguments):
        with open(self.folder / f"{name}.log", "wb") as log:
            process = subprocess.Popen(arguments, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.running.append((name, process))

    def check(self):
        for name, process in self.running:
            if process.poll() is not None:
                log = (self.folder / f"{name}.log").read_text(errors="replace")
                raise DemoError(f"{name} ended with {process.returncode}: {log[-2000:]}")

    def stop(self):
        unclean = []
        for name, process in reversed(self.running):
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        for name, process in reversed(self.running):
            try:
                process.wait(timeout=15)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
            if process.returncode != 0:
                unclean.append(f"{name} ended with {process.returncode}")
        self.running = []
        return unclean


class Cell:
    """The control instances of one deployment, and a client for them."""

    def __init__(self, deployment, instances, folder, processes):
        self.deployment = deployment
        self.folder = folder
        self.processes = processes
        self.operator_token = secrets.token_hex(16)
        self.worker_token = secrets.token_hex(16)
        self.members = []
        for index in range(instances):
            host = f"127.0.{deployment.network}.{index + 1}"
            self.members.append({"id": f"control-{index + 1}", "host": host,
                                 "domain": deployment.domains[index % 3],
                                 "listen": f"{host}:{free_port(host)}",
                                 "peer": f"{host}:{free_port(host)}"})

    def servers(self):
        return [member["listen"] for member in self.members]

    def start(self):
        for member in self.members:
            path = self.folder / f"{member['id']}.yaml"
            path.touch(mode=0o600)
            path.write_text(self.member_settings(member))
            self.processes.start(member["id"], [str(PROGRAMS / "gooseberryleadd"), str(path)])
        wait_until(15, "the control instances are ready", self.all_ready, self.processes)

    def member_settings(self, member):
        settings = {"id": member["id"], "cell": self.deployment.name, "domain": member["domain"],
                    "listen": member["listen"], "operatorToken": self.operator_token,
                    "workerToken": self.worker_token, "drainPatience": "10s",
                    "dataFolder": str(self.folder / f"{member['id']}.data"), "voter": True,
                    "bootstrap": True}
        if len(self.members) > 1:
            settings["peerListen"] = member["peer"]
            settings["peers"] = [{"id": other["id"], "address": other["peer"],
                                  "domain": other["domain"], "voter": True}
                                 for other in self.members]
        return json.dumps(settings, indent=1)

    def all_ready(self):
        for server in self.servers():
            try:
                urllib.request.urlopen(f"http://{server}/readyz", timeout=2).close()
            except OSError:
                return False
        return True

    def request(self, method, path, token, deadline=20):
        """Tries the servers in turn until one replies with a status other than 503."""
        end = time.monotonic() + deadline
        problem = "no server"
        while time.monotonic() < end:
            for server in self.servers():
                request = urllib.request.Request(f"http://{server}{path}", method=method)
                request.add_header("Authorization", f"Bearer {token}")
                try:
                    with urllib.request.urlopen(request, timeout=15) as reply:
                        return reply.read()
                except urllib.error.HTTPError as error:
                    problem = f"{method} {path}: {error.code} {error.read().decode()}"
                    if error.code != 503:
                        raise DemoError(problem) from error
                except OSError as error:
                    problem = f"{method} {path}: {error}"
            time.sleep(0.2)
        raise DemoError(problem)

    def ctl(self, *arguments, key=None):
        """Runs gooseberryctl; passes secrets in the environment, since process lists show flags."""
        environment = dict(os.environ, GOOSEBERRY_SERVER=",".join(self.servers()),
                           GOOSEBERRY_TOKEN=self.operator_token, GOOSEBERRY_KEY=key or "")
        done = subprocess.run([str(PROGRAMS / "gooseberryctl"), "--output", "json", *arguments],
                              env=environment, capture_output=True, text=True, check=False,
                              timeout=120)
        if done.returncode != 0:
            raise DemoError(f"gooseberryctl {' '.join(arguments)} ended with {done.returncode}: "
                            f"{done.stderr}")
        return json.loads(done.stdout)

    def job(self, job):
        return json.loads(self.request("GET", f"/v1/jobs/{job.id}", job.key))

    def instances_sharing_config(self):
        sources = []
        for server in self.servers():
            request = urllib.request.Request(f"http://{server}/v1/config")
            request.add_header("Authorization", f"Bearer {self.operator_token}")
            with urllib.request.urlopen(request, timeout=10) as reply:
                sources.append(json.loads(reply.read())["declarations"])
        return sum(1 for source in sources if source == sources[0])


def wait_until(seconds, what, condition, processes):
    end = time.monotonic() + seconds
    while not condition():
        processes.check()
        if time.monotonic() > end:
            raise DemoError(f"timed out after {seconds} s waiting until {what}")
        time.sleep(0.05)


def start_workers(cell, per_domain):
    deployment = cell.deployment
    for domain_index, domain in enumerate(deployment.domains):
        for index in range(per_domain):
            name = f"{domain}-w{index + 1}"
            host = f"127.0.{deployment.network}.{100 + 30 * domain_index + index}"
            arguments = [str(PROGRAMS / "stub_worker"), "--id", name, "--domain", domain,
                         "--rack", f"{domain}-r{index // 2 + 1}", "--service", deployment.service,
                         "--listen", f"{host}:{free_port(host)}", "--token", cell.worker_token,
                         "--record", str(cell.folder / f"{name}.record"),
                         "--cores", str(deployment.cores), "--memory", str(deployment.memory_gib)]
            for server in cell.servers():
                arguments += ["--control", server]
            cell.processes.start(name, arguments)


def apply_samples(cell):
    """Applies the templates and customers; returns the customers' names and the keys by id."""
    folder = ROOT / "samples" / cell.deployment.name
    customers = sorted((folder / "customers").glob("*.yaml"))
    keys = {}
    for path in [folder / "templates.yaml", *customers]:
        for key in cell.ctl("apply", str(path)).get("keys", []):
            keys[key["id"]] = key["key"]
    return [path.stem for path in customers], keys


def submit(cell, customer, job_class, keys):
    deployment = cell.deployment
    path = ROOT / "samples" / deployment.name / "jobs" / f"{job_class}.yaml"
    queue = f"{customer}/{deployment.queues[job_class]}"
    text = path.read_text()
    team = re.search(rf"- name: {deployment.queues[job_class]}\n +team: (\S+)",
                     (path.parent.parent / "templates.yaml").read_text()).group(1)
    key = keys[f"{customer}.{team}.first"]
    reply = cell.ctl("submit", str(path), "--queue", queue, key=key)
    payload = json.loads(re.search(r"payload: '(.*)'", text).group(1))
    tasks = int(re.search(r"tasks: (\d+)", text).group(1))
    return Job(reply["job"], job_class, customer, f"{customer}/{team}", key, tasks,
               payload.get("answer", "") * tasks)


def read_records(folder):
    """Counts starts and ends on all workers; returns two counters by task ("job.index")."""
    starts = collections.Counter()
    ends = collections.Counter()
    for path in folder.glob("*.record"):
        for line in path.read_text().splitlines():
            event, attempt, _ = line.split(" ")
            (starts if event == "start" else ends)[attempt.rsplit(".", 1)[0]] += 1
    return starts, ends


def started(folder, job):
    starts, _ = read_records(folder)
    return all(starts[f"{job.id}.{index}"] > 0 for index in range(job.tasks))


def ended(folder, job):
    _, ends = read_records(folder)
    return all(ends[f"{job.id}.{index}"] > 0 for index in range(job.tasks))


def job_row(deployment, job, status):
    places = collections.Counter()
    for task in status["tasks"]:
        domain = [d for d in deployment.domains if task["worker"].startswith(d + "-")]
        places[domain[0] if domain else "nowhere"] += 1
    workers = len({task["worker"] for task in status["tasks"]})
    return {"job": job.id, "class": job.job_class, "team": job.team,
            "placed": {domain: places[domain] for domain in sorted(places)}, "workers": workers,
            "waitedMs": max((task.get("waitedMs", 0) for task in status["tasks"]), default=0),
            "outcome": status["state"]}


def check_rows(folder, jobs, rows):
    """Returns messages about unexpected outcomes and tasks that did not run exactly once."""
    problems = []
    starts, ends = read_records(folder)
    for job, row in zip(jobs, rows):
        expected = "cancelled" if job.job_class == "service" else "succeeded"
        if row["outcome"] != expected:
            problems.append(f"job {job.id} ended as {row['outcome']}, expected {expected}")
        for index in range(job.tasks):
            task = f"{job.id}.{index}"
            if starts[task] != 1 or ends[task] != 1:
                problems.append(f"task {task} was started {starts[task]} times and ended "
                                f"{ends[task]} times, expected once each")
    known = {f"{job.id}.{index}" for job in jobs for index in range(job.tasks)}
    problems += [f"task {task} ran but was never submitted" for task in starts if task not in known]
    return problems


def check_answer(cell, job):
    answer = cell.request("GET", f"/v1/jobs/{job.id}/answer", job.key).decode()
    if answer != job.answer:
        return [f"job {job.id} answered {answer[:60]!r}, expected {job.answer[:60]!r}"]
    return []


def run_jobs(cell, customers, keys):
    processes = cell.processes
    jobs = [submit(cell, customer, job_class, keys)
            for job_class in ("service", "batch", "gang") for customer in customers]
    services = [job for job in jobs if job.job_class == "service"]
    finite = [job for job in jobs if job.job_class != "service"]
    for job in services:
        wait_until(60, f"all tasks of service job {job.id} run",
                   lambda job=job: started(cell.folder, job), processes)
    for job in finite:
        wait_until(120, f"job {job.id} has ended",
                   lambda job=job: cell.job(job)["state"] not in ("pending", "running"), processes)
    problems = []
    for job in services:
        status = cell.job(job)
        if status["state"] != "running":
            problems.append(f"service job {job.id} is {status['state']} while it should run")
        cell.ctl("cancel", job.id, key=job.key)
    for job in jobs:
        wait_until(30, f"the workers have ended job {job.id}",
                   lambda job=job: ended(cell.folder, job), processes)
    rows = [job_row(cell.deployment, job, cell.job(job)) for job in jobs]
    for job in finite:
        problems += check_answer(cell, job)
    return rows, problems + check_rows(cell.folder, jobs, rows)


def run_deployment(deployment, options, folder):
    folder.mkdir()
    processes = Processes(folder)
    begin = time.monotonic()
    try:
        cell = Cell(deployment, options.instances, folder, processes)
        cell.start()
        start_workers(cell, options.workers)
        customers, keys = apply_samples(cell)
        wait_until(20, "all workers are announced",
                   lambda: cell.ctl("top")["workers"] == 3 * options.workers, processes)
        rows, problems = run_jobs(cell, customers, keys)
        sharing = cell.instances_sharing_config()
    finally:
        unclean = processes.stop()
    return {"deployment": deployment.name, "instances": options.instances,
            "instancesSharingConfig": sharing, "workers": 3 * options.workers,
            "customers": len(customers), "jobs": rows,
            "tasksChecked": sum(sum(row["placed"].values()) for row in rows),
            "problems": problems + unclean, "seconds": round(time.monotonic() - begin, 1)}


def print_table(result):
    print(f"\n{result['deployment']}: {result['instances']} control instances "
          f"({result['instancesSharingConfig']} share one configuration), "
          f"{result['workers']} workers, {result['customers']} customers")
    titles = ["job", "class", "team", "placed", "workers", "waited", "outcome"]
    lines = [[row["job"], row["class"], row["team"],
              " ".join(f"{domain}:{count}" for domain, count in row["placed"].items()),
              str(row["workers"]), f"{row['waitedMs']} ms", row["outcome"]]
             for row in result["jobs"]]
    widths = [max(len(line[i]) for line in [titles, *lines]) for i in range(len(titles))]
    for line in [titles, *lines]:
        print("  ".join(cell.ljust(width) for cell, width in zip(line, widths)).rstrip())
    for problem in result["problems"]:
        print(f"PROBLEM: {problem}")
    summary = "each ran exactly once" if not result["problems"] else "PROBLEMS FOUND"
    print(f"{result['tasksChecked']} tasks checked against the workers' records: {summary} "
          f"({result['seconds']} s)")


def read_options():
    parser = argparse.ArgumentParser(prog="scripts/demo", description=__doc__.splitlines()[0])
    parser.add_argument("--instances", type=int, default=3, choices=[1, 3],
                        help="control instances per deployment (default: 3)")
    parser.add_argument("--workers", type=int, default=4, choices=range(1, 21), metavar="1..20",
                        help="stub workers per failure domain (default: 4)")
    parser.add_argument("--deployment", choices=[d.name for d in DEPLOYMENTS],
                        help="run only this deployment")
    parser.add_argument("--json", action="store_true", help="print the result for programs")
    parser.add_argument("--keep", action="store_true", help="keep the folder with logs and records")
    return parser.parse_args()


def stop_on_signal(number, _frame):
    raise DemoError(f"ended by signal {number}")


def main():
    options = read_options()
    signal.signal(signal.SIGTERM, stop_on_signal)
    signal.signal(signal.SIGINT, stop_on_signal)
    folder = pathlib.Path(tempfile.mkdtemp(prefix="gooseberry-demo."))
    results = []
    failure = None
    try:
        for deployment in DEPLOYMENTS:
            if options.deployment in (None, deployment.name):
                results.append(run_deployment(deployment, options, folder / deployment.name))
                if not options.json:
                    print_table(results[-1])
    except (DemoError, OSError, subprocess.TimeoutExpired) as error:
        failure = str(error)
        print(f"demo failed: {failure}", file=sys.stderr)
    finally:
        if options.keep:
            print(f"logs and records: {folder}", file=sys.stderr)
        else:
            shutil.rmtree(folder, ignore_errors=True)
    if options.json:
        print(json.dumps({"deployments": results, "failure": failure}, indent=1))
    return 0 if failure is None and not any(result["problems"] for result in results) else 1


if __name__ == "__main__":
    sys.exit(main())
