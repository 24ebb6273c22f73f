"""Starts and stops a whole deployment on loopback, for the demo, the process
tests and the experiments. Processes are ended by their ids alone."""

import json
import os
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BINARIES = os.environ.get("ACACIA_BIN", os.path.join(ROOT, "build/release/bin"))
OPERATOR_TOKEN = "demo-operator-token"

SERVICES = {
    "sondagem": [("questionnaires", 5), ("interviews", 4), ("recordings", 3)],
    "agency": [("catalogue", 5), ("leases", 4), ("tenders", 3)],
}
DATA_CENTRES = {
    "sondagem": ["pt-norte-a", "pt-norte-b", "pt-norte-c"],
    "agency": ["ro-east-a", "ro-east-b", "ro-east-c"],
}
SLOTS = {"sondagem": 12, "agency": 18}
READY_TIMEOUT_S = 20
CREDIT_WAIT_S = 6


class PortPool:
    """Hands out ports below the range from which the system takes those of
    outgoing connections, so that nobody takes one before its program binds
    it."""

    FIRST = 10000
    COUNT = 20000

    def __init__(self):
        self.next = os.getpid() * 101 % self.COUNT

    def take(self):
        for _ in range(self.COUNT):
            port = self.FIRST + self.next
            self.next = (self.next + 1) % self.COUNT
            with socket.socket() as it:
                try:
                    it.bind(("127.0.0.1", port))
                    return port
                except OSError:
                    continue
        raise RuntimeError("no free port")


PORTS = PortPool()


def free_port():
    """Returns a TCP port that is not in use."""
    return PORTS.take()


