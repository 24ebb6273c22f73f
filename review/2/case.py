"""A late write of a node's former process makes a node take over keys of a
live one. See claim.txt."""
import os
import pathlib
import random
import sys
import threading
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standin"))

import fleet as fleets
import holds
from platform_standin import Store, Target

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOSTS = ["127.0.0.21", "127.0.0.22", "127.0.0.23"]
HEARTBEAT_S = 1.5
LATE_S = 5.9  # The pages: done 1 to 6 s later.
WATCH_S = 30.0


def main():
    fleet = fleets.Fleet(["127.0.0.1"] + HOSTS, CASE, HEARTBEAT_S)
    record = fleet.record
    store = Store(("127.0.0.1", fleet.base + fleets.PORTS["store"]))
    fleet.configure(store, [fleets.route("lookup", "/lookup/", "catalog")],
                    [fleets.service("catalog", sharded=True)])
    a, b, c = [fleet.add("sidecar-%s-1" % zone, host, "catalog", zone,
                         store.address)
               for zone, host in zip(("cta-c", "cta-b", "cta-a"), HOSTS)]
    lost = threading.Event()

    def lose_append(topic, records):
        isOwn = any(key == "node/" + a.name for key, _ in records)
        if not TROUBLE or lost.is_set() or not stopping.is_set() or not isOwn:
            return None
        lost.set()
        record.write("answer lost", topic=topic, late_s=LATE_S,
                     keys=[key for key, _ in records])
        return LATE_S

    stopping = threading.Event()
    store.lose_append = lose_append
    store.on_appended = lambda topic, records: record.write(
        "appended", topic=topic, keys=[key for key, _ in records])
    targets = []
    try:
        for it in fleet.nodes:
            it.start()
            targets.append(Target("i-" + it.name[-5:], "catalog", it.zone,
                                  it.address("app"), it.address("control"),
                                  record, HEARTBEAT_S, sharded=True))
        end = time.monotonic() + 20
        while time.monotonic() < end and not all(it.held for it in targets):
            time.sleep(0.05)
        if not all(it.held for it in targets) or not fleet.wait_ready(
                fleet.nodes):
            return fleets.finish(record, [], False)
        time.sleep(4)

        is_over = threading.Event()

        def client(seed):
            rng = random.Random(seed)
            while not is_over.is_set():
                fleet.send(rng.choice(fleet.nodes), "/lookup/x",
                           key=rng.randrange(65536))
                time.sleep(0.1)

        clients = [threading.Thread(target=client, args=(n,))
                   for n in range(8)]
        for it in clients:
            it.start()

        def restart(node, after_s):
            time.sleep(after_s)
            node.stop()
            time.sleep(0.3)
            node.start()

        # A rolling restart: a first, then c one second later.
        stopping.set()
        restarts = [threading.Thread(target=restart, args=it)
                    for it in ((a, 0.0), (c, 1.0))]
        for it in restarts:
            it.start()
        for it in restarts:
            it.join()
        time.sleep(WATCH_S)
        is_over.set()
        for it in clients:
            it.join()
        broken = holds.judge_owner(targets, time.monotonic())
        return fleets.finish(record, broken, lost.is_set() or not TROUBLE)
    finally:
        for it in targets:
            it.stop()
        fleet.close()


if __name__ == "__main__":
    fleets.run(main)
