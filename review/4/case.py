"""Nodes that read through a relay keep an old configuration for too long when
the relay is cut off from the store. See claim.txt."""
import os
import pathlib
import sys
import threading
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standin"))

import fleet as fleets
from platform_standin import OPERATORS, Proxy, Store, Target

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOSTS = ["127.0.0.%d" % n for n in range(41, 50)]
ZONES = ["cta-a", "cta-b", "mng-c"]
HEARTBEAT_S = 1.5
STORM_GAP_S = 0.08
STORM_S = 2.0
CUT_S = 4.0
CONFIG_APPLY_S = 2.0
ROUNDS = 8


def main():
    fleet = fleets.Fleet(["127.0.0.1"] + HOSTS, CASE, HEARTBEAT_S)
    record = fleet.record
    store = Store(("127.0.0.1", fleet.base + fleets.PORTS["store"]))
    services = [fleets.service("leasing"), fleets.service("tenders")]
    routes = [fleets.route("book", "/book/", "leasing", kind="unsafe"),
              fleets.route("offer", "/offer/", "tenders")]
    fleet.configure(store, routes, services)
    targets, links = [], {}
    try:
        for n, host in enumerate(HOSTS):
            node = fleet.add("sidecar-%s-%d" % (ZONES[n % 3], n), host,
                             "leasing" if n < 3 else "tenders", ZONES[n % 3],
                             (host, fleet.base + 51))
            links[node] = Proxy(node.store, store.address)
            node.start()
            targets.append(Target("i-%d" % n, node.service, node.zone,
                                  node.address("app"), node.address("control"),
                                  record, HEARTBEAT_S))
        if not fleet.wait_ready(fleet.nodes):
            return fleets.finish(record, [], False)
        time.sleep(6)
        # The nodes that read the store themselves.
        reads = {node: it.reads_of(OPERATORS) for node, it in links.items()}
        time.sleep(4)
        readers = [node for node, it in links.items()
                   if it.reads_of(OPERATORS) - reads[node] >= 3]
        followers = [it for it in fleet.nodes if it not in readers]
        record.write("readers", nodes=[it.name for it in readers])
        if len(readers) != 2:
            return fleets.finish(record, [], False)
        sent, is_over = [], threading.Event()

        def client(node):
            while not is_over.is_set():
                at = time.monotonic()
                out = fleet.send(node, "/book/x", "POST", body=b"booking")
                sent.append((at, node, out[0]))
                time.sleep(0.02)

        clients = [threading.Thread(target=client, args=(it,))
                   for it in followers]
        for it in clients:
            it.start()
        time.sleep(1)

        booked = ["leasing"]

        def change(service):
            routes.append(fleets.route("r%d" % len(routes),
                                       "/r%d/" % len(routes), "tenders"))
            routes[0] = fleets.route("book", "/book/", service, kind="unsafe")
            return fleet.configure(store, routes, services)

        moves = []  # (acknowledged, service from then on)
        half = int(STORM_S / STORM_GAP_S / 2)
        for n in range(ROUNDS):
            # Configurations in quick succession, for two seconds. After the
            # first half, one node is cut off; the next version moves a route.
            for _ in range(half):
                change(booked[-1])
                time.sleep(STORM_GAP_S)
            cut = readers[n % 2]
            if TROUBLE:
                links[cut].is_silent = True
                record.write("cut from the store", node=cut.name, for_s=CUT_S)
            healed = time.monotonic() + CUT_S
            time.sleep(STORM_GAP_S)
            booked.append("tenders" if booked[-1] == "leasing" else "leasing")
            moves.append((change(booked[-1]), booked[-1]))
            for _ in range(half):
                time.sleep(STORM_GAP_S)
                change(booked[-1])
            time.sleep(max(0.0, healed - time.monotonic()))
            links[cut].is_silent = False
            record.write("healed", node=cut.name)
            time.sleep(3)
        is_over.set()
        for it in clients:
            it.join()
        ran = {run[1]: it for it in targets for run in it.runs}
        broken = []
        for at, node, request in sorted(sent, key=lambda it: it[0]):
            bound = [it for it in moves if at - it[0] > CONFIG_APPLY_S]
            begun = [it for it in moves if at >= it[0]]
            if not bound or bound[-1] != begun[-1] or request not in ran:
                continue  # The move before may still be in force.
            if ran[request].service != bound[-1][1]:
                broken.append(
                    "request %s, sent at %s %.2f s after the acknowledgement, "
                    "was run by the old service" %
                    (request, node.name, at - bound[-1][0]))
        served = sum(1 for it in sent if it[2] in ran)
        record.write("sent", requests=len(sent), ran=served)
        return fleets.finish(record, broken, served > len(sent) / 2)
    finally:
        for it in targets:
            it.stop()
        fleet.close()


if __name__ == "__main__":
    fleets.run(main)
