#!/usr/bin/env python3
"""Configuration changes by operators and repeated requests on real processes,
under load or faults. Run selected rows with `operator_test.py NAME...`."""

import http.client
import signal
import sys
import threading
import time

import deployment

# Changes must take effect "within seconds", as the users require.
PROPAGATION_LIMIT_S = 5
OWNER_FAILOVER_S = 3
# Exit code of a node whose incarnation was retired.
EXIT_RETIRED = 75
EXIT_FAILED = 1
# Retention of the log, in records, in records_past_retention.
RETENTION_RECORDS = 100


def send_interview(system, node, key, path="/interview/quota-7",
                   body=b"answers"):
    """Sends an at-most-once request and returns (status, body)."""
    host, port = system.fleet.instances[node].callers.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=10)
    connection.request("POST", path, body=body, headers={
        "Authorization": "Bearer " + system.keys["large"],
        "Idempotency-Key": key})
    answer = connection.getresponse()
    return answer.status, answer.read()


def execution_count(system, key):
    """Returns how often the upstreams started a request with this idempotency
    key."""
    return sum(keys.get(key, 0)
               for keys in system.upstream_json("/acacia/keys"))


def owner_index(system, key):
    """Returns the index of the instance that owns a routing key of the
    interview service."""
    _, answer = system.admin("GET", "/v1/owner?service=interview&key=" + key)
    names = [i.name for i in system.fleet.instances]
    return names.index(answer["owner_name"])


def withdrawn_key(system):
    """A revoked API key, in regular use before, is rejected by every node."""
    key_id = system.keys["small"].split(".")[0]
    system.admin("DELETE", "/v1/keys/" + key_id)
    time.sleep(PROPAGATION_LIMIT_S)
    nodes = range(len(system.fleet.instances))
    statuses = [system.call("/questionnaire/a", n, account="small")[0]
                for n in nodes]
    return [] if set(statuses) == {401} else ["statuses %s" % statuses]


def change_data_centre(system, name, direction):
    """Takes a data centre out of or into service; returns error messages."""
    _, answer = system.admin("GET", "/v1/data-centres")
    version = [c["version"] for c in answer["data_centres"]
               if c["name"] == name][0]
    status, answer = system.admin("POST", "/v1/data-centres/%s/%s" % (
        name, direction), {"basis": version})
    return [] if status == 200 else ["%s: %s %s" % (
        direction, status, answer)]


def data_centre_out_and_in(system):
    """Instances of a data centre that is out of service get no new requests
    after PROPAGATION_LIMIT_S; once it is back in, they do."""
    name = system.fleet.instances[0].data_centre
    members = [i for i in system.fleet.instances if i.data_centre == name]
    violations = []
    load = system.start_load(name="out")
    violations += change_data_centre(system, name, "out")
    time.sleep(PROPAGATION_LIMIT_S)
    before = [i.stats()["started"] for i in members]
    time.sleep(PROPAGATION_LIMIT_S)
    if [i.stats()["started"] for i in members] != before:
        violations.append("requests started in a data centre out of service")
    violations += change_data_centre(system, name, "in")
    result = load.result()
    violations += deployment.check_invariants(system, result)
    if result["all"]["served_share"] < 0.99:
        violations.append("served %.4f" % result["all"]["served_share"])
    if [i.stats()["started"] for i in members] == before:
        violations.append("no requests started after the data centre was back")
    return violations


