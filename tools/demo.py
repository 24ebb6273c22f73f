"""Runs one example deployment: the log, 12 instances with their nodes in three
data centres, and a load on all classes of work."""

import os
import subprocess
import sys

import experiment
import fleet

LOAD_SECONDS = 10
# The stand-ins, nodes and callers share one machine.
REQUESTS_PER_SECOND = 600


def run(kind):
    example_path = os.path.join(fleet.ROOT, "examples", kind + ".toml")
    example = experiment.load_example(example_path)
    deployment = fleet.Fleet(kind)
    codes = {}
    try:
        print("starting the log and %d instances" % len(deployment.instances))
        deployment.start()
        deployment.await_members()
        print(deployment.ctl("apply", example_path))
        keys = deployment.grant_keys(example["accounts"])
        deployment.await_credit()
        path = os.path.join(deployment.folder, "demo.toml")
        experiment.write_experiment(
            path, "demo", example, keys,
            [it.callers for it in deployment.instances],
            duration_s=LOAD_SECONDS, rate_limit=REQUESTS_PER_SECOND)
        subprocess.run([os.path.join(fleet.BINARIES, "acacia-load"), path],
                       check=True)
        stats = [it.stats() for it in deployment.instances]
        print("upstreams: %d orders, %d over the ramp, %d run twice, "
              "%d with a caller's key" % (
                  sum(it["served"] for it in stats),
                  sum(it["cold_overloads"] for it in stats),
                  sum(len(it["repeated"]) for it in stats),
                  sum(it["authorization_headers"] for it in stats)))
    finally:
        codes = deployment.stop()
    print("nodes stopped with exit codes", sorted(set(codes.values()),
                                                  key=str))
    return 0 if set(codes.values()) == {0} else 1


if __name__ == "__main__":
    sys.exit(run(sys.argv[1] if len(sys.argv) > 1 else "sondagem"))
