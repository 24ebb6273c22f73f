#!/usr/bin/env python3
"""Fault injection on real processes. Each row starts a deployment, applies
load, injects a fault and checks the invariants and the share of unserved
requests. Run selected rows with `fault_test.py NAME...`."""

import signal
import sys
import time

import deployment

FAULT_AFTER_S = 4
LEASE_S = 0.6


def lost_node(system):
    node = system.fleet.instances[0].node
    node.signal(signal.SIGKILL)


def paused_node(system):
    """Pauses a node for longer than a lease. It resumes unaware of the expiry
    of its lease."""
    node = system.fleet.instances[0].node
    node.signal(signal.SIGSTOP)
    time.sleep(5 * LEASE_S)
    node.signal(signal.SIGCONT)


def set_log_faults(system, **faults):
    deployment.fleet.http_json(
        "POST", "http://%s/faults" % system.fleet.log_address, faults)


def log_outage(system):
    set_log_faults(system, outage="drop")
    time.sleep(5)
    set_log_faults(system, outage="none")


def lost_log_answers(system):
    set_log_faults(system, lose_answers=True)
    system.fleet.instances[0].node.signal(signal.SIGKILL)
    time.sleep(4)
    set_log_faults(system, lose_answers=False)


def lost_upstream_answers(system):
    for instance in system.fleet.instances:
        instance.fault(lose_answers=True)
    time.sleep(1)
    for instance in system.fleet.instances:
        instance.fault(lose_answers=False)


def stopped_node(system):
    system.fleet.instances[0].node.signal(signal.SIGTERM)


def frozen_upstream(system):
    system.fleet.instances[0].fault(freeze_ms=2000)


def no_fault(system):
    del system


# Name, fault, maximum share of unserved requests, and maximum time in ms from
# the first to the last unserved request of an account within its rate limit.
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

# Outcomes that a graceful stop must not cause: it answers every request.
INTERRUPTED_OUTCOMES = ("unknown", "timeout", "broken", "unreachable",
                        "bad_status")


def check_graceful_stop(system, result):
    violations = []
    for name in INTERRUPTED_OUTCOMES:
        if result["all"][name]:
            violations.append("interrupted by a graceful stop: %d %s" % (
                result["all"][name], name))
    code = system.fleet.instances[0].node.wait(15)
    if code != 0:
        violations.append("exit code %s after SIGTERM" % code)
    return violations


def run_row(name, fault, max_unserved_share, max_disturbance_ms):
    system = deployment.Deployment()
    violations = []
    try:
        system.start()
        load = system.start_load(name=name)
        time.sleep(FAULT_AFTER_S)
        fault(system)
        result = load.result()
        violations += deployment.check_invariants(system, result)
        unserved = 1 - result["all"]["served_share"]
        if unserved > max_unserved_share:
            violations.append("unserved share %.4f > %.4f" % (
                unserved, max_unserved_share))
        disturbance = result["all"]["disturbance_ms"]
        if disturbance > max_disturbance_ms:
            violations.append("disturbance %.0f ms > %d ms" % (
                disturbance, max_disturbance_ms))
        if name == "stopped_node":
            violations += check_graceful_stop(system, result)
        kinds = {**result["all"]["refused_by_kind"],
                 **result["all"]["unknown_by_kind"]}
        print("%s: unserved %.4f, disturbance %.0f ms, wrongful %d, kinds %s"
              % (name, unserved, disturbance,
                 result["all"]["wrongfully_refused"], kinds))
    except AssertionError as error:
        violations.append(str(error))
    finally:
        system.stop()
        violations += deployment.Replay(system.fleet.folder).check()
        if violations:
            print("logs: " + system.fleet.folder)
    return violations


def main():
    selected = sys.argv[1:]
    unknown = set(selected) - {row[0] for row in ROWS}
    if unknown:
        print("unknown row: " + ", ".join(sorted(unknown)))
        return 2
    failed = 0
    for row in ROWS:
        if selected and row[0] not in selected:
            continue
        violations = run_row(*row)
        print("%s %s" % ("FAIL" if violations else "PASS", row[0]))
        for violation in violations[:20]:
            print("  " + violation)
        failed += bool(violations)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
