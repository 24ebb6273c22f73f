"""Stand-ins for the platform's store, its targets, and a TCP proxy.

They follow PROTOCOL.md as a sound platform would; faults are switched on by
the scripts of the cases.
"""
import base64
import http.client
import json
import os
import socket
import struct
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

OPERATORS = "keyed.op"
CONFIGURATION = "config"


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *args):
        pass

    def read_body(self):
        if "chunked" in self.headers.get("Transfer-Encoding", ""):
            body = b""
            while size := int(self.rfile.readline(), 16):
                body += self.rfile.read(size)
                self.rfile.readline()
            self.rfile.readline()
            return body
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def answer(self, status, body=b"", headers=()):
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class Server:
    def __init__(self, address, handler):
        class Listener(ThreadingHTTPServer):
            daemon_threads = True
            allow_reuse_address = True
            request_queue_size = 128

            def handle_error(self, *_):
                pass  # The peer has gone away.

        self.http = Listener(address, handler)
        threading.Thread(target=self.http.serve_forever,
                         kwargs={"poll_interval": 0.05}, daemon=True).start()

    def close(self):
        self.http.shutdown()
        self.http.server_close()


class Store:
    """The platform's log store: appends, conditional appends, long polls,
    and the newest record of each key."""

    APPEND_S = 0.004

    def __init__(self, address):
        self.address = address
        self.topics = {}
        self.changed = threading.Condition()
        # Called with (topic, [(key, value)]) before each append of a node.
        # Returns None, or the seconds after which the append is executed; its
        # answer is lost then.
        self.lose_append = lambda topic, records: None
        # Called with (topic, [(key, value)]) after each append.
        self.on_appended = lambda topic, records: None
        store = self

        class StoreHandler(Handler):
            def do_GET(self):
                store.dispatch(self)

            def do_POST(self):
                store.dispatch(self)

        self.server = Server(address, StoreHandler)

    def put(self, topic, key, value):
        """A write of the operator; returns the time of its acknowledgement."""
        with self.changed:
            self.topics.setdefault(topic, []).append((key, value))
            self.changed.notify_all()
            return time.monotonic()

    def dispatch(self, call):
        body = call.read_body()
        url = urllib.parse.urlparse(call.path)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        if url.path == "/log-append":
            self.append(call, query, body)
        elif url.path == "/log-read":
            self.read(call, query)
        elif url.path == "/log-newest":
            self.newest(call, query)
        else:
            call.answer(404)

    @staticmethod
    def parse(body):
        records = []
        while body:
            size = struct.unpack(">I", body[:4])[0]
            record, body = body[4:4 + size], body[4 + size:]
            records.append((record[1:1 + record[0]].decode(),
                            record[1 + record[0]:]))
        return records

    def append(self, call, query, body):
        records = self.parse(body)
        if query["topic"] in (OPERATORS, "keyed.servers"):
            call.answer(403)
            return
        late_s = self.lose_append(query["topic"], records)
        if late_s is not None:
            threading.Timer(late_s, self.execute, (query, records)).start()
            time.sleep(late_s)  # The connection returns nothing further.
            call.close_connection = True
            return
        time.sleep(self.APPEND_S)
        call.answer(*self.execute(query, records))

    def execute(self, query, records):
        with self.changed:
            log = self.topics.setdefault(query["topic"], [])
            if "at" in query and int(query["at"]) != len(log):
                return 412, json.dumps({"end": len(log)}).encode()
            offset = len(log)
            log.extend(records)
            self.changed.notify_all()
        self.on_appended(query["topic"], records)
        return 200, json.dumps({"offset": offset,
                                "end": offset + len(records)}).encode()

    def read(self, call, query):
        start = int(query["from"])
        end = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        with self.changed:
            log = self.topics.setdefault(query["topic"], [])
            while len(log) <= start and time.monotonic() < end:
                self.changed.wait(end - time.monotonic())
            out = struct.pack(">QQ", len(log), 0)
            for key, value in log[start:]:
                record = bytes([len(key)]) + key.encode() + value
                out += struct.pack(">I", len(record)) + record
        call.answer(200, out)

    def newest(self, call, query):
        with self.changed:
            log = self.topics.setdefault(query["topic"], [])
            newest = {key: (value, n) for n, (key, value) in enumerate(log)}
            items = [{"key": key, "offset": n,
                      "value": base64.b64encode(value).decode()}
                     for key, (value, n) in sorted(newest.items())
                     if value and key > query.get("after", "")]
            end = len(log)
        page = items[:500]
        call.answer(200, json.dumps({"items": page,
                                     "hasMore": len(page) < len(items),
                                     "end": end}).encode())


