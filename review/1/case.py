"""Requests for a sharded service run at a target of another one after an
address was given to it. See claim.txt."""
import os
import pathlib
import random
import sys
import threading
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standin"))

import fleet as fleets
from platform_standin import Store, Target

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOSTS = ["127.0.0.%d" % n for n in (31, 32, 33, 34)]
HEARTBEAT_S = 0.87
REUSE_AFTER_S = 2.0
WATCH_S = 14.0


def main():
    fleet = fleets.Fleet(["127.0.0.1"] + HOSTS, CASE, HEARTBEAT_S)
    record = fleet.record
    store = Store(("127.0.0.1", fleet.base + fleets.PORTS["store"]))
    fleet.configure(
        store,
        [fleets.route("lookup", "/lookup/", "catalog"),
         fleets.route("order", "/order/", "catalog", kind="unsafe"),
         fleets.route("lease", "/lease/", "leasing", kind="unsafe")],
        [fleets.service("catalog", sharded=True),
         fleets.service("leasing", sharded=True)])
    targets = []

    def start(name, host, service, zone):
        node = fleet.add(name, host, service, zone, store.address)
        node.start()
        targets.append(Target("i-" + name, service, zone, node.address("app"),
                              node.address("control"), record, HEARTBEAT_S,
                              sharded=True))
        return node, targets[-1]

    renewed = threading.Event()
    try:
        first, _ = start("sidecar-a-1", HOSTS[0], "catalog", "cta-a")
        gone, gone_target = start("sidecar-b-1", HOSTS[1], "catalog", "cta-b")
        other, _ = start("sidecar-c-1", HOSTS[2], "leasing", "mng-c")
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
                path = rng.choice(("/lookup/x", "/order/x"))
                fleet.send(rng.choice((first, other)), path,
                           "POST" if path.startswith("/order") else "GET",
                           key=rng.randrange(65536),
                           body=b"order" if path.startswith("/order")
                           else None)
                time.sleep(0.02)

        clients = [threading.Thread(target=client, args=(n,))
                   for n in range(8)]
        for it in clients:
            it.start()
        store.on_appended = lambda topic, records: (
            any(key == "node/" + gone.name for key, _ in records)
            and renewed.set())
        renewed.wait(10)
        # The machine and its target are lost for good.
        gone.kill()
        gone_target.stop()
        ended = time.monotonic()
        record.write("target ended", target=gone_target.name)
        time.sleep(REUSE_AFTER_S + 0.05)
        # Another target and its machine get the address; without the
        # disruption, a new one.
        start("sidecar-d-1", HOSTS[1] if TROUBLE else HOSTS[3], "leasing",
              "cta-b")
        record.write("address reused", after_s=time.monotonic() - ended)
        time.sleep(WATCH_S)
        is_over.set()
        for it in clients:
            it.join()
        broken = ["request %s for catalog (%s %s, key %s) was run by %s of "
                  "leasing" % (run[1], run[3].get("Tenant", ""),
                               run[3].get("Expected-Instance"), run[2],
                               it.name)
                  for it in targets if it.service == "leasing"
                  for run in it.runs]
        return fleets.finish(record, broken, bool(targets[-1].held))
    finally:
        for it in targets:
            it.stop()
        fleet.close()


if __name__ == "__main__":
    fleets.run(main)
