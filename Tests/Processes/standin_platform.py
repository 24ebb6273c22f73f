"""Stand-ins for the store of the platform and for a sharded upstream."""
import base64
import http.client
import json
import random
import struct
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *args):
        pass

    def answer(self, status, body=b"", headers=()):
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        try:
            self.end_headers()
            self.wfile.write(body)
        except OSError:
            self.close_connection = True  # The peer has gone away.

    def read_body(self):
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))


class Server:
    def __init__(self, address, handler):
        class Listener(ThreadingHTTPServer):
            daemon_threads = True
            allow_reuse_address = True

            def handle_error(self, *_):
                pass  # Connection resets are expected; clients check responses.

        self.http = Listener(address, handler)
        threading.Thread(target=self.http.serve_forever, daemon=True).start()

    def close(self):
        self.http.shutdown()
        self.http.server_close()


class Store:
    """Log of keyed topics with conditional appends, long polls and faults.

    Each call is delayed by delay_s. A fraction lost_share of the calls is
    executed but gets no response. Reads of records discarded by forget() get
    410. restore() replaces the log by an older copy.
    """

    # Topics whose writers write lost records again.
    REWRITTEN_TOPICS = ("keyed.op",)

    def __init__(self, address):
        self.topics = {}
        self.changed = threading.Condition()
        self.is_down = False
        self.delay_s, self.lost_share = 0.0, 0.0
        self.first = {}
        # Number of restorations, and when each record was appended.
        self.era, self.append_times = 0, {}
        # Page size of /log-newest, in keys.
        self.page_keys = 500
        store = self

        class StoreHandler(Handler):
            def do_GET(self):
                store.dispatch(self)

            def do_POST(self):
                store.dispatch(self)

        self.server = Server(address, StoreHandler)

    def put(self, topic, key, value):
        with self.changed:
            self.add(topic, key, value)
            self.changed.notify_all()

    def add(self, topic, key, value):
        self.topics.setdefault(topic, []).append((key, value))
        self.append_times.setdefault(topic, []).append(time.monotonic())

    def restore(self, lost_s, away_s):
        """Is away for away_s, then continues from a copy that lacks the records
        of the last lost_s seconds before. Their offsets are given out again."""
        with self.changed:
            copied_at = time.monotonic() - lost_s
            self.is_down = True
        time.sleep(away_s)
        with self.changed:
            self.era += 1
            for topic, topic_records in self.topics.items():
                times = self.append_times[topic]
                kept = sum(it <= copied_at for it in times)
                lost = topic_records[kept:]
                del topic_records[kept:], times[kept:]
                if topic in self.REWRITTEN_TOPICS:
                    for key, value in lost:
                        self.add(topic, key, value)
                self.first[topic] = min(self.first.get(topic, 0), kept)
            self.is_down = False
            self.changed.notify_all()

    def records(self, topic, prefix):
        with self.changed:
            return [it for it in self.topics.get(topic, [])
                    if it[0].startswith(prefix)]

    def forget(self):
        with self.changed:
            self.first = {it: len(topic_records)
                          for it, topic_records in self.topics.items()}

    def dispatch(self, call):
        body = call.read_body()
        time.sleep(self.delay_s)
        if self.is_down:
            call.answer(503, headers=self.era_header())
            return
        url = urllib.parse.urlparse(call.path)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        operation = {"/log-append": self.append, "/log-read": self.read,
                     "/log-newest": self.newest}.get(url.path)
        if operation is None:
            call.answer(404)
        else:
            with self.changed:
                status, answer_body = operation(query, body)
                headers = self.era_header()
            if random.random() < self.lost_share:
                call.close_connection = True
            else:
                call.answer(status, answer_body, headers)

    def era_header(self):
        return [("Store-Era", str(self.era))]

    def append(self, query, body):
        with self.changed:
            topic_records = self.topics.setdefault(query["topic"], [])
            if "at" in query and int(query["at"]) != len(topic_records):
                return 412, json.dumps({"end": len(topic_records)}).encode()
            offset = len(topic_records)
            while body:
                size = struct.unpack(">I", body[:4])[0]
                record, body = body[4:4 + size], body[4 + size:]
                key = record[1:1 + record[0]].decode()
                self.add(query["topic"], key, record[1 + record[0]:])
            self.changed.notify_all()
            return 200, json.dumps({"offset": offset,
                                    "end": len(topic_records)}).encode()

    def read(self, query, _):
        start = int(query["from"])
        end = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        with self.changed:
            topic_records = self.topics.setdefault(query["topic"], [])
            first = self.first.get(query["topic"], 0)
            if start < first:
                return 410, json.dumps({"first": first}).encode()
            while len(topic_records) <= start and time.monotonic() < end:
                if start > len(topic_records):
                    break
                self.changed.wait(end - time.monotonic())
            if start > len(topic_records):
                return 410, json.dumps({"first": first}).encode()
            out = struct.pack(">QQ", len(topic_records), 0)
            for key, value in topic_records[start:]:
                record = bytes([len(key)]) + key.encode() + value
                out += struct.pack(">I", len(record)) + record
            return 200, out

    def newest(self, query, _):
        with self.changed:
            topic_records = self.topics.setdefault(query["topic"], [])
            newest = {key: (value, n)
                      for n, (key, value) in enumerate(topic_records)}
            items = [{"key": key, "offset": n,
                      "value": base64.b64encode(value).decode()}
                     for key, (value, n) in sorted(newest.items())
                     if value and ("after" not in query or
                                   key > query["after"])]
            page = items[:self.page_keys]
            return 200, json.dumps({"items": page,
                                    "hasMore": len(page) < len(items),
                                    "end": len(topic_records)}).encode()


