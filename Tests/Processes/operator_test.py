#!/usr/bin/env python3
"""Operators' changes and repeated requests on real processes, under load or
faults. Run one row with `operator_test.py NAME`."""

import http.client
import signal
import sys
import threading
import time

import deployment

# "Within seconds", as the users state it.
SECONDS = 5
LOST_OWNER_WAIT_S = 3
# Exit code of a node whose incarnation was retired.
RETIRED = 75
FAILED = 1
# Records that the log keeps in one row.
SHORT_RETENTION = 100


def interview(it, node, key, path="/interview/quota-7", body=b"answers"):
    """Sends one at-most-once request and returns (status, body)."""
    host, port = it.fleet.instances[node].callers.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=10)
    connection.request("POST", path, body=body, headers={
        "Authorization": "Bearer " + it.keys["large"],
        "Idempotency-Key": key})
    answer = connection.getresponse()
    return answer.status, answer.read()


def starts_of(it, key):
    """Returns how often the upstreams began an Idempotency-Key."""
    return sum(keys.get(key, 0)
               for keys in it.upstream_json("/acacia/keys"))


def owner_index(it, key):
    """Returns the instance that owns a routing key of the interviews."""
    _, answer = it.admin("GET", "/v1/owner?service=interview&key=" + key)
    names = [i.name for i in it.fleet.instances]
    return names.index(answer["owner_name"])


def withdrawn_key(it):
    """A key that is used all the time stops working on every node."""
    key_id = it.keys["small"].split(".")[0]
    it.admin("DELETE", "/v1/keys/" + key_id)
    time.sleep(SECONDS)
    nodes = range(len(it.fleet.instances))
    statuses = [it.call("/questionnaire/a", n, account="small")[0]
                for n in nodes]
    return [] if set(statuses) == {401} else ["statuses %s" % statuses]


def move_data_centre(it, name, direction):
    """Takes a data centre out or in; returns what went wrong, as texts."""
    _, answer = it.admin("GET", "/v1/data-centres")
    version = [c["version"] for c in answer["data_centres"]
               if c["name"] == name][0]
    status, answer = it.admin("POST", "/v1/data-centres/%s/%s" % (
        name, direction), {"basis": version})
    return [] if status == 200 else ["%s: %s %s" % (
        direction, status, answer)]


def data_centre_out_and_in(it):
    """Instances taken out receive no new work after seconds; after their
    return they do again."""
    name = it.fleet.instances[0].data_centre
    members = [i for i in it.fleet.instances if i.data_centre == name]
    found = []
    load = it.start_load(name="out")
    found += move_data_centre(it, name, "out")
    time.sleep(SECONDS)
    before = [i.stats()["started"] for i in members]
    time.sleep(SECONDS)
    if [i.stats()["started"] for i in members] != before:
        found.append("work after the data centre was out")
    found += move_data_centre(it, name, "in")
    result = load.result()
    found += deployment.check_invariants(it, result)
    if result["all"]["served_share"] < 0.99:
        found.append("served %.4f" % result["all"]["served_share"])
    if [i.stats()["started"] for i in members] == before:
        found.append("no work after the data centre was back")
    return found


