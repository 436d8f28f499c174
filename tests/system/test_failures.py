"""System tests of process crashes, pauses and network faults, as callers observe them.

The time bounds are the documented guarantees: 2 s without a leader, starts resume within 2.8 s
after that, 3 s until a key withdrawal or a take-out is in effect, 11 s for the configuration.
Run with: python3 tests/system/run.py [NAME...]
"""

import json
import os
import threading
import time
import unittest

from harness import DECLARATIONS, DOMAINS, Cell, request, wait_until

ELECTION_BOUND = 2.0
# Timeout of tests that wait for a leader. The guarantee of 2 s is checked by the benchmark.
LEADER_BOUND = 2 * ELECTION_BOUND
WITHDRAWAL_BOUND = 3.0
CONFIG_BOUND = 11.0
# Worker lease of 6 s with the clock drift bound, a margin, and the time to place the task again.
LEASE_BOUND = 6.0 * 1.01 + 0.2 + 2.8


class SystemTest(unittest.TestCase):
    def make_cell(self, workers=3, **options):
        cell = Cell(**options)
        self.addCleanup(cell.close)
        cell.prepare(workers)
        return cell

    def resend_until_done(self, cell, ids, request_id, seconds, **fields):
        """Resends a request to the given instances in turn until it is done; returns the reply."""
        end = time.monotonic() + seconds
        position = 0
        while True:
            reply = cell.submit(ids[position % len(ids)], request_id, timeout=6, **fields)
            if reply.outcome() == "done":
                return reply
            self.assertLess(time.monotonic(), end, f"no answer, last: {reply.status} {reply.body}")
            position += 1
            time.sleep(0.1)

    def assert_ran_once(self, cell, job, index=0):
        self.assertEqual(len(cell.starts_of(job, index)), 1, cell.starts_of(job, index))


