#!/usr/bin/env python3
"""Rolls a service over to another version on acacia-sidecar processes.

Usage: rollout_test.py ROW BIN_FOLDER PORT

ROW names a test; PORT is the first of 40 consecutive free ports.
"""
import collections
import http.client
import json
import os
import pathlib
import random
import sys
import tempfile
import threading
import time

from sidecar_process import (CALLERS, CONTROL, SERVICE, UPSTREAM,
                             SidecarProcess, configuration)
from standin_platform import Store, Upstream

FORMER, NEXT = range(6), range(6, 16)
CLIENTS_OF_NODE, PAUSE_S = 2, 0.1
ORDER_S = 28.0
# Age of the order from which a version that is bad later is bad.
LATER_S = 10.0
SHARE, SLACK, ROLLBACK_S = 0.1, 50, 5.0
WORK_S, SLOW_S = 0.02, 0.12
# Share of bad answers, and of ordinary failures of both versions.
BAD_SHARE, ORDINARY_SHARE = 0.5, 0.01


class VersionUpstream(Upstream):
    """Runs any request; is_bad(upstream, path) tells whether the answer to a
    request may be bad, and kind whether it fails or is slow then."""

    def __init__(self, *args, version="v1", is_bad=None, kind="fails"):
        self.version, self.is_bad, self.kind = version, is_bad, kind
        self.arrivals, self.bad = collections.deque(), []
        super().__init__(*args)

    def rate(self):
        """Requests in the last second."""
        now = time.monotonic()
        return sum(1 for it in list(self.arrivals)[-200:] if now - it < 1)

    def serve(self, call):
        call.read_body()
        common = [("Request-Id", call.headers.get("Request-Id", ""))]
        if call.headers.get("Expected-Instance") != self.name:
            call.answer(421, b"", common + [("Not-Executed", "1")])
            return
        if not self.is_up:
            call.close_connection = True
            return
        self.arrivals.append(time.monotonic())
        is_bad = (self.is_bad is not None and self.is_bad(self, call.path)
                  and random.random() < BAD_SHARE)
        time.sleep(SLOW_S if is_bad and self.kind == "slow" else WORK_S)
        if is_bad:
            self.bad.append(time.monotonic())
        fails = random.random() < ORDINARY_SHARE or (
            is_bad and self.kind == "fails")
        call.answer(500 if fails else 200, b"whole",
                    common + [("Response-Signature", "s")])


class Node(SidecarProcess):
    def __init__(self, binary, folder, index, first_port, **upstream):
        super().__init__(binary, folder, index, first_port)
        self.upstream = VersionUpstream(
            "u-%d" % index, SERVICE, self.address_of(UPSTREAM),
            self.address_of(CONTROL), **upstream)
        self.launch(("127.0.0.1", first_port + 10))

    def start(self):
        text = self.file.read_text()
        if "[rollout]" not in text:
            self.file.write_text(text + "[rollout]\nshare = %g\nslack = %d\n"
                                 'rollback = "%gs"\n' % (SHARE, SLACK,
                                                         ROLLBACK_S))
        super().start()


class Client(threading.Thread):
    """Sends requests to one node until the test is over."""

    def __init__(self, node, test):
        super().__init__(daemon=True)
        self.node, self.test, self.statuses = node, test, []

    def run(self):
        connection = None
        while not self.test.is_over:
            time.sleep(PAUSE_S * random.uniform(0.5, 1.5))
            try:
                connection = connection or http.client.HTTPConnection(
                    *self.node.address_of(CALLERS), timeout=2)
                connection.request("GET", random.choice(["/s/x", "/u/x"]),
                                   headers={
                                       "Host": "h",
                                       "Request-Id": os.urandom(8).hex(),
                                       "Deadline-Ms": "800",
                                       "Authorization": "Bearer secret-key"})
                answer = connection.getresponse()
                answer.read()
                self.statuses.append((time.monotonic(), answer.status))
            except (OSError, http.client.HTTPException):
                self.statuses.append((time.monotonic(), 0))
                connection.close()
                connection = None