def http_json(method, url, body=None, token=OPERATOR_TOKEN, timeout=5):
    """Sends one request with a JSON body and returns (status, decoded)."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data=data, method=method)
    request.add_header("Content-Type", "application/json")
    if token:
        request.add_header("Authorization", "Bearer " + token)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as it:
            raw, status = it.read(), it.status
    except urllib.error.HTTPError as error:
        raw, status = error.read(), error.code
    try:
        return status, json.loads(raw or b"null")
    except ValueError:
        return status, raw.decode(errors="replace")


class Process:
    """One started program and the file that holds its standard error."""

    def __init__(self, name, arguments, folder):
        self.name = name
        self.arguments = arguments
        self.log_path = os.path.join(folder, name + ".log")
        self.log = open(self.log_path, "ab")
        self.child = subprocess.Popen(
            arguments, stdin=subprocess.DEVNULL, stdout=self.log,
            stderr=self.log, start_new_session=True)

    def signal(self, number):
        if self.child.poll() is None:
            os.kill(self.child.pid, number)

    def wait(self, timeout):
        try:
            return self.child.wait(timeout)
        except subprocess.TimeoutExpired:
            return None

    def is_running(self):
        return self.child.poll() is None


class Instance:
    """An upstream and the node beside it."""

    def __init__(self, fleet, name, service, data_centre):
        self.fleet = fleet
        self.name = name
        self.service = service
        self.data_centre = data_centre
        self.callers = "127.0.0.1:%d" % free_port()
        self.admin = "127.0.0.1:%d" % free_port()
        self.peers = "127.0.0.1:%d" % free_port()
        self.orders = "127.0.0.1:%d" % free_port()
        self.node = None
        self.upstream = None

    def start_node(self):
        path = os.path.join(self.fleet.folder, self.name + ".toml")
        with open(path, "w") as it:
            it.write(self.fleet.node_settings(self))
        self.node = Process("node-" + self.name, [
            os.path.join(BINARIES, "acacia-node"), "--settings", path],
            self.fleet.folder)

    def start_upstream(self, extra=()):
        self.upstream = Process("upstream-" + self.name, [
            os.path.join(BINARIES, "acacia-standin-upstream"),
            "--listen", self.orders, "--service", self.service,
            "--name", self.name, "--node_admin", self.admin,
            "--slots", str(self.fleet.slots), *self.fleet.upstream_flags,
            *extra], self.fleet.folder)

    def stats(self):
        return http_json("GET", "http://%s/acacia/stats" % self.orders)[1]

    def fault(self, **body):
        return http_json("POST", "http://%s/acacia/faults" % self.orders, body)


class Fleet:
    """A deployment: the log, and instances over three data centres."""

    def __init__(self, kind="sondagem", upstream_flags=(), services=None,
                 log_flags=()):
        self.kind = kind
        self.slots = SLOTS[kind]
        self.upstream_flags = list(upstream_flags)
        self.folder = tempfile.mkdtemp(prefix="acaciaroad-")
        self.log_address = "127.0.0.1:%d" % free_port()
        self.log_flags = list(log_flags)
        self.log = None
        self.instances = []
        centres = DATA_CENTRES[kind]
        number = 0
        for service, count in services or SERVICES[kind]:
            for n in range(count):
                self.instances.append(Instance(
                    self, "%s-%d" % (service, n), service,
                    centres[number % len(centres)]))
                number += 1
        self.keys = {}

    def node_settings(self, it):
        import hashlib
        digest = hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
        return "\n".join([
            "[node]", 'name = "%s"' % it.name,
            'data_centre = "%s"' % it.data_centre,
            "[callers]", 'listen = "%s"' % it.callers,
            "[peers]", 'listen = "%s"' % it.peers,
            "[administration]", 'listen = "%s"' % it.admin,
            "[[administration.tokens]]", 'name = "demo"',
            'role = "operator"', 'sha256 = "%s"' % digest,
            "[log]", 'address = "%s"' % self.log_address, ""])

    def start(self):
        self.log = Process("log", [
            os.path.join(BINARIES, "acacia-standin-log"),
            "--listen", self.log_address, *self.log_flags], self.folder)
        self.await_ready("http://%s/stats" % self.log_address)
        for it in self.instances:
            it.start_node()
        for it in self.instances:
            self.await_ready("http://%s/v1/status" % it.admin)
            it.start_upstream()

    def await_ready(self, url):
        deadline = time.monotonic() + READY_TIMEOUT_S
        while True:
            try:
                status, _ = http_json("GET", url, timeout=2)
                if status == 200:
                    return
            except OSError:
                pass
            if time.monotonic() > deadline:
                raise RuntimeError("not ready: " + url)
            time.sleep(0.05)

    def status(self, node=0):
        return http_json("GET", "http://%s/v1/status" %
                         self.instances[node].admin)[1]

    def await_members(self):
        """Waits until every node counts every instance as live."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            counts = [len([i for i in self.status(n)["instances"]
                           if i["state"] == "live"])
                      for n in range(len(self.instances))]
            if min(counts) == len(self.instances):
                return
            time.sleep(0.1)
        raise RuntimeError("members: %s" % counts)

    def await_credit(self):
        """Waits out the time in which a new owner of an account grants
        nothing, and lets the buckets fill."""
        time.sleep(CREDIT_WAIT_S)

    def ctl(self, *arguments, node=0, check=True):
        """Runs acaciactl against one node and returns its output."""
        done = subprocess.run([
            os.path.join(BINARIES, "acaciactl"),
            "--node", self.instances[node].admin, "--token", OPERATOR_TOKEN,
            *arguments], capture_output=True, text=True, timeout=60)
        if check and done.returncode != 0:
            raise RuntimeError("acaciactl %s: %d: %s%s" % (
                " ".join(arguments), done.returncode, done.stdout, done.stderr))
        return done.stdout

    def grant_keys(self, accounts):
        for it in accounts:
            out = json.loads(self.ctl("--output", "json", "key", "grant", it))
            self.keys[it] = out["key"]
        return self.keys

    def processes(self):
        found = [p for i in self.instances for p in (i.node, i.upstream) if p]
        return found + ([self.log] if self.log else [])

    def stop(self, timeout=15):
        """Stops nodes, then upstreams, then the log; returns the exit codes
        of the nodes by name."""
        nodes = [i.node for i in self.instances if i.node]
        for it in nodes:
            it.signal(signal.SIGCONT)
            it.signal(signal.SIGTERM)
        codes = {it.name: it.wait(timeout) for it in nodes}
        rest = [p for p in self.processes() if p not in nodes]
        for it in rest:
            it.signal(signal.SIGTERM)
        for it in rest:
            it.wait(timeout)
        for it in self.processes():
            it.signal(signal.SIGKILL)
            it.wait(timeout)
            it.log.close()
        return codes
