#!/usr/bin/env python3
"""Runs acacia-sidecar processes under random faults, reproducible by seed.

Usage: soak.py BIN_FOLDER PORT [--seeds FIRST-LAST] [--seconds S]
               [--restorations]

PORT is the first of 40 consecutive free ports. With --restorations, the store
is also restored from older copies of itself, at times in series. Faults are injected from
outside: by loopback proxies on the connections to the store, the upstreams and
the callers, by signals, and by the stand-ins. Safety is checked during the run
on what callers and upstreams observe. The exit status is 1 if a seed violated a
guarantee; the logs of that seed are kept.
"""
import argparse
import http.client
import os
import pathlib
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

from sidecar_process import (CALLERS, CONTROL, SERVICE, UPSTREAM,
                             SidecarProcess, configuration)
from standin_platform import Store, Upstream

NODES = 4
CLIENTS = 12
# With these settings, a revoked API key is refused within this time.
WITHDRAWN_KEY_S = 5.0
# Messages held back by a paused sender or a blocked connection may still arrive
# this long after it recovers.
LATE_MESSAGE_GRACE_S = 0.3
# Lease expiry, the delay of one candidate, and two heartbeats, counted from the
# end of the last fault.
RECOVERY_S = 15.0
# Timeout of the routes; longer than the drain time of a node.
LONGEST_CALL_S = 7.0
# A request refused with one of these statuses must never run.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)


def make_configuration(version, key):
    return configuration(version, key, {"safe": "/s/", "unsafe": "/u/"},
                         timeout="%ds" % LONGEST_CALL_S)


class Proxy:
    """Forwards TCP connections to one target; mode selects the fault."""

    MODES = ("slow", "silent", "cut_out", "cut_in", "closed")

    def __init__(self, listen, target):
        self.target, self.mode, self.connections = target, "open", set()
        self.disturbed_at = 0.0
        self.listener = socket.create_server(listen, reuse_port=False)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                client_socket, _ = self.listener.accept()
            except OSError:
                return
            if self.mode == "closed":
                client_socket.close()
                continue
            threading.Thread(target=self.bridge, args=(client_socket,),
                             daemon=True).start()

    def bridge(self, client_socket):
        try:
            server_socket = socket.create_connection(self.target, timeout=2)
        except OSError:
            client_socket.close()
            return
        server_socket.settimeout(None)
        self.connections.add((client_socket, server_socket))
        threading.Thread(target=self.forward,
                         args=(client_socket, server_socket, "cut_out"),
                         daemon=True).start()
        self.forward(server_socket, client_socket, "cut_in")
        self.connections.discard((client_socket, server_socket))

    def forward(self, source, sink, cut):
        try:
            while data := source.recv(65536):
                if self.mode == "slow":
                    time.sleep(0.2)
                while self.mode in ("silent", cut):
                    time.sleep(0.02)
                sink.sendall(data)
        except OSError:
            pass  # One side is gone, so both are closed below.
        for it in (source, sink):
            try:
                it.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # Already closed by the thread of the other direction.

    def set_mode(self, mode):
        self.disturbed_at = time.monotonic()
        self.mode = mode

    def reset(self):
        self.disturbed_at = time.monotonic()
        for client_socket, server_socket in list(self.connections):
            for it in (client_socket, server_socket):
                try:
                    it.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                  struct.pack("ii", 1, 0))
                    it.close()
                except OSError:
                    pass  # Already closed.

    def restore(self):
        self.set_mode("open")

    def close(self):
        # Unblocks accept(), which would keep the port in use.
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        self.reset()