class Rollout:
    def __init__(self, binary, first_port, is_bad, kind):
        self.binary, self.first_port = binary, first_port
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self.is_bad, self.kind, self.is_over = is_bad, kind, False
        self.store = Store(("127.0.0.1", first_port + 10))
        record = json.loads(configuration(1, "secret-key", {
            "safe": "/s/", "unsafe": "/u/"}))
        record["services"][0]["sharded"] = False
        self.store.put("keyed.op", "config", json.dumps(record).encode())
        self.nodes, self.clients = [], []
        for n in FORMER:
            self.start_node(n)
        time.sleep(3)

    def start_node(self, index, **upstream):
        node = Node(self.binary, self.folder, index, self.first_port,
                    **upstream)
        self.nodes.append(node)
        for _ in range(CLIENTS_OF_NODE):
            client = Client(node, self)
            self.clients.append(client)
            threading.Timer(2.0, client.start).start()

    def age(self):
        return time.monotonic() - self.ordered_at

    def order(self):
        self.ordered_at = time.monotonic()
        self.store.put("keyed.op", "rollout/" + SERVICE, json.dumps({
            "service": SERVICE, "toVersion": "v2",
            "duration": "%gs" % ORDER_S}).encode())
        is_bad = None
        if self.is_bad:
            is_bad = lambda upstream, path: self.is_bad(self, upstream, path)
        for n in NEXT:
            self.start_node(n, version="v2", is_bad=is_bad, kind=self.kind)

    def state(self):
        records = self.store.records("keyed.status", "rollout/" + SERVICE)
        return json.loads(records[-1][1])["state"] if records else None

    def decider(self):
        """Returns the node that proposed last, by its log."""
        def proposals(node):
            text = (self.folder / (node.name + ".log")).read_text()
            return text.count('"rollout_proposed"')
        return max(self.nodes, key=proposals)

    def arrivals(self, version):
        return sorted(at for node in self.nodes for at in
                      node.upstream.arrivals
                      if node.upstream.version == version)

    def play(self, at_age=None):
        """Plays until the order has ended; at_age maps an age to a fault.
        Returns the last state and its age."""
        faults = sorted((at_age or {}).items())
        while self.age() < ORDER_S:
            time.sleep(0.05)
            while faults and self.age() >= faults[0][0]:
                faults.pop(0)[1](self)
            if self.state() in ("complete", "rolled_back"):
                break
        return self.state(), self.age()

    def check_good(self, state, age):
        assert state == "complete", (state, age, self.folder)
        settled = time.monotonic()
        for node in self.nodes:
            if node.upstream.version == "v1":
                node.upstream.crash()
        time.sleep(3)
        late = [it for it in self.arrivals("v1") if it > settled + 0.3]
        assert not late, (len(late), self.folder)
        self.is_over = True
        answers = [status for client in self.clients
                   if client.node.is_running()
                   for at, status in client.statuses if at > settled + 0.5]
        share = answers.count(200) / len(answers)
        print("complete after %.1f s, then served %.4f of %d" % (
            age, share, len(answers)))
        assert share > 0.97, (share, self.folder)

    def check_bad(self, state, age):
        time.sleep(4)
        self.is_over = True
        new = self.arrivals("v2")
        count = len(new) + len(self.arrivals("v1"))
        bad = sorted(at for node in self.nodes for at in node.upstream.bad)
        print("%s after %.1f s; version v2 got %d of %d requests, %d bad" % (
            state, age, len(new), count, len(bad)))
        assert state == "rolled_back", (state, age, self.folder)
        assert len(new) <= SHARE * count + SLACK, (len(new), count,
                                                   self.folder)
        if len(bad) >= 50:
            print("last request %.1f s after the 50th bad answer" % (
                new[-1] - bad[49]))
            assert new[-1] <= bad[49] + ROLLBACK_S, self.folder

    def stop(self):
        self.is_over = True
        for node in self.nodes:
            node.process.kill()
            node.process.wait()


def at_once(_test, _upstream, _path):
    return True


def later(test, _upstream, _path):
    return test.age() > LATER_S


def one_route(_test, _upstream, path):
    return path.startswith("/u/")


def under_load(test, upstream, _path):
    """Bad from 0.6 of the load that it has once it serves all."""
    recent = time.monotonic() - 1
    total = sum(1 for version in ("v1", "v2")
                for it in test.arrivals(version)[-2000:] if it > recent)
    return upstream.rate() > 0.6 * total / len(NEXT)


def kill_decider(test):
    test.decider().process.kill()


def stop_store(test):
    test.store.is_down = True


def start_store(test):
    test.store.is_down = False


# Row: when version v2 is bad, how, and faults by the age of the order.
ROWS = {
    "good": (None, "", {}),
    "fails_at_once": (at_once, "fails", {}),
    "slow_at_once": (at_once, "slow", {}),
    "fails_later": (later, "fails", {}),
    "slow_later": (later, "slow", {}),
    "fails_under_load": (under_load, "fails", {}),
    "slow_under_load": (under_load, "slow", {}),
    "fails_on_one_route": (one_route, "fails", {}),
    "slow_on_one_route": (one_route, "slow", {}),
    "good_with_lost_decider": (None, "", {9.0: kill_decider}),
    "bad_with_lost_decider": (later, "fails", {LATER_S - 0.5: kill_decider}),
    "good_without_store": (None, "", {8.0: stop_store, 12.0: start_store}),
    "bad_without_store": (later, "fails", {8.0: stop_store,
                                           12.0: start_store}),
}


def main():
    row, binary, port = sys.argv[1:]
    is_bad, kind, faults = ROWS[row]
    test = Rollout(pathlib.Path(binary) / "acacia-sidecar", int(port), is_bad,
                   kind)
    try:
        time.sleep(2)
        test.order()
        state, age = test.play(faults)
        (test.check_bad if is_bad else test.check_good)(state, age)
    finally:
        test.stop()


if __name__ == "__main__":
    main()
