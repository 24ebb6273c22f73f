"""A small deployment with request classes, accounts and API keys, a load
generator, and the invariants that must hold after any fault."""

import json
import os
import subprocess
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tools"))

import fleet  # noqa: E402

SERVICES = [("questionnaire", 3), ("interview", 3), ("recording", 2)]
CLASSES = {
    "questionnaire": {"key": "path_segment", "execution": "idempotent"},
    "interview": {"key": "path_segment", "execution": "at_most_once"},
    "recording": {"key": "none", "execution": "idempotent"},
}
ACCOUNTS = {"large": (200, 400), "small": (20, 40)}
OUTCOMES = os.path.join(os.path.dirname(os.path.abspath(__file__)),
                        "outcomes.toml")
READY_TIMEOUT_S = 40
# The load report assumes that the token bucket of an account is full at the
# start; a new bucket is empty and takes burst / rate seconds to fill.
BUCKET_FILL_TIME_S = max(burst / rate for rate, burst in ACCOUNTS.values()) + 1
LOAD_TIMEOUT_S = 120


class Deployment:
    """A fleet of processes with services, request classes and accounts."""

    def __init__(self, upstream_flags=("--work_ms", "4",
                                       "--cold_start_ms", "500"),
                 log_flags=()):
        self.fleet = fleet.Fleet(
            "sondagem", upstream_flags=upstream_flags, services=SERVICES,
            log_flags=log_flags)
        self.keys = {}

    def start(self):
        self.fleet.start()
        self.wait_for(self.are_all_joined, "all instances joined")
        for name, body in CLASSES.items():
            self.put("classes", name, {
                "path_prefix": "/" + name, "service": name,
                "deadline_ms": 1500, "latency_target_ms": 100, **body})
        for name, (rate, burst) in ACCOUNTS.items():
            self.put("accounts", name,
                     {"rate_per_second": rate, "burst": burst})
            self.wait_for(lambda n=name: self.issue_key(n),
                          "API key of " + name)
        self.wait_for(self.are_all_served, "every class served")
        time.sleep(BUCKET_FILL_TIME_S)

    def admin(self, method, path, body=None, node=0, timeout=10):
        return fleet.http_json(method, "http://%s%s" % (
            self.fleet.instances[node].admin, path), body, timeout=timeout)

    def put(self, collection, name, body):
        path = "/v1/%s/%s" % (collection, name)

        def attempt():
            status, answer = self.admin("PUT", path, {"basis": 0, **body})
            if status >= 300:
                self.last_error = (status, answer)
            return status < 300 or self.admin("GET", path)[0] == 200
        self.wait_for(attempt, "PUT " + path)

    def issue_key(self, account):
        status, answer = self.admin("POST", "/v1/keys", {"account": account})
        if status >= 300:
            self.last_error = (status, answer)
            return False
        self.keys[account] = answer["key"]
        return True

    def are_all_joined(self):
        status, answer = self.admin("GET", "/v1/status")
        self.last_error = (status, answer)
        return status == 200 and all(
            it["unserved"] == 0 for it in answer["services"]) and len(
                answer["instances"]) == len(self.fleet.instances)

    def call(self, path, node=0, method="GET", account="large"):
        return fleet.http_json(method, "http://%s%s" % (
            self.fleet.instances[node].callers, path), None,
            token=self.keys[account], timeout=5)

    def are_all_served(self):
        for name in CLASSES:
            for node in range(len(self.fleet.instances)):
                path = "/%s/warm/%d" % (name, node)
                if name == "interview":
                    continue
                self.last_error = self.call(path, node)
                if self.last_error[0] != 200:
                    return False
        return True

    def wait_for(self, condition, what, timeout=READY_TIMEOUT_S):
        self.last_error = None
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            try:
                if condition():
                    return
            except OSError as error:
                self.last_error = error
            time.sleep(0.1)
        raise AssertionError("timed out after %d s: %s (last result: %s)" % (
            timeout, what, self.last_error))

    def start_load(self, experiment="sondagem", name="load", **variables):
        """Starts acacia-load on bench/EXPERIMENT.toml."""
        out = os.path.join(self.fleet.folder, name + ".json")
        values = {
            "name": name,
            "targets": ",".join(i.callers for i in self.fleet.instances),
            "key_large": self.keys["large"],
            "key_small": self.keys["small"], **variables}
        process = subprocess.Popen(
            [os.path.join(fleet.BINARIES, "acacia-load"), "--json", out,
             "--log", os.path.join(self.fleet.folder, name + ".log"),
             os.path.join(ROOT, "bench", experiment + ".toml"),
             *("%s=%s" % it for it in values.items())],
            stdout=subprocess.PIPE, text=True)
        return LoadRun(process, out)

    def upstream_json(self, path):
        return [fleet.http_json("GET", "http://%s%s" % (i.orders, path))[1]
                for i in self.fleet.instances if i.upstream]

    def stop(self):
        return self.fleet.stop()