class SafetyChecker:
    """Checks safety on what upstreams and callers observe: exclusive leases,
    non-decreasing fencing tokens, at-most-once execution, matching answers."""

    def __init__(self):
        self.lock = threading.Lock()
        self.upstreams, self.violations = [], []
        self.runs, self.sent, self.refused = {}, {}, {}
        self.tokens = {}
        self.withdrawn = {}
        self.last_restored_at = 0.0
        self.served = 0

    def report_violation(self, text):
        self.violations.append(text)

    def on_grant(self, upstream, rows, expiry):
        now = time.monotonic()
        with self.lock:
            for other in self.upstreams:
                if other is upstream or not other.is_up or now >= other.expiry:
                    continue
                for a in rows:
                    if any(a[0] <= b[1] and b[0] <= a[1] for b in other.held):
                        if now - self.last_restored_at > LATE_MESSAGE_GRACE_S:
                            self.report_violation(
                                "%s and %s both hold keys of %s" %
                                (upstream.name, other.name, a))
            for row in rows:
                # An instance is identified by its name and start time.
                current = (upstream.name, upstream.born)
                for key in (row[0], row[1]):
                    token, holder = self.tokens.get(key, (0, None))
                    if row[2] < token or row[2] == token and holder != current:
                        if now - self.last_restored_at > LATE_MESSAGE_GRACE_S:
                            self.report_violation(
                                "fencing token %d of key %d granted after %d" %
                                (row[2], key, token))
                    self.tokens[key] = max((token, holder or current),
                                           (row[2], current))

    def on_run(self, upstream, request_id, path):
        now = time.monotonic()
        with self.lock:
            count = self.runs[request_id] = self.runs.get(request_id, 0) + 1
            if path.startswith("/u/") and count > 1:
                self.report_violation("request %s ran twice" % request_id)
            if request_id in self.refused:
                self.report_violation(
                    "request %s ran after a refusal with %d" %
                    (request_id, self.refused[request_id]))
            key, sent = self.sent.get(request_id, (None, now))
            if key is None:
                self.report_violation(
                    "request %s ran but was never sent" % request_id)
            elif sent > self.withdrawn.get(key, sent) + WITHDRAWN_KEY_S:
                self.report_violation(
                    "request %s ran with a revoked API key" % request_id)

    def on_missing_answer(self, request_id, disturbed_at):
        """Called when a request fails or times out without an answer.
        disturbed_at is the last fault at its node or connection."""
        with self.lock:
            sent = self.sent[request_id][1]
            if request_id in self.runs and sent > disturbed_at:
                self.report_violation(
                    "request %s ran and got no answer in %.1f s" %
                    (request_id, time.monotonic() - sent))

    def on_answer(self, request_id, path, status, headers, body):
        with self.lock:
            ran = self.runs.get(request_id, 0)
            if headers.get("Request-Id") not in (None, request_id):
                self.report_violation(
                    "request %s got the answer to another request" % request_id)
            if status == 200:
                self.served += 1
                if body != b"whole" or not headers.get("Response-Signature"):
                    self.report_violation(
                        "request %s got an incomplete answer" % request_id)
                if ran == 0:
                    self.report_violation(
                        "request %s got status 200 but never ran" % request_id)
            if status in NOT_EXECUTED_STATUSES and path.startswith("/u/"):
                self.refused[request_id] = status
                if ran:
                    self.report_violation(
                        "request %s ran and was refused with %d" %
                        (request_id, status))


class Node(SidecarProcess):
    def __init__(self, binary, folder, index, port, checker):
        super().__init__(binary, folder, index, port)
        self.proxies = {
            "store": Proxy(self.address_of(11), ("127.0.0.1", port + 10)),
            "upstream": Proxy(self.address_of(12), self.address_of(UPSTREAM)),
            "control": Proxy(self.address_of(13), self.address_of(CONTROL)),
            "callers": Proxy(self.address_of(14), self.address_of(CALLERS))}
        self.entry = self.address_of(14)
        self.upstream = Upstream("u-%d" % index, SERVICE,
                                 self.address_of(UPSTREAM),
                                 self.address_of(13), checker)
        self.is_paused = False
        self.killed_at = 0.0
        self.launch(self.address_of(11), self.address_of(12))

    def kill(self):
        self.killed_at = time.monotonic()
        self.process.kill()
        self.process.wait()

    def disturbed_at(self):
        """Returns the last time at which a fault could affect callers."""
        if self.is_paused or self.proxies["callers"].mode != "open":
            return time.monotonic()
        return max(self.killed_at, self.proxies["callers"].disturbed_at)


