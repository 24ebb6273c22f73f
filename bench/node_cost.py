#!/usr/bin/env python3
"""Prints what a request costs two acacia-sidecar processes, by kind of request
and size of body: processor time, turns (times that a thread was given a
processor) and system calls.

Usage: node_cost.py BIN_FOLDER PORT [--requests N] [--rate N] [--row NAME]
       [--nodes N] [--idle] [--strace]

PORT is the first of 40 consecutive free ports. Processor time and turns come
from /proc, without the callers and the upstreams; what the processes spend
while idle is taken off. More nodes than two only add to what is idle. With
--strace the system calls are counted, which slows the processes down, so that
their times aren't comparable."""
import argparse
import http.client
import os
import pathlib
import re
import signal
import subprocess
import sys
import tempfile
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "Tests", "Processes"))
from sidecar_process import (CALLERS, CONTROL, SERVICE, UPSTREAM,  # noqa: E402
                             SidecarProcess, configuration)
from standin_platform import Store, Upstream  # noqa: E402

# Connections of callers, each with one request at a time.
CALLER_COUNT = 4
IDLE_S = 4
# Nodes have the addresses 127.0.0.101 and on; outgoing connections of other
# programs on the machine leave 127.0.0.1 with ports in use.
STORE_HOST = "127.0.0.100"
FIRST_NODE = 100
READY_TIMEOUT_S = 90
ACCOUNT_KEY = "secret-key"
REQUEST_TIMEOUT_MS = 5000

# Name, whether another node than the entry holds the key, size of the
# request's and of the answer's body in bytes, whether each request comes on a
# new connection, the status of the answer, and the time of work in ms.
ROWS = (
    ("local", False, 0, 1000, False, 200, 0),
    ("forwarded", True, 0, 1000, False, 200, 0),
    ("forwarded, new connections", True, 0, 1000, True, 200, 0),
    ("forwarded, body 4 KB", True, 4 << 10, 1000, False, 200, 0),
    ("forwarded, body 64 KB", True, 64 << 10, 1000, False, 200, 0),
    ("forwarded, answer 90 KB", True, 0, 90000, False, 200, 0),
    ("forwarded, 60 ms of work", True, 0, 1000, False, 200, 60),
    ("refused, no route", False, 0, 0, False, 404, 0),
)


class QuickUpstream(Upstream):
    """Answers after the time of work, head and body in one write."""

    def serve(self, call):
        call.read_body()
        work, size = (int(it) for it in call.path.split("/")[2:])
        time.sleep(work / 1000)
        head = ("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s\r\n"
                "Server-Load: 1,0,8,100\r\nContent-Type: text/plain\r\n"
                "Content-Length: %d\r\n\r\n" %
                (call.headers["Request-Id"], size))
        call.wfile.write(head.encode() + b"x" * size)


class Node(SidecarProcess):
    def __init__(self, binary, folder, index, first_port):
        super().__init__(binary, folder, index, first_port)
        self.upstream = QuickUpstream("u-%d" % index, SERVICE,
                                      self.address_of(UPSTREAM),
                                      self.address_of(CONTROL))
        self.launch((STORE_HOST, first_port + 10))

    def usage(self):
        """Returns [processor seconds, turns] of all threads."""
        out = [0.0, 0]
        for it in os.listdir("/proc/%d/task" % self.process.pid):
            with open("/proc/%d/task/%s/schedstat" %
                      (self.process.pid, it)) as file:
                ran, _, turns = file.read().split()
            out[0] += int(ran) / 1e9
            out[1] += int(turns)
        return out


class Caller(threading.Thread):
    def __init__(self, entry, key, row, count, interval):
        super().__init__()
        self.address, self.key, self.row = entry.address_of(CALLERS), key, row
        self.count, self.interval, self.failed = count, interval, 0
        self.connection = None

    def run(self):
        due = time.monotonic()
        for _ in range(self.count):
            due += self.interval
            time.sleep(max(0.0, due - time.monotonic()))
            try:
                self.send()
            except (OSError, http.client.HTTPException):
                self.connection = None
                self.failed += 1

    def send(self):
        _, _, body, answer, is_new, status, work = self.row
        if self.connection is None:
            self.connection = http.client.HTTPConnection(
                *self.address, timeout=REQUEST_TIMEOUT_MS / 1000)
        path = ("/s/%d/%d" % (work, answer) if status == 200 else "/none/0")
        self.connection.request("POST", path, b"x" * body, headers={
            "Host": "h", "Request-Id": os.urandom(16).hex(),
            "Deadline-Ms": str(REQUEST_TIMEOUT_MS), "User-Agent": "caller/1.0",
            "Accept": "*/*", "Content-Type": "application/octet-stream",
            "Shard-Key": str(self.key),
            "Authorization": "Bearer " + ACCOUNT_KEY})
        got = self.connection.getresponse()
        got.read()
        if got.status != status:
            self.failed += 1
        if is_new:
            self.connection.close()
            self.connection = None


