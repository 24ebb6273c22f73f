#!/usr/bin/env python3
"""Prints what an idle fleet on loopback spends for control, for several sizes,
and how many records the log takes for a join, a leave and a kill.

Processor time, context switches and resident memory come from /proc; bytes on
the control and forward channels come from `ss`, if it is there; with the
headers of IP and TCP added for each segment sent, acknowledgements too."""

import os
import re
import signal
import subprocess
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "tools"))
from fleet import Fleet, Instance, http_json  # noqa: E402

SECONDS = 10
SETTLE_S = 8
SIZES = (3, 6, 9, 12)
TICKS = os.sysconf("SC_CLK_TCK")
# IPv4 header and TCP header with time stamps; no link layer.
SEGMENT_HEADER_BYTES = 52


def usage(pid):
    """Returns (CPU seconds, voluntary switches, resident MB)."""
    with open("/proc/%d/stat" % pid) as it:
        fields = it.read().rsplit(")", 1)[1].split()
    cpu = (int(fields[11]) + int(fields[12])) / TICKS
    switches = 0
    for task in os.listdir("/proc/%d/task" % pid):
        with open("/proc/%d/task/%s/status" % (pid, task)) as it:
            switches += int(re.search(r"^voluntary_ctxt_switches:\s+(\d+)",
                                      it.read(), re.M).group(1))
    with open("/proc/%d/status" % pid) as it:
        resident = int(re.search(r"VmRSS:\s+(\d+)", it.read()).group(1)) / 1024
    return cpu, switches, resident


def bytes_sent(port):
    """Returns payload bytes and segments sent, by both ends, on the
    connections of a node's peer port; None without `ss`."""
    try:
        out = subprocess.run(["ss", "-tinH", "sport", "=", ":%s" % port],
                             capture_output=True, text=True).stdout
        out += subprocess.run(["ss", "-tinH", "dport", "=", ":%s" % port],
                              capture_output=True, text=True).stdout
    except OSError:
        return None
    return (sum(int(n) for n in re.findall(r"bytes_sent:(\d+)", out)),
            sum(int(n) for n in re.findall(r"segs_out:(\d+)", out)))


def log_stats(fleet):
    return http_json("GET", "http://%s/stats" % fleet.log_address)[1]


def idle(fleet):
    """Prints the means of one node over SECONDS."""
    def sample():
        stats = log_stats(fleet)
        sent = [bytes_sent(i.peers.split(":")[1]) for i in fleet.instances]
        return ([usage(i.node.child.pid) for i in fleet.instances], sent,
                stats)
    before, sent_before, log_before = sample()
    time.sleep(SECONDS)
    after, sent_after, log_after = sample()
    n = len(before)
    cpu = sum(b[0] - a[0] for a, b in zip(before, after)) / n / SECONDS
    switches = sum(b[1] - a[1] for a, b in zip(before, after)) / n / SECONDS
    payload = segments = float("nan")
    if None not in sent_before:
        payload, segments = [
            sum(b[k] - a[k] for a, b in zip(sent_before, sent_after)) / n /
            SECONDS for k in (0, 1)]
    print("%5d %9.2f %10.0f %7.1f %11.0f %10.0f %9.0f %8.2f %9.2f %6.1f" % (
        n, 100 * cpu, switches, max(a[2] for a in after), payload, segments,
        payload + segments * SEGMENT_HEADER_BYTES,
        (log_after["reads"] - log_before["reads"]) / n / SECONDS,
        (log_after["appends"] - log_before["appends"]) / SECONDS,
        os.getloadavg()[0]), flush=True)


def appends_of(fleet, name, act):
    before = log_stats(fleet)["appends"]
    act()
    time.sleep(SETTLE_S)
    print("appends of one %-6s %d" % (
        name, log_stats(fleet)["appends"] - before), flush=True)


def changes(fleet):
    extra = Instance(fleet, "extra-0", fleet.instances[0].service,
                     fleet.instances[0].data_centre)

    def join():
        extra.start_node()
        fleet.await_ready("http://%s/v1/status" % extra.admin)
        extra.start_upstream()
        fleet.instances.append(extra)
    appends_of(fleet, "join", join)
    appends_of(fleet, "leave", lambda: extra.node.signal(signal.SIGTERM))
    appends_of(fleet, "kill",
               lambda: fleet.instances[0].node.signal(signal.SIGKILL))


def main():
    print("%5s %9s %10s %7s %11s %10s %9s %8s %9s %6s" % (
        "nodes", "% a core", "switches/s", "RSS MB", "payload B/s",
        "segments/s", "IP B/s", "reads/s", "appends/s", "load"))
    for size in SIZES:
        fleet = Fleet(services=[("catalogue", size)])
        try:
            fleet.start()
            fleet.await_members()
            time.sleep(SETTLE_S)
            idle(fleet)
            if size == SIZES[-1]:
                changes(fleet)
        finally:
            fleet.stop()


if __name__ == "__main__":
    main()