class Soak:
    def __init__(self, binary, port, seed, has_restorations=False):
        self.seed, self.rng = seed, random.Random(seed)
        self.has_restorations = has_restorations
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="soak-%d-" % seed))
        self.checker = SafetyChecker()
        self.store = Store(("127.0.0.1", port + 10))
        self.version, self.key = 1, "key-1"
        self.store.put("keyed.op", "config",
                       make_configuration(1, self.key))
        self.nodes = [Node(binary, self.folder, n, port, self.checker)
                      for n in range(NODES)]
        self.checker.upstreams = [it.upstream for it in self.nodes]
        self.is_over, self.faults_are_over = False, threading.Event()
        self.scheduled = []

    def call(self, node, connection, path, key, deadline_s=0.8):
        request_id = os.urandom(8).hex()
        self.checker.sent[request_id] = (self.key, time.monotonic())
        body = b"x" * 100 if path.startswith("/u/") else None
        try:
            connection.request("POST" if body else "GET", path, body, {
                "Host": "h", "Request-Id": request_id,
                "Deadline-Ms": str(int(deadline_s * 1000)),
                "Shard-Key": str(key), "Authorization": "Bearer " + self.key})
            answer = connection.getresponse()
            data = answer.read()
        except (OSError, http.client.HTTPException):
            self.checker.on_missing_answer(request_id, node.disturbed_at())
            raise
        self.checker.on_answer(request_id, path, answer.status, answer.headers,
                            data)
        return answer.status

    def client(self, seed):
        rng = random.Random(seed)
        connections = {}
        while not self.is_over:
            node = rng.choice(self.nodes)
            connection = connections.get(node) or http.client.HTTPConnection(
                *node.entry, timeout=LONGEST_CALL_S + 1)
            connections[node] = connection
            try:
                self.call(node, connection, rng.choice(("/s/x", "/u/x")),
                          rng.randrange(65536),
                          rng.choice((0.8, LONGEST_CALL_S)))
            except (OSError, http.client.HTTPException):
                # Checked in call(); the next request reconnects.
                connection.close()
                connections.pop(node)
            time.sleep(rng.uniform(0.0, 0.1))

    def schedule(self, seconds, action):
        self.scheduled.append((time.monotonic() + seconds, action))

    def run_scheduled(self):
        now = time.monotonic()
        due_actions = [it for it in self.scheduled if it[0] <= now]
        self.scheduled = [it for it in self.scheduled if it[0] > now]
        for _, action in due_actions:
            action()

    def inject_fault(self):
        rng = self.rng
        node = rng.choice(self.nodes)
        duration_s = rng.uniform(0.1, 4)
        kind = rng.choice(("link", "link", "reset", "kill", "stop", "pause",
                            "reload", "crash", "store", "change"))
        getattr(self, "fault_" + kind)(node, duration_s)
        return kind

    def fault_link(self, node, duration_s):
        proxy = self.rng.choice(list(node.proxies.values()))
        proxy.set_mode(self.rng.choice(Proxy.MODES))
        self.schedule(duration_s, lambda: self.restore(proxy))

    def restore(self, proxy):
        proxy.restore()
        self.checker.last_restored_at = time.monotonic()

    def fault_reset(self, node, _):
        self.rng.choice(list(node.proxies.values())).reset()

    def restart(self, node, duration_s):
        def start():
            if node.is_running():
                node.kill()  # It has exceeded its drain time.
            node.start()
        self.schedule(duration_s, start)

    def fault_kill(self, node, duration_s):
        if node.is_running() and not node.is_paused:
            node.kill()
            self.restart(node, duration_s)

    def fault_stop(self, node, duration_s):
        if node.is_running() and not node.is_paused:
            node.process.send_signal(signal.SIGTERM)
            self.restart(node, 6 + duration_s)

    def fault_pause(self, node, duration_s):
        if not node.is_running() or node.is_paused:
            return
        process = node.process
        process.send_signal(signal.SIGSTOP)
        node.is_paused = True

        def resume():
            self.checker.last_restored_at = node.killed_at = time.monotonic()
            node.is_paused = False
            process.send_signal(signal.SIGCONT)
        self.schedule(duration_s, resume)

    def fault_reload(self, node, _):
        if node.is_running() and not node.is_paused:
            node.process.send_signal(signal.SIGHUP)

    def fault_crash(self, node, duration_s):
        if node.upstream.is_up:
            node.upstream.crash()
            self.schedule(max(0.1, duration_s), node.upstream.start)

    def fault_store(self, _, duration_s):
        field, value = self.rng.choice((("is_down", True), ("delay_s", 0.4),
                                         ("lost_share", 0.3), (None, None)))
        if field is None:
            self.store.forget()
            return
        setattr(self.store, field, value)
        self.schedule(
            duration_s, lambda: setattr(self.store, field, type(value)(0)))

    def fault_change(self, *_):
        self.version += self.rng.randrange(1, 4)
        old_key = self.key
        if self.rng.random() < 0.5:
            self.key = "key-%d" % self.version
        self.store.put("keyed.op", "config",
                       make_configuration(self.version, self.key))
        if old_key != self.key:
            self.checker.withdrawn[old_key] = time.monotonic()

    def stall_upstreams(self):
        """Stalls one upstream at a time, so that requests stay open across the
        other faults. Uses a generator of its own, so that the sequence of the
        other faults does not depend on it."""
        rng = random.Random(self.seed)
        while not self.faults_are_over.is_set():
            upstream = rng.choice(self.nodes).upstream
            time.sleep(rng.uniform(0.0, 2.0))
            upstream.may_complete.clear()
            self.faults_are_over.wait(rng.uniform(0.5, LONGEST_CALL_S))
            upstream.may_complete.set()

    def restore_store(self):
        """Restores the store from older copies until the faults are over. Uses a
        generator of its own, as stall_upstreams does."""
        rng = random.Random(self.seed)
        while not self.faults_are_over.wait(rng.uniform(1.0, 8.0)):
            for _ in range(rng.choice((1, 1, 2, 4))):
                self.store.restore(rng.uniform(0.0, 6.0), rng.uniform(0.0, 1.5))
                time.sleep(rng.uniform(0.0, 1.5))

    def run(self, seconds):
        threads = [threading.Thread(target=self.client, args=(n,), daemon=True)
                   for n in range(CLIENTS)]
        threads.append(threading.Thread(target=self.stall_upstreams,
                                        daemon=True))
        restorer = threading.Thread(target=self.restore_store, daemon=True)
        if self.has_restorations:
            threads.append(restorer)
        time.sleep(4)
        for it in threads:
            it.start()
        kinds = []
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            kinds.append(self.inject_fault())
            pause = time.monotonic() + self.rng.uniform(0.1, 1.5)
            while time.monotonic() < pause:
                self.run_scheduled()
                time.sleep(0.02)
        while self.scheduled:
            self.run_scheduled()
            time.sleep(0.02)
        self.faults_are_over.set()
        if self.has_restorations:
            restorer.join()
        self.check_recovery()
        self.is_over = True
        for it in threads:
            it.join(2 * LONGEST_CALL_S)
        self.stop()
        return kinds

    def check_recovery(self):
        end = time.monotonic() + RECOVERY_S
        missing = None
        while time.monotonic() < end and missing != 0:
            missing = 0
            for node in self.nodes:
                connection = http.client.HTTPConnection(*node.entry, timeout=2)
                for key in range(0, 65536, 8192):
                    try:
                        missing += self.call(
                            node, connection, "/s/x", key) != 200
                    except (OSError, http.client.HTTPException):
                        missing += 1
                        connection.close()
                connection.close()
        if missing:
            self.checker.report_violation(
                "%d requests not served at the end of recovery" % missing)

    def stop(self):
        for node in self.nodes:
            if node.is_running():
                node.process.send_signal(signal.SIGTERM)
        for node in self.nodes:
            try:
                code = node.process.wait(8)
            except subprocess.TimeoutExpired:
                code = "none"
            if code != 0:
                self.checker.report_violation("exit status %s" % code)

    def close(self):
        for node in self.nodes:
            if node.is_running():
                node.process.kill()
                node.process.wait()
            node.upstream.crash()
            for it in node.proxies.values():
                it.close()
            node.log.close()
        self.store.server.close()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("binaries", type=pathlib.Path)
    parser.add_argument("port", type=int)
    parser.add_argument("--seeds", default="1-1")
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--restorations", action="store_true")
    args = parser.parse_args()
    first, last = map(int, args.seeds.split("-"))
    failed = 0
    for seed in range(first, last + 1):
        soak = Soak(args.binaries / "acacia-sidecar", args.port, seed,
                    args.restorations)
        try:
            kinds = soak.run(args.seconds)
        finally:
            soak.close()
        violations = soak.checker.violations
        failed += bool(violations)
        print("seed %d: %s, %d served, %d faults injected, %d restorations%s" %
              (seed, "FAILED" if violations else "kept", soak.checker.served,
               len(kinds), soak.store.era, ", logs in %s" % soak.folder if violations else ""))
        for it in violations[:5]:
            print("  " + it)
        sys.stdout.flush()
    print("%d passed, %d failed" % (last - first + 1 - failed, failed))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