class WholePath(SystemTest):
    # Guards against answers that are available only on the instance that received the request.
    def test_every_instance_accepts_and_answers(self):
        cell = self.make_cell(entries=1)
        for id in cell.ids:
            reply = cell.submit(id, f"path-{id}", {"answer": f"for-{id}"}, wait=10)
            self.assertEqual((reply.status, reply.body), (200, f"for-{id}".encode()))

    # Guards against a second run when the caller resends the request to another instance.
    def test_resend_through_another_instance_gets_the_first_answer(self):
        cell = self.make_cell()
        first = cell.submit(cell.ids[0], "resend", {"answer": "one"}, wait=10)
        second = cell.submit(cell.ids[1], "resend", {"answer": "one"}, wait=10)
        self.assertEqual((first.status, first.body), (200, b"one"))
        self.assertEqual((second.status, second.body), (200, b"one"))
        self.assertEqual(first.headers["x-job-id"], second.headers["x-job-id"])
        self.assert_ran_once(cell, first.headers["x-job-id"])

    # Guards against a large answer that is truncated when a follower forwards it.
    def test_answer_of_eight_mebibytes_arrives_whole(self):
        cell = self.make_cell()
        size = 8 * 1024 * 1024
        follower = next(id for id in cell.ids if id != cell.wait_leader())
        reply = cell.submit(follower, "large", {"answerBytes": size, "answer": "x"}, wait=20, timeout=30)
        self.assertEqual(reply.status, 200)
        self.assertEqual(len(reply.body), size)

    # Guards against two concurrent changes to the same version that are both reported as in force.
    def test_one_of_two_changes_with_equal_version_wins(self):
        cell = self.make_cell(workers=0)
        texts = [DECLARATIONS.replace("limit: {cores: 24", f"limit: {{cores: {n}") for n in (20, 22)]
        replies = [None, None]

        def apply(i):
            replies[i] = cell.apply(cell.ids[i], texts[i], 2)

        threads = [threading.Thread(target=apply, args=(i,)) for i in range(2)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(sorted(r.status for r in replies), [200, 409])
        winner = next(i for i in range(2) if replies[i].status == 200)
        again = cell.apply(cell.ids[2], texts[winner], 2)
        self.assertEqual(again.status, 200, again.body)
        self.assertIn(b"2", replies[1 - winner].body)

    # Guards against a withdrawn key that an instance still accepts.
    def test_withdrawn_key_stops_everywhere_within_three_seconds(self):
        cell = self.make_cell()
        reply = cell.operator_request(cell.ids[0], "DELETE", "/v1/keys/core-key")
        self.assertEqual(reply.status, 200)
        end = time.monotonic() + WITHDRAWAL_BOUND
        for id in cell.ids:
            reply = wait_until(
                lambda: (lambda r: r if r.status == 401 else None)(cell.submit(id, f"late-{id}")),
                max(0.1, end - time.monotonic()), f"refusal by {id}")
            self.assertEqual(reply.json()["outcome"], "not-run")

    # Guards against starts in a failure domain that operators have taken out.
    def test_no_start_in_a_domain_that_was_taken_out(self):
        cell = self.make_cell()
        reply = cell.operator_request(cell.ids[0], "POST", f"/v1/domains/{DOMAINS[0]}/take-out")
        self.assertEqual(reply.status, 200, reply.body)
        before = len(cell.worker_events())
        for i in range(20):
            self.assertEqual(cell.submit(cell.ids[i % 3], f"out-{i}", wait=10).status, 200)
        late = [e for e in cell.worker_events()[0:] if e[0] == "start" and e[2] == "worker-1"]
        self.assertEqual(late, [], before)
        reply = cell.operator_request(cell.ids[1], "POST", f"/v1/domains/{DOMAINS[0]}/bring-back")
        self.assertEqual(reply.status, 200)

    # Guards against a planned stop that aborts requests in flight.
    def test_planned_stop_finishes_requests_in_flight(self):
        cell = self.make_cell()
        leader = cell.wait_leader()
        follower = next(id for id in cell.ids if id != leader)
        for target in (follower, leader):
            result = []
            thread = threading.Thread(target=lambda: result.append(
                cell.submit(target, f"stop-{target}", {"runMs": 800, "answer": "whole"}, wait=10)))
            thread.start()
            wait_until(lambda: any(e[0] == "start" for e in cell.worker_events()[-1:]), 5, "a start")
            time.sleep(0.2)
            self.assertEqual(cell.terminate(target), 0)
            thread.join()
            self.assertEqual((result[0].status, result[0].body), (200, b"whole"))
            cell.start(target)
            cell.wait_leader()


class Crashes(SystemTest):
    # Guards against accepted jobs that are lost, or run twice, when the leader crashes.
    def test_leader_killed_with_work_in_flight(self):
        cell = self.make_cell()
        leader = cell.wait_leader()
        others = [id for id in cell.ids if id != leader]
        accepted = cell.submit(leader, "kept", {"runMs": 1500, "answer": "kept"})
        self.assertEqual(accepted.status, 202)
        job = accepted.json()["job"]
        cell.kill(leader)
        began = time.monotonic()
        cell.wait_leader(LEADER_BOUND, other_than=leader)
        reply = self.resend_until_done(cell, others, "kept", 20, payload={"runMs": 1500, "answer": "kept"}, wait=10)
        self.assertEqual((reply.body, reply.headers["x-job-id"]), (b"kept", job))
        self.assert_ran_once(cell, job)

    # Guards against starts that do not resume after an election.
    def test_starts_resume_after_the_leader_is_killed(self):
        cell = self.make_cell()
        leader = cell.wait_leader()
        others = [id for id in cell.ids if id != leader]
        cell.kill(leader)
        began = time.monotonic()
        self.resend_until_done(cell, others, "resume", 10, payload={"answer": "x"}, wait=5)
        self.assertLessEqual(time.monotonic() - began, ELECTION_BOUND + 2.8)

    # Guards against state that is not persisted.
    def test_all_instances_restarted_at_once(self):
        cell = self.make_cell()
        done = cell.submit(cell.ids[0], "before", {"answer": "kept"}, wait=10)
        self.assertEqual(done.status, 200)
        for id in cell.ids:
            cell.kill(id)
        for id in cell.ids:
            cell.start(id)
        cell.wait_leader(10)
        again = self.resend_until_done(cell, cell.ids, "before", 10, payload={"answer": "kept"}, wait=5)
        self.assertEqual((again.body, again.headers["x-job-id"]), (b"kept", done.headers["x-job-id"]))
        self.assert_ran_once(cell, done.headers["x-job-id"])

    # Guards against a configuration that reverts after hundreds of changes and a restart.
    def test_restart_after_five_hundred_changes(self):
        cell = self.make_cell(workers=0)
        leader = cell.wait_leader()
        for version in range(2, 502):
            text = DECLARATIONS.replace("limit: {cores: 24", f"limit: {{cores: {version}")
            reply = cell.apply(leader, text, version)
            self.assertEqual(reply.status, 200, reply.body)
        for id in cell.ids:
            cell.kill(id)
        for id in cell.ids:
            cell.start(id)
        leader = cell.wait_leader(10)
        reply = wait_until(
            lambda: (lambda r: r if r.status == 200 else None)(
                cell.operator_request(leader, "GET", "/v1/config")),
            CONFIG_BOUND, "the configuration")
        self.assertEqual(reply.json()["version"], 501)
        self.assertIn("cores: 501", reply.json()["declarations"].replace('"', ""))

    # Guards against a restarted voter that counts for the quorum before it has caught up.
    def test_second_voter_lost_right_after_the_first_was_repaired(self):
        cell = self.make_cell()
        leader = cell.wait_leader()
        first, second = [id for id in cell.ids if id != leader]
        cell.kill(first)
        self.assertEqual(cell.submit(leader, "one", {"answer": "1"}, wait=10).status, 200)
        cell.start(first)
        cell.kill(second)
        reply = self.resend_until_done(cell, [leader, first], "two", 10, payload={"answer": "2"}, wait=5)
        self.assertEqual(reply.body, b"2")
        again = self.resend_until_done(cell, [first], "one", 10, payload={"answer": "1"}, wait=5)
        self.assertEqual(again.body, b"1")

    # Guards against a voter that lost its disk, and with it its votes and log, and votes again.
    def test_voter_with_an_empty_disk_does_not_vote(self):
        cell = self.make_cell()
        leader = cell.wait_leader()
        lost, other = [id for id in cell.ids if id != leader]
        cell.kill(lost)
        folder = cell.data_folder(lost)
        os.rename(folder, folder + ".lost")
        cell.start(lost)
        time.sleep(1)
        cell.kill(leader)
        # Only one voter still has its state, which is no quorum, so no leader may be elected.
        time.sleep(LEADER_BOUND)
        self.assertIsNone(cell.leader())
        reply = cell.submit(other, "nobody")
        self.assertEqual(reply.outcome(), "not-run", reply.body)
        cell.start(leader)
        cell.wait_leader(10)

    # Guards against a torn last record that keeps an instance from starting, and against a corrupt
    # record in the middle of the log that is accepted.
    def test_torn_tail_is_cut_and_damage_in_the_middle_is_refused(self):
        cell = self.make_cell()
        leader = cell.wait_leader()
        torn, damaged = [id for id in cell.ids if id != leader]
        for i in range(30):
            cell.submit(leader, f"fill-{i}")
        for id in (torn, damaged):
            cell.kill(id)

        def largest(id):
            folder = cell.data_folder(id)
            files = [os.path.join(root, f) for root, _, names in os.walk(folder) for f in names]
            return max(files, key=os.path.getsize)

        with open(largest(torn), "r+b") as file:
            file.truncate(os.path.getsize(file.name) - 3)
        with open(largest(damaged), "r+b") as file:
            file.seek(os.path.getsize(file.name) // 2)
            byte = file.read(1)
            file.seek(-1, os.SEEK_CUR)
            file.write(bytes([byte[0] ^ 0x40]))
        for id in (torn, damaged):
            cell.start(id)
        self.assertNotEqual(cell.processes[damaged].wait(timeout=10), 0)
        with open(os.path.join(cell.folder, damaged, "log")) as log:
            text = log.read()
        self.assertIn("code=corrupt", text)
        self.assertIn(os.path.basename(largest(damaged)), text)
        reply = self.resend_until_done(cell, [torn], "after", 10, payload={"answer": "a"}, wait=5)
        self.assertEqual(reply.body, b"a")


class Partitions(SystemTest):
    # Guards against a leader that resumes after a pause and acts on an expired lease.
    def test_paused_leader_starts_nothing_after_it_resumes(self):
        cell = self.make_cell()
        leader = cell.wait_leader()
        others = [id for id in cell.ids if id != leader]
        cell.pause(leader)
        cell.wait_leader(LEADER_BOUND + 2, other_than=leader)
        done = self.resend_until_done(cell, others, "paused", 10, payload={"answer": "p"}, wait=5)
        cell.resume(leader)
        wait_until(lambda: cell.submit(leader, "paused", {"answer": "p"}, wait=5).status == 200, 10,
                   "the resumed instance to follow")
        self.assert_ran_once(cell, done.headers["x-job-id"])

    def isolate(self, incoming, outgoing):
        cell = self.make_cell()
        leader = cell.wait_leader()
        others = [id for id in cell.ids if id != leader]
        cell.drop_peer_traffic(leader, incoming, outgoing)
        wait_until(lambda: any(
            cell.submit(id, "cut", {"answer": "c"}, wait=5, timeout=6).status == 200
            for id in others), LEADER_BOUND + 10, "work on the side with the quorum")
        reply = cell.submit(leader, "isolated", timeout=10)
        self.assertNotEqual(reply.outcome(), "done", reply.body)
        if reply.outcome() == "not-run":
            self.assertNotEqual(reply.json()["step"], "")
        cell.heal()
        again = self.resend_until_done(cell, [leader], "cut", 15, payload={"answer": "c"}, wait=5)
        self.assertEqual(again.body, b"c")
        self.assert_ran_once(cell, again.headers["x-job-id"])

    # Guards against an isolated leader that continues to accept work, and against peer links that
    # do not recover after a partition. The next two tests drop traffic in one direction only.
    def test_leader_isolated_both_ways(self):
        self.isolate(True, True)

    def test_leader_that_hears_nothing(self):
        self.isolate(True, False)

    def test_leader_that_is_not_heard(self):
        self.isolate(False, True)

    # Guards against an isolated entry instance that accepts work without the leader's confirmation.
    def test_isolated_entry_instance_refuses_with_not_run(self):
        cell = self.make_cell(entries=1)
        entry = cell.ids[-1]
        self.assertEqual(cell.submit(entry, "near", {"answer": "n"}, wait=10).status, 200)
        cell.drop_peer_traffic(entry)
        time.sleep(WITHDRAWAL_BOUND)
        reply = cell.submit(entry, "far")
        self.assertEqual(reply.outcome(), "not-run", reply.body)
        self.assertEqual(reply.json()["step"], "forward")
        ready = request(cell.host[entry], "GET", "/readyz")
        self.assertEqual(ready.status, 503)


class Workers(SystemTest):
    # Guards against a task that is never placed again, or placed before the lease has expired, when
    # its worker crashes.
    def test_lost_worker_is_replaced_after_its_lease(self):
        cell = self.make_cell(workers=2)
        reply = cell.submit(cell.ids[0], "moved", {"runMs": 2000, "answer": "moved"})
        job = reply.json()["job"]
        start = wait_until(lambda: cell.starts_of(job), 5, "a start")[0]
        cell.workers[start[2]].kill()
        began = time.monotonic()
        wait_until(lambda: len(cell.starts_of(job)) == 2, LEASE_BOUND + 1, "the second start")
        self.assertGreaterEqual(time.monotonic() - began, 4.9)
        self.assertNotEqual(cell.starts_of(job)[1][2], cell.starts_of(job)[0][2])

    # Guards against a non-repeatable task that runs again on another worker.
    def test_lost_worker_leaves_unrepeatable_work_unknown(self):
        cell = self.make_cell(workers=2)
        reply = cell.submit(cell.ids[0], "once", {"runMs": 60000}, repeatable=False)
        job = reply.json()["job"]
        start = wait_until(lambda: cell.starts_of(job), 5, "a start")[0]
        cell.workers[start[2]].kill()
        wait_until(lambda: cell.job(cell.ids[0], job).json().get("state") == "unknown", LEASE_BOUND + 2,
                   "the outcome unknown")
        self.assert_ran_once(cell, job)

    # Guards against a worker that continues a task after its lease has expired, while another
    # worker runs the next attempt.
    def test_worker_paused_beyond_its_lease(self):
        import signal as signals
        cell = self.make_cell(workers=2)
        job = cell.submit(cell.ids[0], "frozen", {"runMs": 3000, "answer": "f"}).json()["job"]
        first = wait_until(lambda: cell.starts_of(job), 5, "a start")[0]
        cell.workers[first[2]].send_signal(signals.SIGSTOP)
        wait_until(lambda: len(cell.starts_of(job)) == 2, LEASE_BOUND + 2, "the second start")
        cell.workers[first[2]].send_signal(signals.SIGCONT)
        wait_until(lambda: cell.job(cell.ids[0], job).json().get("state") == "succeeded", 10, "the answer")
        view = cell.job(cell.ids[0], job).json()["tasks"][0]
        self.assertEqual((view["attempt"], view["worker"]), (2, cell.starts_of(job)[1][2]))


class RepeatedKills(SystemTest):
    # Guards against faults under load with repeated crashes: accepted work that is lost, tasks that
    # run twice, requests that were refused as "not-run" but ran, and answers of another request.
    def test_clients_agree_with_workers_while_instances_are_killed(self):
        rounds = int(os.environ.get("GL_KILLS", "4"))
        seed = int(os.environ.get("GL_SEED", "7"))
        cell = self.make_cell(seed=seed)
        histories = {}
        stop = threading.Event()

        def client(number):
            sequence = 0
            while not stop.is_set():
                name = f"c{number}-{sequence}"
                sequence += 1
                histories[name] = self.submit_until_answered(cell, name, stop)

        threads = [threading.Thread(target=client, args=(i,)) for i in range(6)]
        for thread in threads:
            thread.start()
        for _ in range(rounds):
            time.sleep(cell.random.uniform(0.5, 2.0))
            victim = cell.leader() if cell.random.random() < 0.7 else cell.random.choice(cell.ids)
            if victim is None:
                continue
            cell.kill(victim)
            time.sleep(cell.random.uniform(0.2, 1.0))
            cell.start(victim)
        cell.wait_leader(10)
        stop.set()
        for thread in threads:
            thread.join()
        self.check_histories(cell, histories)

    def submit_until_answered(self, cell, name, stop):
        """Resends one request until it is done or stop is set; returns the results of all sends."""
        history = []
        position = hash(name)
        while True:
            id = cell.ids[position % len(cell.ids)]
            position += 1
            reply = cell.submit(id, name, {"answer": name, "runMs": 5}, wait=8, timeout=10, repeatable=False)
            history.append((reply.outcome(), reply.body, reply.headers.get("x-job-state")))
            if reply.outcome() == "done" or stop.is_set():
                return history
            time.sleep(0.05)

    def check_histories(self, cell, histories):
        starts = {}
        for event, attempt, _ in cell.worker_events():
            if event == "start":
                job, index, _ = attempt.split(".")
                starts[job, index] = starts.get((job, index), 0) + 1
        twice = {task: count for task, count in starts.items() if count > 1}
        self.assertEqual(twice, {}, "ran twice")
        answered = 0
        for name, history in histories.items():
            outcome, body, state = history[-1]
            if outcome == "done" and state == "succeeded":
                answered += 1
                self.assertEqual(body, name.encode(), "another caller's answer")
        self.assertGreater(answered, 0)
        print(f"clients: {len(histories)} requests, {answered} answered, {len(starts)} starts")


if __name__ == "__main__":
    unittest.main()