class Target:
    """An application target with slots, a health path, heartbeats, and, where
    its service is sharded, key ranges that it holds by grants."""

    def __init__(self, name, service, zone, address, control, record,
                 heartbeat_s, sharded=False, work_s=0.02, slots=8):
        self.name, self.service, self.zone = name, service, zone
        self.address, self.control, self.record = address, control, record
        self.heartbeat_s, self.sharded = heartbeat_s, sharded
        self.work_s, self.slots = work_s, slots
        self.cold_until = 0.0
        self.lock = threading.Condition()
        self.free_slots, self.waiting = slots, 0
        self.working = {}  # key -> number of running requests
        self.held, self.expiry = [], 0.0
        self.fences = [0] * 65536
        self.freed = []
        self.must_free = False
        self.timeline = []  # (time, rows, expiry)
        self.runs = []  # (time, request id, key, headers)
        self.arrivals = []  # (time, request id)
        self.sequence = 0
        self.state = "ready"
        self.is_up, self.is_beating = True, True
        self.born = int(time.time() * 1000)
        target = self

        class TargetHandler(Handler):
            def do_GET(self):
                target.serve(self)

            def do_POST(self):
                target.serve(self)

            def do_PUT(self):
                target.serve(self)

        self.server = Server(address, TargetHandler)
        threading.Thread(target=self.send_heartbeats, daemon=True).start()

    def stop(self):
        self.is_up = self.is_beating = False
        self.server.close()

    def holds(self, key):
        return time.monotonic() < self.expiry and any(
            row[0] <= key <= row[1] for row in self.held)

    def serve(self, call):
        body = call.read_body()
        load = "%d,%d,%d" % (self.slots - self.free_slots, self.waiting,
                             self.slots)
        if call.path == "/healthz":
            call.answer(200 if self.state == "ready" else 503, b"",
                        [("Instance-Id", self.name), ("Server-Load", load)])
            return
        arrived = time.monotonic()
        request_id = call.headers.get("Request-Id", "")
        self.arrivals.append((arrived, request_id))
        common = [("Request-Id", request_id), ("Server-Load", load)]
        refused = common + [("Not-Executed", "1")]
        if call.headers.get("Expected-Instance", self.name) != self.name:
            call.answer(421, b"", refused)
            return
        key = None
        if self.sharded:
            key = int(call.headers.get("Shard-Key", -1))
        deadline = arrived + int(call.headers.get("Deadline-Ms", 1000)) / 1000
        with self.lock:
            if key is not None and not self.holds(key):
                call.answer(421, b"", refused)
                return
            self.waiting += 1
            while not self.free_slots and time.monotonic() < deadline:
                self.lock.wait(deadline - time.monotonic())
            self.waiting -= 1
            if not self.free_slots or time.monotonic() >= deadline:
                call.answer(503, b"", refused)
                return
            if key is not None and not self.holds(key):
                call.answer(421, b"", refused)
                return
            self.free_slots -= 1
            self.working[key] = self.working.get(key, 0) + 1
            self.runs.append((time.monotonic(), request_id, key,
                              dict(call.headers)))
        self.record.write("run", target=self.name, service=self.service,
                          request=request_id, key=key, path=call.path)
        time.sleep(min(self.work_s, max(0.0, deadline - time.monotonic())))
        with self.lock:
            self.free_slots += 1
            self.working[key] -= 1
            self.lock.notify_all()
        call.answer(200, b"whole:" + request_id.encode(),
                    common + [("Response-Signature", "sig." + request_id)])

    def send_heartbeats(self):
        while self.is_beating:
            sent = time.monotonic()
            try:
                self.send_heartbeat(sent)
            except (OSError, http.client.HTTPException, ValueError):
                pass  # Not acknowledged; the next heartbeat tells it again.
            pause = 0.05 if self.must_free else self.heartbeat_s
            time.sleep(max(0.0, sent + pause - time.monotonic()))

    def describe(self):
        cold_ms = max(0, int((self.cold_until - time.monotonic()) * 1000))
        return {"address": "%s:%d" % self.address, "born": self.born,
                "info": {"service": self.service, "version": "v1",
                         "zone": self.zone, "slots": self.slots},
                "status": {"state": self.state, "seq": self.sequence,
                           "coldRemaining": "%dms" % cold_ms}}

    def send_heartbeat(self, sent):
        with self.lock:
            self.sequence += 1
            body = self.describe()
            if self.sharded:
                if sent >= self.expiry and self.held:
                    self.held = []
                    self.timeline.append((sent, [], self.expiry))
                body["holds"] = [row[:3] for row in self.held]
                body["freed"] = told = list(self.freed)
        connection = http.client.HTTPConnection(
            *self.control, timeout=1, source_address=(self.address[0], 0))
        try:
            connection.request("PUT", "/instances/" + self.name,
                               json.dumps(body),
                               {"Content-Type": "application/json"})
            response = connection.getresponse()
            data = response.read()
        finally:
            connection.close()
        if response.status // 100 != 2 or len(data) > 4096:
            return
        if time.monotonic() - sent > 1 or not self.sharded:
            return
        with self.lock:
            self.freed = [it for it in self.freed if it not in told]
            answer = json.loads(data or b"{}")
            if "holds" in answer:
                self.take_grant(sent, answer)

    def take_grant(self, sent, answer):
        rows = [row for row in answer["holds"]
                if max(self.fences[row[0]:row[1] + 1]) <= row[2]]
        for row in rows:
            self.fences[row[0]:row[1] + 1] = [row[2]] * (row[1] - row[0] + 1)
        kept = []
        for old in self.held:
            for part in subtract(old, rows):
                if any(n and key is not None and part[0] <= key <= part[1]
                       for key, n in self.working.items()):
                    kept.append(part)  # Work on it is not done yet.
                else:
                    self.freed.append([part[0], part[1],
                                       os.urandom(8).hex()])
        self.must_free = bool(kept) or len(self.freed) > 0
        self.held = sorted([row[:3] for row in rows] + kept)
        self.expiry = sent + float(
            answer["hold_time"].removesuffix("ms")) / 1000
        self.timeline.append((time.monotonic(), list(self.held), self.expiry))
        self.record.write("holds", target=self.name, rows=self.held,
                          until=round(self.expiry, 3))


