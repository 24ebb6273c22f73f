"""Starts acacia-sidecar processes and encodes the configuration of a fleet."""
import json
import subprocess

SERVICE = "scripts"
# Offsets of the listening ports from the first port of a node.
CALLERS, PEERS, CONTROL, HEALTH, GOSSIP, CREDIT, RELAY, UPSTREAM = range(8)


def configuration(version, key, kinds, timeout="800ms"):
    """Returns a configuration record as JSON bytes; kinds maps each kind of
    route to its path prefix."""
    route = {"host": "h", "timeout": timeout, "latencySlo": "300ms",
             "priority": 1, "service": SERVICE, "maxAttempts": 2,
             "public": False}
    return json.dumps({
        "version": "%08x" % version,
        "routes": [dict(route, name=prefix.strip("/"), pathPrefix=prefix,
                        kind=kind) for kind, prefix in kinds.items()],
        "services": [{"name": SERVICE, "healthPath": "/healthz",
                      "maxConnections": 100, "coldStart": "0s", "coldPerS": 0,
                      "sharded": True, "warmup": "0s"}],
        "tenants": [{"name": "account", "apiKeys": [key]}]}).encode()


class SidecarProcess:
    """One node. Each node has its own loopback address; all use the same
    ports."""

    def __init__(self, binary, folder, index, first_port):
        self.binary, self.first_port = binary, first_port
        self.name, self.host = "node-%d" % index, "127.0.0.%d" % (index + 1)
        self.file = folder / (self.name + ".toml")
        self.log = (folder / (self.name + ".log")).open("a")

    def launch(self, store, upstream=None):
        """Writes the settings file and starts the process. store and upstream
        are (host, port); upstream defaults to the UPSTREAM port of the node."""
        text = lambda address: '"%s:%d"' % address
        self.file.write_text(f"""[node]
name = "{self.name}"
data_centre = "here"
service = "{SERVICE}"
[callers]
listen = {text(self.address_of(CALLERS))}
[peers]
listen = {text(self.address_of(PEERS))}
[control]
listen = {text(self.address_of(CONTROL))}
[health]
listen = {text(self.address_of(HEALTH))}
[gossip]
listen = {text(self.address_of(GOSSIP))}
[credit]
listen = {text(self.address_of(CREDIT))}
[relay]
listen = {text(self.address_of(RELAY))}
[upstream]
address = {text(upstream or self.address_of(UPSTREAM))}
heartbeat = "300ms"
[store]
address = {text(store)}
[limits]
drain = "5s"
withdrawn_key = "5s"
account_window = "5s"
""")
        self.start()

    def address_of(self, port):
        return self.host, self.first_port + port

    def start(self):
        self.process = subprocess.Popen(
            [str(self.binary), "--settings", str(self.file)], stdout=self.log)

    def is_running(self):
        return self.process.poll() is None