class Upstream:
    """Sharded upstream: holds the key ranges that its node grants in answers to
    heartbeats and runs only requests for keys in them."""

    HEARTBEAT_S = 0.3
    version = "v1"
    QUICK = "/quick"

    def __init__(self, name, service, address, control, observer=None):
        """observer, if any, gets on_grant() for each grant and on_run() for
        each request that starts to run."""
        self.name, self.service, self.observer = name, service, observer
        self.address, self.control = address, control
        self.lock = threading.Lock()
        # While cleared, requests wait until their deadline, except those whose
        # path ends in QUICK.
        self.may_complete = threading.Event()
        self.may_complete.set()
        # If set, gets each request before its body is read, and answers those
        # for which it returns true.
        self.take_over = None
        self.start()

    def start(self):
        self.born = int(time.time() * 1000)
        self.held, self.expiry, self.freed = [], 0.0, []
        self.tokens, self.runs, self.seen_headers = [], [], []
        self.is_up, self.heartbeat_count = True, 0
        upstream = self

        class UpstreamHandler(Handler):
            def do_GET(self):
                upstream.serve(self)

            def do_POST(self):
                upstream.serve(self)

        self.server = Server(self.address, UpstreamHandler)
        threading.Thread(target=self.send_heartbeats, args=(self.born,),
                         daemon=True).start()

    def crash(self):
        self.is_up = False
        self.server.close()

    def serve(self, call):
        if self.take_over and self.take_over(call):
            return
        call.read_body()
        self.seen_headers.append(dict(call.headers))
        key = int(call.headers.get("Shard-Key", -1))
        with self.lock:
            holds = time.monotonic() < self.expiry and any(
                row[0] <= key <= row[1] for row in self.held)
        is_addressed = call.headers.get("Expected-Instance") == self.name
        common = [("Request-Id", call.headers.get("Request-Id", ""))]
        if not self.is_up:
            call.close_connection = True
        elif not holds or not is_addressed:
            call.answer(421, b"", common + [("Not-Executed", "1")])
        else:
            self.runs.append(call.headers["Request-Id"])
            if self.observer:
                self.observer.on_run(self, call.headers["Request-Id"],
                                     call.path)
            deadline_s = int(call.headers.get("Deadline-Ms", 0)) / 1000
            common.append(("Response-Signature", "s"))
            if (call.path.endswith(self.QUICK)
                    or self.may_complete.wait(max(0.0, deadline_s))):
                call.answer(200, b"whole", common)
            else:
                call.answer(504, b"late", common)

    def send_heartbeats(self, born):
        while self.is_up and self.born == born:
            sent = time.monotonic()
            try:
                self.send_heartbeat(sent)
            except (OSError, http.client.HTTPException, ValueError):
                pass  # The node is unreachable; the next heartbeat retries.
            time.sleep(self.HEARTBEAT_S)

    def send_heartbeat(self, sent):
        self.heartbeat_count += 1
        with self.lock:
            if sent >= self.expiry:
                self.held = []
            body = {"address": "%s:%d" % self.address, "born": self.born,
                    "info": {"service": self.service, "version": self.version,
                             "zone": "here", "slots": 8},
                    "status": {"state": "ready", "seq": self.heartbeat_count,
                               "coldRemaining": "0ms"},
                    "holds": [row[:3] for row in self.held],
                    "freed": self.freed}
        connection = http.client.HTTPConnection(*self.control, timeout=1)
        connection.request("PUT", "/instances/" + self.name, json.dumps(body))
        answer = json.loads(connection.getresponse().read() or b"{}")
        connection.close()
        if "holds" not in answer:
            return
        with self.lock:
            granted_rows = answer["holds"]
            self.freed = [[row[0], row[1], "handover"] for row in self.held
                          if row[:2] not in [it[:2] for it in granted_rows]]
            self.held = granted_rows
            self.tokens += [row[2] for row in granted_rows]
            lease_s = float(answer["hold_time"].removesuffix("ms")) / 1000
            self.expiry = sent + lease_s
        if self.observer:
            self.observer.on_grant(self, granted_rows, self.expiry)