def subtract(row, taken):
    """Returns the parts of a row [from, to, fence] outside the rows taken."""
    out = [row]
    for cut in taken:
        left = []
        for it in out:
            if it[1] < cut[0] or cut[1] < it[0]:
                left.append(it)
                continue
            if it[0] < cut[0]:
                left.append([it[0], cut[0] - 1, it[2]])
            if cut[1] < it[1]:
                left.append([cut[1] + 1, it[1], it[2]])
        out = left
    return out


class Proxy:
    """Forwards TCP connections. While silent, bytes are held up in both
    directions and new connections hang."""

    def __init__(self, listen, target, source=None):
        self.target, self.source, self.is_silent = target, source, False
        self.delay_s = 0.0
        self.requests = []  # First bytes of each request to the target.
        self.listener = socket.create_server(listen, backlog=64)
        threading.Thread(target=self.accept, daemon=True).start()

    def reads_of(self, topic):
        """Reads of a topic's log that have passed."""
        wanted = ("topic=" + topic).encode()
        return sum(it.startswith(b"GET /log-read") and wanted in it
                   for it in self.requests)

    def accept(self):
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.bridge, args=(client,),
                             daemon=True).start()

    def wait(self):
        if self.delay_s:
            time.sleep(self.delay_s)
        while self.is_silent:
            time.sleep(0.005)

    def bridge(self, client):
        try:
            self.wait()
            server = socket.create_connection(self.target, timeout=2)
        except OSError:
            client.close()
            return
        server.settimeout(None)
        for it in (client, server):
            it.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=self.forward, args=(client, server),
                         daemon=True).start()
        self.forward(server, client, True)

    def forward(self, source, sink, is_answer=False):
        try:
            while data := source.recv(65536):
                if not is_answer:
                    self.requests.append(data[:80])
                self.wait()
                sink.sendall(data)
        except OSError:
            pass  # One side is gone; both are shut down below.
        for it in (source, sink):
            try:
                it.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # Already closed by the other direction.