class Replay:
    """Runs acacia-replay on all logs of a deployment."""

    BROKEN = 1
    NOT_JUDGED = 3
    # Every load exercises these rules, so each must reach a verdict.
    REQUIRED_RULES = ("sole_owner", "runs_once", "account_rate", "own_answer")

    def __init__(self, folder):
        self.logs = sorted(
            os.path.join(folder, it) for it in os.listdir(folder)
            if it.endswith(".log"))

    def run(self):
        return subprocess.run(
            [os.path.join(fleet.BINARIES, "acacia-replay"), "--outcomes",
             OUTCOMES, *self.logs], capture_output=True, text=True)

    def check(self):
        """Prints the verdicts and returns a list of violation messages."""
        completed = self.run()
        print(completed.stdout, end="")
        if completed.returncode not in (0, self.BROKEN, self.NOT_JUDGED):
            return ["acacia-replay failed with exit code %d: %s" % (
                completed.returncode, completed.stderr)]
        violations = []
        if completed.returncode == self.BROKEN:
            violations.append("acacia-replay: a required outcome was violated")
        for line in completed.stdout.splitlines():
            if line.startswith(self.REQUIRED_RULES) and "not judged" in line:
                violations.append("acacia-replay: " + line)
        return violations + self.find_dropped_lines()

    def verdicts(self):
        """Returns one output line per rule."""
        return self.run().stdout.splitlines()

    def find_dropped_lines(self):
        """Reports logs with dropped lines: verdicts on them are incomplete."""
        violations = []
        for path in self.logs:
            with open(path, errors="replace") as it:
                if '"log_lines_dropped"' in it.read():
                    violations.append("log lines dropped: " + path)
        return violations


class LoadRun:
    """A running acacia-load process."""

    def __init__(self, process, path):
        self.process = process
        self.path = path

    def result(self):
        table, _ = self.process.communicate(timeout=LOAD_TIMEOUT_S)
        print(table, end="")
        if self.process.returncode != 0:
            raise AssertionError("acacia-load failed with exit code %d" %
                                 self.process.returncode)
        with open(self.path) as it:
            return json.load(it)


def check_invariants(deployment, result):
    """Returns a list of messages about violated invariants."""
    violations = []
    stats = deployment.upstream_json("/acacia/stats")
    keys = deployment.upstream_json("/acacia/keys")
    for it in stats:
        for name in ("authorization_headers", "expired_grant_executed",
                     "stale_epoch_executed"):
            if it[name]:
                violations.append("%s: %d" % (name, it[name]))
    violations += find_overlapping_owners(stats)
    run_counts = {}
    for it in keys:
        for key, count in it.items():
            run_counts[key] = run_counts.get(key, 0) + count
    violations += ["request ran %d times: %s" % (n, k)
                   for k, n in run_counts.items() if n > 1]
    for number in result["refused_at_most_once"]:
        key = "%s-%d-%d" % (result["experiment"], result["seed"], number)
        if key in run_counts:
            violations.append("refused as not executed, but ran: " + key)
    if result["all"]["crossed"]:
        violations.append("answers delivered to the wrong request: %d" %
                          result["all"]["crossed"])
    return violations


def find_overlapping_owners(stats):
    """Reports slices whose requests did not start in the order of epochs."""
    violations = []
    usages_by_slice = {}
    for it in stats:
        for usage in it["slices"]:
            usages_by_slice.setdefault(usage["slice"], []).append(usage)
    for name, usages in usages_by_slice.items():
        usages.sort(key=lambda usage: usage["epoch"])
        for a, b in zip(usages, usages[1:]):
            if a["epoch"] == b["epoch"]:
                violations.append("two owners in epoch %d of slice %s" % (
                    a["epoch"], name))
            elif a["last_start_ns"] > b["first_start_ns"]:
                violations.append(
                    "epoch %d started after epoch %d began: slice %s" %
                    (a["epoch"], b["epoch"], name))
    return violations
