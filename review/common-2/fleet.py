"""A small deployment on loopback addresses for the scripts of this review.

Starts target/bin/acacia-sidecar with deploy/sidecar.toml.in. The store is the
stand-in of Tests/Processes; the servers are here.
"""
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "Tests" / "Processes"))
from standin_platform import Handler, Server, Store  # noqa: E402

BINARY = ROOT / "target" / "bin" / "acacia-sidecar"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2

# Lets Fleet.close() run if the script is ended early.
signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))

# As in the site file and the settings of a small deployment.
HEARTBEAT_S, GRACE_S = 1.5, 6.0
# Offsets of the ports from the first one.
OUTBOUND, INBOUND, READY, CONTROL, APP, INTERNAL, STORE = 0, 1, 2, 3, 4, 5, 9


class Record:
    """Writes record.txt; each line has the time since the start."""

    def __init__(self, folder):
        self.file = open(folder / "record.txt", "w")
        self.start, self.lock = time.monotonic(), threading.Lock()

    def write(self, text, *values):
        with self.lock:
            self.file.write("%8.3f  %s\n" % (time.monotonic() - self.start,
                                             text % values))
            self.file.flush()


def free_base(hosts, ports):
    """Returns a first port from which `ports` are free on all hosts."""
    for base in range(21000, 32000, 50):
        sockets = []
        try:
            for host in hosts:
                for n in range(ports):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        it = socket.socket(socket.AF_INET, kind)
                        sockets.append(it)
                        it.bind((host, base + n))
            return base
        except OSError:
            continue
        finally:
            for it in sockets:
                it.close()
    raise RuntimeError("no free ports")


def configuration(version, services, routes, tenants=()):
    """routes: (path, service, kind, public, timeout)."""
    return json.dumps({
        "version": "%08x" % version,
        "routes": [{"name": path.strip("/"), "host": "h", "pathPrefix": path,
                    "service": service, "kind": kind, "timeout": timeout,
                    "latencySlo": "500ms", "priority": 1, "maxAttempts": 2,
                    "public": public}
                   for path, service, kind, public, timeout in routes],
        "services": [{"name": name, "healthPath": "/healthz",
                      "maxConnections": 120, "coldStart": "3s",
                      "coldPerS": 28, "sharded": sharded, "warmup": "2s"}
                     for name, sharded in services],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
                   "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
        "tenants": list(tenants)}).encode()


class Node:
    """One sidecar process; each has its own loopback address."""

    def __init__(self, fleet, index, service, zone):
        self.fleet, self.service, self.zone = fleet, service, zone
        self.name, self.host = "node-%d" % index, "127.0.0.%d" % (index + 2)
        self.settings = fleet.folder / (self.name + ".toml")
        self.log = open(fleet.folder / (self.name + ".log"), "a")
        self.process = None

    def address(self, port):
        return self.host, self.fleet.base + port

    def start(self):
        text = (ROOT / "deploy" / "sidecar.toml.in").read_text()
        at = lambda port: "%s:%d" % self.address(port)
        for name, value in {
                "nodeName": self.name, "zone": self.zone,
                "service": self.service, "ip": self.host,
                "listen.outbound": at(OUTBOUND),
                "listen.inbound": at(INBOUND), "listen.ready": at(READY),
                "listen.control": at(CONTROL), "appAddr": at(APP),
                "internalPorts.0": self.fleet.base + INTERNAL,
                "internalPorts.1": self.fleet.base + INTERNAL + 1,
                "heartbeat": "%dms" % (HEARTBEAT_S * 1000),
                "platform.address": "%s:%d" % self.fleet.store_address,
                "bounds.holdMax": "10000ms", "bounds.revoke": "5000ms",
                "bounds.configApply": "2000ms",
                "bounds.grace": "%ds" % GRACE_S, "bounds.quotaWindow": "5s",
                "bounds.retryBudgetRatio": 0.2,
                "bounds.budgetSlack": 60}.items():
            text = text.replace("{{%s}}" % name, str(value))
        assert "{{" not in text, text
        self.settings.write_text(text)
        self.process = subprocess.Popen(
            [str(BINARY), "--settings", str(self.settings)], cwd=ROOT,
            stdout=self.log, stderr=self.log)

    def is_ready(self):
        try:
            return ask(self.address(READY), "GET", "/ready", {}, b"", 1)[0] == 200
        except OSError:
            return False

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()


class Fleet:
    def __init__(self, folder, services_of_nodes, zones=("z-a", "z-b", "z-c")):
        if not BINARY.exists():
            print("target/bin/acacia-sidecar is missing")
            sys.exit(NOT_RUN)
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        hosts = ["127.0.0.%d" % (n + 2) for n in range(len(services_of_nodes))]
        self.base = free_base(hosts, 10)
        self.store_address = (hosts[0], self.base + STORE)
        self.store = Store(self.store_address)
        self.nodes = [Node(self, n, service, zones[n % len(zones)])
                      for n, service in enumerate(services_of_nodes)]

    def close(self):
        for it in self.nodes:
            if it.process and it.process.poll() is None:
                it.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for it in self.folder.glob("*.log"):
                (pathlib.Path(keep) / it.name).write_bytes(it.read_bytes())
        self.temporary.cleanup()