class Bench:
    def __init__(self, options, folder):
        self.options = options
        port, binary = options.port, pathlib.Path(
            options.binaries) / "acacia-sidecar"
        self.store = Store((STORE_HOST, port + 10))
        self.store.put("keyed.op", "config", configuration(
            1, ACCOUNT_KEY, {"safe": "/s/"}, "%dms" % REQUEST_TIMEOUT_MS))
        self.nodes = []
        for n in range(options.nodes):
            self.nodes.append(Node(binary, folder, FIRST_NODE + n, port))

    def await_ready(self):
        end = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end:
            time.sleep(0.5)
            if all(it.upstream.held for it in self.nodes[:2]) and all(
                    self.send(n, row, 8, 0.05) == 0
                    for n in range(2) for row in ROWS[:2]):
                return
        raise AssertionError("the nodes don't serve after %d s" %
                             READY_TIMEOUT_S)

    def send(self, entry, row, count, interval):
        """Returns the number of requests that failed."""
        holder = self.nodes[1 - entry if row[1] else entry]
        held = holder.upstream.held
        if not held:
            return count
        callers = [Caller(self.nodes[entry], held[0][0], row,
                          count // CALLER_COUNT, interval)
                   for _ in range(CALLER_COUNT)]
        for n, it in enumerate(callers):
            time.sleep(interval / CALLER_COUNT if n else 0)
            it.start()
        for it in callers:
            it.join()
        return sum(it.failed for it in callers)

    def usage(self):
        return [sum(it) for it in zip(*(node.usage() for node in self.nodes))]

    def idle(self):
        """Returns [processor seconds, turns] a second of all nodes."""
        before = self.usage()
        time.sleep(IDLE_S)
        return [(b - a) / IDLE_S for a, b in zip(before, self.usage())]

    def measure(self, row, idle):
        count = self.options.requests
        interval = CALLER_COUNT / self.options.rate
        self.send(0, row, 8, 0.02)
        started, before = time.monotonic(), self.usage()
        tools = [subprocess.Popen(
            ["strace", "-f", "-c", "-o", str(it.file) + ".strace", "-p",
             str(it.process.pid)], stderr=subprocess.DEVNULL)
            for it in self.nodes if self.options.strace]
        time.sleep(1 if tools else 0)
        failed = self.send(0, row, count, interval)
        took, after = time.monotonic() - started, self.usage()
        own = [b - a - took * it for a, b, it in zip(before, after, idle)]
        print("%-28s %8.0f us %6.1f turns  failed %d of %d" % (
            row[0], 1e6 * own[0] / count, own[1] / count, failed, count),
              flush=True)
        for it in tools:
            it.send_signal(signal.SIGINT)
            it.wait()
        if tools:
            self.print_calls(count)

    def print_calls(self, count):
        calls = {}
        for node in self.nodes:
            for it in pathlib.Path(str(node.file) + ".strace").read_text(
            ).splitlines():
                found = re.match(r"\s*[\d.]+\s+[\d.]+\s+\d+\s+(\d+)\s+"
                                 r"(?:\d+\s+)?(\w+)$", it)
                if found and found[2] != "total":
                    calls[found[2]] = calls.get(found[2], 0) + int(found[1])
        total = sum(calls.values())
        print("  system calls a request %.1f: %s" % (
            total / count, ", ".join(
                "%s %.2f" % (name, n / count) for name, n in sorted(
                    calls.items(), key=lambda it: -it[1]) if n > count / 20)),
              flush=True)

    def run(self):
        self.await_ready()
        idle = self.idle()
        n = len(self.nodes)
        print("idle: %.2f%% of a core and %.0f turns a second, each of %d "
              "nodes" % (100 * idle[0] / n, idle[1] / n, n), flush=True)
        if self.options.idle:
            return
        for it in ROWS:
            if self.options.row in (None, it[0]):
                self.measure(it, idle)

    def stop(self):
        for it in self.nodes:
            it.process.terminate()
        for it in self.nodes:
            it.process.wait()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("binaries")
    parser.add_argument("port", type=int)
    parser.add_argument("--requests", type=int, default=800)
    parser.add_argument("--rate", type=float, default=200)
    parser.add_argument("--row", choices=[it[0] for it in ROWS])
    parser.add_argument("--nodes", type=int, default=2)
    parser.add_argument("--idle", action="store_true",
                        help="measure no requests")
    parser.add_argument("--strace", action="store_true")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        bench = Bench(options, pathlib.Path(folder))
        try:
            bench.run()
        finally:
            bench.stop()


if __name__ == "__main__":
    main()