def racing_operators(system):
    """Of concurrent updates based on the same version, exactly one succeeds."""
    outcomes = []

    def change_rate(node, rate):
        outcomes.append((system.admin(
            "PUT", "/v1/accounts/large",
            {"basis": version, "rate_per_second": rate, "burst": 400},
            node=node)[0], rate))

    version = system.admin("GET", "/v1/accounts/large")[1]["version"]
    threads = [threading.Thread(target=change_rate, args=(n, 100.0 + n))
               for n in range(4)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    time.sleep(PROPAGATION_LIMIT_S)
    winners = [rate for status, rate in outcomes if status == 200]
    conflicts = [rate for status, rate in outcomes if status == 409]
    rates = {system.admin("GET", "/v1/accounts/large", node=n)[1]
             ["rate_per_second"] for n in range(len(system.fleet.instances))}
    if len(winners) == 1 and len(conflicts) == 3 and rates == set(winners):
        return []
    return ["outcomes %s, in force %s" % (outcomes, rates)]


def repeated_booking(system):
    """Requests with the same idempotency key run once and get one answer."""
    first = send_interview(system, 0, "twice")
    second = send_interview(system, 1, "twice")
    if first == second and first[0] == 200 and execution_count(
            system, "twice") == 1:
        return []
    return ["%s, then %s, starts %d" % (first, second,
                                        execution_count(system, "twice"))]


def repeated_after_lost_owner(system):
    """A request whose owner was killed after running it is not run again."""
    owner = owner_index(system, "quota-7")
    other = (owner + 1) % len(system.fleet.instances)
    first = send_interview(system, other, "lost")
    system.fleet.instances[owner].node.signal(signal.SIGKILL)
    time.sleep(OWNER_FAILOVER_S)
    second = send_interview(system, other, "lost")
    fresh = send_interview(system, other, "fresh")
    violations = []
    if first[0] != 200 or execution_count(system, "lost") != 1:
        violations.append("first %s, starts %d" % (
            first, execution_count(system, "lost")))
    if second[0] == 200 or b'"ran":"unknown"' not in second[1].replace(
            b" ", b""):
        violations.append("repeated request: %s" % (second,))
    if fresh[0] != 200:
        violations.append("request with a new idempotency key: %s" % (fresh,))
    return violations


def repeated_after_stopped_owner(system):
    """A graceful stop hands idempotency keys and their answers over to the new
    owner."""
    owner = owner_index(system, "quota-7")
    other = (owner + 1) % len(system.fleet.instances)
    first = send_interview(system, other, "moved")
    system.fleet.instances[owner].node.signal(signal.SIGTERM)
    code = system.fleet.instances[owner].node.wait(20)
    second = send_interview(system, other, "moved")
    if (first == second and first[0] == 200 and code == 0 and
            execution_count(system, "moved") == 1):
        return []
    return ["%s, then %s, exit code %s, starts %d" % (
        first, second, code, execution_count(system, "moved"))]


def leaving_upstream(system):
    """A stopping upstream finishes its requests; the others take over its keys,
    and its node leaves the fleet."""
    load = system.start_load(name="leave")
    time.sleep(PROPAGATION_LIMIT_S)
    leaving = system.fleet.instances[0]
    leaving.upstream.signal(signal.SIGTERM)
    codes = (leaving.upstream.wait(20), leaving.node.wait(20))
    result = load.result()
    violations = []
    if codes != (0, EXIT_RETIRED):
        violations.append("exit codes of upstream and node: %s, %s" % codes)
    if result["all"]["served_share"] < 0.99 or result["all"]["crossed"]:
        violations.append("served %.4f" % result["all"]["served_share"])
    return violations


def noisy_account(system):
    """An account that sends several times its rate is limited to it, without
    effect on the other account; run_row checks the rate from the logs."""
    result = system.start_load("noisy-account", name="noisy").result()
    shares = {a["name"]: a["served_share"] for a in result["accounts"]}
    kinds = set(result["all"]["refused_by_kind"])
    if shares["small"] >= 0.99 and kinds <= {"rate_exceeded"}:
        return []
    return ["served %s, refused as %s" % (shares, kinds)]


def totals_over_restart(system):
    """The totals counted by a node survive its stop."""
    for n in range(5):
        system.call("/questionnaire/t%d" % n, 0)
    system.fleet.instances[0].node.signal(signal.SIGTERM)
    code = system.fleet.instances[0].node.wait(20)
    day = time.strftime("%Y-%m-%d", time.gmtime())
    _, answer = system.admin("GET", "/v1/totals?day=" + day, node=1)
    served = sum(line["served"] for line in answer["rows"]
                 if line["class"] == "questionnaire")
    if code == 0 and served >= 5:
        return []
    return ["exit code %s, served %d" % (code, served)]


def records_past_retention(system):
    """A node that cannot read all records exits without joining the fleet."""
    stopped = system.fleet.instances[0]
    stopped.node.signal(signal.SIGTERM)
    stopped.node.wait(20)
    for n in range(RETENTION_RECORDS):
        system.admin("PUT", "/v1/accounts/filler-%d" % n, {
            "basis": 0, "rate_per_second": 1, "burst": 1}, node=1)
    stopped.start_node()
    code = stopped.node.wait(20)
    live = [i["name"] for i in system.fleet.status(1)["instances"]
            if i["state"] == "live"]
    if code == EXIT_FAILED and stopped.name not in live:
        return []
    return ["exit code %s, live %s" % (code, live)]


ROWS = [withdrawn_key, data_centre_out_and_in, racing_operators,
        repeated_booking, repeated_after_lost_owner,
        repeated_after_stopped_owner,
        totals_over_restart, leaving_upstream,
        noisy_account, records_past_retention]


def run_row(row):
    flags = ("--retention_records", str(RETENTION_RECORDS))
    has_short_retention = row is records_past_retention
    system = deployment.Deployment(
        log_flags=flags if has_short_retention else ())
    try:
        system.start()
        violations = row(system)
    except AssertionError as error:
        violations = [str(error)]
    finally:
        system.stop()
    if row is noisy_account:
        violations += [line for line in
                       deployment.Replay(system.fleet.folder).verdicts()
                       if line.startswith("account_rate")
                       and "held" not in line]
    print("%s %s" % ("FAIL" if violations else "PASS", row.__name__))
    for line in violations:
        print("  " + line)
    if violations:
        print("logs: " + system.fleet.folder)
    return bool(violations)


def main():
    selected = sys.argv[1:]
    rows = [row for row in ROWS
            if not selected or row.__name__ in selected]
    return 1 if sum(run_row(row) for row in rows) or not rows else 0


if __name__ == "__main__":
    sys.exit(main())
