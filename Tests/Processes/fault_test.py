#!/usr/bin/env python3
"""Faults of real processes: each row starts a deployment, puts load on it,
causes its fault and checks what must hold. Run one row with
`fault_test.py NAME`."""

import signal
import sys
import time

import deployment

FAULT_AFTER_S = 4
LEASE_S = 0.6


def lost_node(it):
    victim = it.fleet.instances[0].node
    victim.signal(signal.SIGKILL)


def paused_node(it):
    """Longer than a lease; then it goes on as if nothing had happened."""
    victim = it.fleet.instances[0].node
    victim.signal(signal.SIGSTOP)
    time.sleep(5 * LEASE_S)
    victim.signal(signal.SIGCONT)


def log_fault(it, **faults):
    deployment.fleet.http_json(
        "POST", "http://%s/faults" % it.fleet.log_address, faults)


def log_outage(it):
    log_fault(it, outage="drop")
    time.sleep(5)
    log_fault(it, outage="none")


def lost_log_answers(it):
    log_fault(it, lose_answers=True)
    it.fleet.instances[0].node.signal(signal.SIGKILL)
    time.sleep(4)
    log_fault(it, lose_answers=False)


def lost_upstream_answers(it):
    for instance in it.fleet.instances:
        instance.fault(lose_answers=True)
    time.sleep(1)
    for instance in it.fleet.instances:
        instance.fault(lose_answers=False)


def stopped_node(it):
    it.fleet.instances[0].node.signal(signal.SIGTERM)


def frozen_upstream(it):
    it.fleet.instances[0].fault(freeze_ms=2000)


def no_fault(it):
    del it


# Name, fault, largest share of requests that may stay unserved, and the
# longest time in ms from the first to the last request that was not served
# although its account was within its rate.
ROWS = [
    ("no_fault", no_fault, 0.005, 0),
    ("lost_node", lost_node, 0.10, 1500),
    ("paused_node", paused_node, 0.20, 4500),
    ("log_outage", log_outage, 0.01, 0),
    ("lost_log_answers", lost_log_answers, 0.20, 1500),
    ("lost_upstream_answers", lost_upstream_answers, 0.15, 1500),
    ("stopped_node", stopped_node, 0.02, 500),
    ("frozen_upstream", frozen_upstream, 0.10, 3000),
]

# A graceful stop answers every request.
CUT_OUTCOMES = ("unknown", "timeout", "broken", "unreachable", "bad_status")


def check_stop(it, result):
    found = []
    for name in CUT_OUTCOMES:
        if result["all"][name]:
            found.append("cut by a graceful stop: %d %s" % (
                result["all"][name], name))
    code = it.fleet.instances[0].node.wait(15)
    if code != 0:
        found.append("exit code %s after SIGTERM" % code)
    return found


def run_row(name, fault, unserved_share, disturbance_ms):
    it = deployment.Deployment()
    found = []
    try:
        it.start()
        load = it.start_load(name=name)
        time.sleep(FAULT_AFTER_S)
        fault(it)
        result = load.result()
        found += deployment.check_invariants(it, result)
        unserved = 1 - result["all"]["served_share"]
        if unserved > unserved_share:
            found.append("unserved share %.4f > %.4f" % (
                unserved, unserved_share))
        disturbance = result["all"]["disturbance_ms"]
        if disturbance > disturbance_ms:
            found.append("disturbance %.0f ms > %d ms" % (
                disturbance, disturbance_ms))
        if name == "stopped_node":
            found += check_stop(it, result)
        kinds = {**result["all"]["refused_by_kind"],
                 **result["all"]["unknown_by_kind"]}
        print("%s: unserved %.4f, disturbance %.0f ms, wrongful %d, kinds %s"
              % (name, unserved, disturbance,
                 result["all"]["wrongfully_refused"], kinds))
    except AssertionError as error:
        found.append(str(error))
    finally:
        it.stop()
        found += deployment.Replay(it.fleet.folder).check()
        if found:
            print("logs: " + it.fleet.folder)
    return found


def main():
    wanted = sys.argv[1:]
    unknown = set(wanted) - {row[0] for row in ROWS}
    if unknown:
        print("no such row: " + ", ".join(sorted(unknown)))
        return 2
    failed = 0
    for row in ROWS:
        if wanted and row[0] not in wanted:
            continue
        found = run_row(*row)
        print("%s %s" % ("FAIL" if found else "PASS", row[0]))
        for it in found[:20]:
            print("  " + it)
        failed += bool(found)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