def ask(address, method, path, fields, body, timeout):
    """Returns (status, body); status 0 if the connection ended without one."""
    connection = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        connection.request(method, path, body, fields)
        answer = connection.getresponse()
        return answer.status, answer.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        connection.close()


class KeyedTarget:
    """A server of the platform beside one node, whose service is divided by
    key."""

    def __init__(self, node, slots=18):
        self.node, self.record, self.slots = node, node.fleet.record, slots
        self.id = "i-" + os.urandom(4).hex()
        self.born = int(time.time() * 1000)
        self.seq, self.sent_at, self.is_up = 0, 0.0, True
        # Rows [from, to, fence], until when they are held, and rows that were
        # released since the last acknowledged heartbeat.
        self.held, self.until, self.freed = [], 0.0, []
        self.fences, self.hurry = {}, False
        self.lock = threading.Lock()
        target = self

        class TargetHandler(Handler):
            def do_GET(self):
                target.serve(self)

            do_POST = do_GET

        self.server = Server(node.address(APP), TargetHandler)
        threading.Thread(target=self.beat_on, daemon=True).start()

    def rows(self):
        """Returns what the server holds now."""
        with self.lock:
            return list(self.held) if time.monotonic() < self.until else []

    def serve(self, call):
        call.read_body()
        name = call.headers.get("Request-Id", "")
        key = int(call.headers.get("Shard-Key", -1))
        fields = [("Request-Id", name)]
        if (call.headers.get("Expected-Instance") != self.id
                or not any(it[0] <= key <= it[1] for it in self.rows())):
            call.answer(421, b"", fields + [("Not-Executed", "1")])
            return
        self.record.write("%s runs %s", self.id, name)
        call.answer(200, b"done " + name.encode(),
                    fields + [("Response-Signature", "s." + name)])

    def beat(self):
        self.seq += 1
        rows, freed = self.rows(), self.freed
        sent = self.sent_at = time.monotonic()
        status, data = ask(
            self.node.address(CONTROL), "PUT", "/instances/" + self.id,
            {"Content-Type": "application/json"},
            json.dumps({
                "address": "%s:%d" % self.node.address(APP),
                "born": self.born,
                "info": {"service": self.node.service, "version": "v1",
                         "zone": self.node.zone, "slots": self.slots},
                "status": {"state": "ready", "seq": self.seq,
                           "coldRemaining": "0ms"},
                "holds": rows, "freed": freed}), 1)
        if status != 200:
            self.record.write("%s heartbeat %d: %d", self.id, self.seq, status)
            return
        self.freed, self.hurry = [], False
        answer = json.loads(data or b"{}")
        if "holds" not in answer:
            self.record.write("%s heartbeat %d: acknowledged, nothing renewed",
                              self.id, self.seq)
            return
        granted = [it[:3] for it in answer["holds"]
                   if it[2] >= self.fences.get((it[0], it[1]), 0)]
        self.fences.update({(it[0], it[1]): it[2] for it in granted})
        gone = [it for it in rows if it not in granted]
        self.freed = [[it[0], it[1], os.urandom(8).hex()] for it in gone]
        self.hurry = bool(gone)
        if granted != rows:
            self.record.write("%s heartbeat %d: holds %s for %s", self.id,
                              self.seq, granted, answer["hold_time"])
        with self.lock:
            self.held = granted
            self.until = sent + float(answer["hold_time"][:-2]) / 1000

    def beat_on(self):
        while self.is_up:
            self.beat()
            pause = 0.05 if self.hurry else HEARTBEAT_S
            time.sleep(max(0.0, self.sent_at + pause - time.monotonic()))


class OverlapWatch(threading.Thread):
    """Measures for how long two servers that are up hold the same keys."""

    def __init__(self, targets):
        super().__init__(daemon=True)
        self.targets, self.longest_s, self.stopping = targets, 0.0, False
        self.since = {}

    def run(self):
        while not self.stopping:
            now = time.monotonic()
            held = [(it, it.rows()) for it in self.targets if it.is_up]
            for n, (a, rows) in enumerate(held):
                for b, others in held[n + 1:]:
                    pair = (a.id, b.id)
                    shared = [(max(x[0], y[0]), min(x[1], y[1]))
                              for x in rows for y in others
                              if x[0] <= y[1] and y[0] <= x[1]]
                    if not shared:
                        if pair in self.since:
                            a.record.write("%s and %s share no keys any more",
                                           *pair)
                        self.since.pop(pair, None)
                        continue
                    if pair not in self.since:
                        self.since[pair] = now
                        a.record.write("%s and %s both hold %s", *pair, shared)
                    self.longest_s = max(self.longest_s,
                                         now - self.since[pair])
            time.sleep(0.005)


def wait_for(condition, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.05)
    return False