def racing_operators(it):
    """Of operators who build on one version exactly one wins."""
    outcomes = []

    def change(node, rate):
        outcomes.append((it.admin(
            "PUT", "/v1/accounts/large",
            {"basis": version, "rate_per_second": rate, "burst": 400},
            node=node)[0], rate))

    version = it.admin("GET", "/v1/accounts/large")[1]["version"]
    threads = [threading.Thread(target=change, args=(n, 100.0 + n))
               for n in range(4)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    time.sleep(SECONDS)
    winners = [rate for status, rate in outcomes if status == 200]
    conflicts = [rate for status, rate in outcomes if status == 409]
    rates = {it.admin("GET", "/v1/accounts/large", node=n)[1]
             ["rate_per_second"] for n in range(len(it.fleet.instances))}
    if len(winners) == 1 and len(conflicts) == 3 and rates == set(winners):
        return []
    return ["outcomes %s, in force %s" % (outcomes, rates)]


def repeated_booking(it):
    """The same id twice runs once, and the answer is the same."""
    first = interview(it, 0, "twice")
    second = interview(it, 1, "twice")
    if first == second and first[0] == 200 and starts_of(it, "twice") == 1:
        return []
    return ["%s, then %s, starts %d" % (first, second,
                                        starts_of(it, "twice"))]


def repeated_after_lost_owner(it):
    """An id whose owner was killed after the order does not run again."""
    owner = owner_index(it, "quota-7")
    other = (owner + 1) % len(it.fleet.instances)
    first = interview(it, other, "lost")
    it.fleet.instances[owner].node.signal(signal.SIGKILL)
    time.sleep(LOST_OWNER_WAIT_S)
    second = interview(it, other, "lost")
    fresh = interview(it, other, "fresh")
    found = []
    if first[0] != 200 or starts_of(it, "lost") != 1:
        found.append("first %s, starts %d" % (first, starts_of(it, "lost")))
    if second[0] == 200 or b'"ran":"unknown"' not in second[1].replace(
            b" ", b""):
        found.append("repeated: %s" % (second,))
    if fresh[0] != 200:
        found.append("a new id: %s" % (fresh,))
    return found


def repeated_after_stopped_owner(it):
    """A planned move hands the ids and their answers over."""
    owner = owner_index(it, "quota-7")
    other = (owner + 1) % len(it.fleet.instances)
    first = interview(it, other, "moved")
    it.fleet.instances[owner].node.signal(signal.SIGTERM)
    code = it.fleet.instances[owner].node.wait(20)
    second = interview(it, other, "moved")
    if (first == second and first[0] == 200 and code == 0 and
            starts_of(it, "moved") == 1):
        return []
    return ["%s, then %s, exit code %s, starts %d" % (
        first, second, code, starts_of(it, "moved"))]


def leaving_upstream(it):
    """An upstream that stops finishes its work; the others take its keys and
    its node leaves."""
    load = it.start_load(name="leave")
    time.sleep(SECONDS)
    leaving = it.fleet.instances[0]
    leaving.upstream.signal(signal.SIGTERM)
    codes = (leaving.upstream.wait(20), leaving.node.wait(20))
    result = load.result()
    found = []
    if codes != (0, RETIRED):
        found.append("exit codes of upstream and node: %s, %s" % codes)
    if result["all"]["served_share"] < 0.99 or result["all"]["crossed"]:
        found.append("served %.4f" % result["all"]["served_share"])
    return found


def noisy_account(it):
    """An account at several times its rate is held to it, and costs the other
    nothing; run_row judges the rate from the logs."""
    result = it.start_load("noisy-account", name="noisy").result()
    shares = {a["name"]: a["served_share"] for a in result["accounts"]}
    kinds = set(result["all"]["refused_by_kind"])
    if shares["small"] >= 0.99 and kinds <= {"rate_exceeded"}:
        return []
    return ["served %s, refused as %s" % (shares, kinds)]


def totals_over_restart(it):
    """What a node has counted survives its stop."""
    for n in range(5):
        it.call("/questionnaire/t%d" % n, 0)
    it.fleet.instances[0].node.signal(signal.SIGTERM)
    code = it.fleet.instances[0].node.wait(20)
    day = time.strftime("%Y-%m-%d", time.gmtime())
    _, answer = it.admin("GET", "/v1/totals?day=" + day, node=1)
    served = sum(line["served"] for line in answer["rows"]
                 if line["class"] == "questionnaire")
    if code == 0 and served >= 5:
        return []
    return ["exit code %s, served %d" % (code, served)]


def records_past_retention(it):
    """A node that cannot read all records does not take part."""
    late = it.fleet.instances[0]
    late.node.signal(signal.SIGTERM)
    late.node.wait(20)
    for n in range(SHORT_RETENTION):
        it.admin("PUT", "/v1/accounts/filler-%d" % n, {
            "basis": 0, "rate_per_second": 1, "burst": 1}, node=1)
    late.start_node()
    code = late.node.wait(20)
    live = [i["name"] for i in it.fleet.status(1)["instances"]
            if i["state"] == "live"]
    if code == FAILED and late.name not in live:
        return []
    return ["exit code %s, live %s" % (code, live)]


ROWS = [withdrawn_key, data_centre_out_and_in, racing_operators,
        repeated_booking, repeated_after_lost_owner,
        repeated_after_stopped_owner,
        totals_over_restart, leaving_upstream,
        noisy_account, records_past_retention]


def run_row(row):
    flags = ("--retention_records", str(SHORT_RETENTION))
    is_short = row is records_past_retention
    it = deployment.Deployment(log_flags=flags if is_short else ())
    try:
        it.start()
        found = row(it)
    except AssertionError as error:
        found = [str(error)]
    finally:
        it.stop()
    if row is noisy_account:
        found += [line for line in
                  deployment.Replay(it.fleet.folder).verdicts()
                  if line.startswith("account_rate") and "held" not in line]
    print("%s %s" % ("FAIL" if found else "PASS", row.__name__))
    for line in found:
        print("  " + line)
    if found:
        print("logs: " + it.fleet.folder)
    return bool(found)


def main():
    wanted = sys.argv[1:]
    rows = [it for it in ROWS if not wanted or it.__name__ in wanted]
    return 1 if sum(run_row(it) for it in rows) or not rows else 0


if __name__ == "__main__":
    sys.exit(main())
