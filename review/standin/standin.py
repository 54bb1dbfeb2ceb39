"""Stand-ins for the platform's store, replicas and clients, and a launcher of the project's processes.

They follow the users' pages (PROTOCOL.md, DEPLOY.md) and use Python's standard library only. All
addresses are loopback addresses; all ports are free ones that the system chose.
"""

import base64
import http.client
import http.server
import json
import os
import pathlib
import select
import shutil
import signal
import socket
import socketserver
import struct
import subprocess
import tempfile
import threading
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target/release/cowslipdeal"
HOST = "site.example"
MODEL = "base"
MODEL_MB, ADAPTER_MB = 72700.0, 66.0
ADAPTER_LOAD_S = 0.25
PING_S = 1.2


def free_port(ip="127.0.0.1"):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} {text}\n")
            self.file.flush()


class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 1024

    def handle_error(self, request, client_address):
        pass  # a peer that closes its connection is no error here

    def start(self):
        threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True).start()
        return self


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass

    def read_body(self):
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def reply(self, status, body=b"", headers=()):
        self.send_response_only(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()


class Store:
    """The platform's metadata store: keyed topics with long polls. It loses nothing."""

    def __init__(self, ip="127.0.0.1"):
        self.topics = {}
        self.changed = threading.Condition()
        store = self

        class StoreHandler(Handler):
            def do_GET(self):
                store.serve(self)

        self.server = Server((ip, 0), StoreHandler).start()
        self.address = "%s:%d" % self.server.server_address

    def write(self, topic, key, value):
        """Appends a record; returns when the store has it, which is the ack."""
        data = b"" if value is None else json.dumps(value).encode()
        with self.changed:
            self.topics.setdefault(topic, []).append((key, data))
            self.changed.notify_all()

    def serve(self, request):
        url = urllib.parse.urlsplit(request.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        topic = query.get("topic", "")
        if url.path == "/api/log-newest":
            with self.changed:
                records = list(self.topics.get(topic, []))
            newest = {key: (offset, value) for offset, (key, value) in enumerate(records)}
            keys = sorted(key for key, (_, value) in newest.items() if value)
            keys = [key for key in keys if key > query.get("after", "")]
            page, rest = keys[:500], keys[500:]
            items = [
                {
                    "key": key,
                    "value": base64.b64encode(newest[key][1]).decode(),
                    "offset": newest[key][0],
                }
                for key in page
            ]
            body = {"items": items, "has_more": bool(rest), "end": len(records)}
            request.reply(200, json.dumps(body).encode())
        elif url.path == "/api/log-read":
            start = int(query.get("from", 0))
            until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
            with self.changed:
                while len(self.topics.get(topic, [])) <= start and time.monotonic() < until:
                    self.changed.wait(until - time.monotonic())
                records = list(self.topics.get(topic, []))
            body = struct.pack(">QQ", len(records), 0)
            for key, value in records[start:]:
                content = bytes([len(key)]) + key.encode() + value
                body += struct.pack(">I", len(content)) + content
            request.reply(200, body)
        else:
            request.reply(404)


class Proxy:
    """A TCP proxy that can be cut: then it holds all bytes back and opens no connection."""

    def __init__(self, target, ip="127.0.0.1"):
        host, port = target.rsplit(":", 1)
        self.target = (host, int(port))
        self.is_open = threading.Event()
        self.is_open.set()
        # Times at which connections were opened, and ended by the one who opened them.
        self.opened, self.ended = [], []
        self.listener = socket.create_server((ip, 0), backlog=64)
        self.address = "%s:%d" % self.listener.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def cut(self):
        self.is_open.clear()

    def heal(self):
        self.is_open.set()

    def accept(self):
        while True:
            peer, _ = self.listener.accept()
            threading.Thread(target=self.connect, args=(peer,), daemon=True).start()

    def connect(self, peer):
        self.opened.append(time.monotonic())
        held = b""
        while not self.is_open.is_set():
            # Held up: the peer may give up meanwhile, and its bytes are lost then.
            readable, _, _ = select.select([peer], [], [], 0.005)
            if readable:
                try:
                    data = peer.recv(65536)
                except OSError:
                    data = b""
                if not data:
                    self.ended.append(time.monotonic())
                    peer.close()
                    return
                held += data
        try:
            other = socket.create_connection(self.target)
            other.sendall(held)
        except OSError:
            peer.close()
            return
        for one, two in ((peer, other), (other, peer)):
            threading.Thread(target=self.copy, args=(one, two), daemon=True).start()

    def copy(self, one, two):
        try:
            while data := one.recv(65536):
                self.is_open.wait()
                two.sendall(data)
        except OSError:
            pass
        for side in (one, two):
            try:
                side.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


def reset(connection):
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


class Replica:
    """A replica of a plain service. `work` gets the handler and the body and sends the answer."""

    def __init__(self, record, name, service, ip="127.0.0.1", slots=64, work_s=0.005, port=0):
        self.record, self.id, self.service, self.slots = record, name, service, slots
        self.work_s = work_s
        self.born = int(time.time() * 1000)
        self.arrived = []
        self.lock = threading.Lock()
        self.state, self.remaining_ms, self.is_gone = "ready", None, False
        replica = self

        class ReplicaHandler(Handler):
            def do_GET(self):
                replica.serve(self)

            def do_POST(self):
                replica.serve(self)

        self.server = Server((ip, port), ReplicaHandler).start()
        self.address = "%s:%d" % self.server.server_address

    def publish(self, store):
        """Writes the entry, and again at a ping if more than its sequence has changed."""
        written = None
        while not self.is_gone:
            entry = self.entry()
            visible = {key: value for key, value in entry.items() if key != "sequence"}
            if visible != written:
                store.write("keyed.servers", self.id, entry)
                written = visible
            time.sleep(PING_S)
        time.sleep(3 * PING_S)  # the entry lapses after three intervals of silence
        if written is not None:
            store.write("keyed.servers", self.id, None)

    def start_publishing(self, store):
        store.write("keyed.servers", self.id, self.entry())
        threading.Thread(target=self.publish, args=(store,), daemon=True).start()

    def entry(self, state=None):
        left = {} if self.remaining_ms is None else {"remaining_ms": self.remaining_ms}
        return left | {
            "service": self.service,
            "address": self.address,
            "zone": "north",
            "version": "v1",
            "slots": self.slots,
            "state": state or self.state,
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": self.born,
        }

    def serve(self, request):
        body = request.read_body()
        attempt = request.headers.get("Cowslipdeal-Attempt-Id", "")
        expected = request.headers.get("Cowslipdeal-Expect-Instance", self.id)
        if expected != self.id:
            request.reply(421, b"", [("Cowslipdeal-Attempt-Id", attempt)])
            return
        at = self.record.now()
        with self.lock:
            self.arrived.append((at, attempt))
        self.record.write(f"{self.id} runs {attempt} {request.command} {request.path} {len(body)} bytes")
        time.sleep(self.work_s)
        self.answer(request, attempt)

    def answer(self, request, attempt, status=200, body=b"done", headers=()):
        signature = f"{self.id}.{attempt}.{len(body)}"
        request.reply(
            status,
            body,
            [
                ("Cowslipdeal-Attempt-Id", attempt),
                ("Cowslipdeal-Response-Signature", signature),
                *headers,
            ],
        )


def plain_route(name, prefix, kind, service, attempts=1, timeout_ms=2000, aim_ms=300):
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": aim_ms,
        "priority": 2,
        "service": service,
        "max_attempts": attempts,
    }


def stream_route(name, prefix, service, attempts=2, resumable=True, timeout_ms=15000, aim_ms=1000):
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": "streaming",
        "timeout_ms": timeout_ms,
        "target_latency_ms": aim_ms,
        "priority": 1,
        "service": service,
        "max_attempts": attempts,
        "sticky": True,
        "resumable": resumable,
        "gap_aim_ms": 400,
    }


def configuration(version, routes, services):
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


class Processes:
    """The project's processes, started as the deploy file says; all are ended by `close`."""

    def __init__(self, record):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.children = {}

    def start(self, role, name, settings):
        path = self.folder / f"{name}.yaml"
        path.write_text(settings, encoding="utf-8")
        log = open(self.folder / f"{name}.log", "ab")
        child = subprocess.Popen(
            [str(PROGRAM), role, "--settings", str(path)],
            stdout=log,
            stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL,
            cwd=ROOT,
            env={"PATH": os.environ.get("PATH", "")},
        )
        self.children[name] = child
        self.record.write(f"{name} started")
        return child

    def log(self, name):
        return (self.folder / f"{name}.log").read_text(encoding="utf-8", errors="replace")

    def send(self, name, number):
        self.record.write(f"{name} gets {signal.Signals(number).name}")
        self.children[name].send_signal(number)

    def close(self):
        for child in self.children.values():
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
            child.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


class Gateway:
    """Addresses and settings of one gateway, with the fields of deploy/gateway.yaml."""

    def __init__(self, name, store, broker_port, ip="127.0.0.1"):
        self.name, self.store, self.broker_port = name, store, broker_port
        self.callers = (ip, free_port(ip))
        self.readiness = (ip, free_port(ip))
        self.metrics = (ip, free_port(ip))

    def settings(self, **changes):
        values = {"store": self.store, "leave_ms": 2000, "apply_ms": 2000} | changes
        return f"""\
instance: "{self.name}"
data_centre: "north"
listen:
  callers: "{self.callers[0]}:{self.callers[1]}"
  readiness: "{self.readiness[0]}:{self.readiness[1]}"
  metrics: "{self.metrics[0]}:{self.metrics[1]}"
store: "{values['store']}"
broker_port: {self.broker_port}
data_centres:
  - "north"
leave_ms: {values['leave_ms']}
apply_ms: {values['apply_ms']}
memory_mb: 260
retry_budget:
  ratio: 0.2
  slack: 56
  window_s: 10
shutdown:
  grace_s: 8
"""

    def is_ready(self):
        try:
            client = http.client.HTTPConnection(*self.readiness, timeout=1)
            client.request("GET", "/api/ready")
            status = client.getresponse().status
            client.close()
            return status == 200
        except OSError:
            return False

    def wait_until_ready(self, limit=10.0):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if self.is_ready():
                return True
            time.sleep(0.05)
        return False


class Answer:
    def __init__(self, status, headers, body, is_complete):
        self.status, self.headers, self.body, self.is_complete = status, headers, body, is_complete


def send(address, method, path, attempt, body=b"", headers=(), deadline_ms=2000, timeout=6.0):
    """Sends one request on a new connection and reads its whole answer."""
    client = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        fields = {
            "Host": HOST,
            "Cowslipdeal-Attempt-Id": attempt,
            "Cowslipdeal-Deadline-Ms": str(deadline_ms),
            **dict(headers),
        }
        client.request(method, path, body=body or None, headers=fields)
        response = client.getresponse()
        try:
            return Answer(response.status, response.headers, response.read(), True)
        except (http.client.HTTPException, OSError):
            return Answer(response.status, response.headers, b"", False)
    except (http.client.HTTPException, OSError):
        return Answer(0, {}, b"", False)
    finally:
        client.close()


class Engine(Replica):
    """A model replica: it streams events, reports itself and carries out orders."""

    def __init__(self, record, name, service, ip, adapters, event_gap_s=0.25, slots=8, adapter_slots=4):
        super().__init__(record, name, service, ip=ip, slots=slots)
        self.adapters = dict(adapters)
        self.adapter_slots = adapter_slots
        self.event_gap_s = event_gap_s
        self.sequence = 1
        self.newest = {}
        self.coming = {}
        self.answers = 0
        # Numbers of the answers of this replica that stop within an event, and that event.
        self.stopping_answers = ()
        self.stops_within = 0
        # Memory for weights and adapters together, and what each takes; without it, any number fits.
        self.weights_mb, self.model_mb, self.adapter_mb = float("inf"), 0.0, 0.0
        self.excess_orders = []
        self.runs = {}
        self.begun = []
        self.open = []

    def models(self):
        adapters = [f"{name}@{version}" for name, version in sorted(self.adapters.items())]
        return [{"name": MODEL, "version": 1, "adapters": adapters}]

    def entry(self, state=None):
        return super().entry(state) | {"stage": "both", "models": self.models(), "sequence": self.sequence}

    def exit(self):
        """Ends the replica: no connection is taken any more, and open ones are closed."""
        self.is_gone = True
        self.server.shutdown()
        self.server.socket.close()
        with self.lock:
            connections, self.open = self.open, []
        for connection in connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def serve(self, request):
        with self.lock:
            self.open.append(request.connection)
        body = request.read_body()
        if request.path == "/api/report":
            return self.report(request)
        expected = request.headers.get("Cowslipdeal-Expect-Instance", self.id)
        attempt = request.headers.get("Cowslipdeal-Attempt-Id", "")
        if expected != self.id:
            return request.reply(421, b"", [("Cowslipdeal-Attempt-Id", attempt)])
        if request.path == "/api/order":
            return self.order(request, json.loads(body))
        return self.generate(request, attempt)

    def report(self, request):
        with self.lock:
            runs = [
                [name, 100 + events, events, 1] for name, (events, _) in self.runs.items() if events
            ]
            coming = [f"{MODEL}/{name}@{version}" for name, version in self.coming.items()]
            body = {
                "born": self.born,
                "stage": "both",
                "models": self.models(),
                "busy": False,
                "sequence": self.sequence,
                "queued": 0,
                "in_flight": len(self.runs),
                "kv_used": 0,
                "kv_total": 100000,
                "handles": 0,
                "coming": coming,
                "runs": runs,
            }
        request.reply(200, json.dumps(body).encode())

    def order(self, request, order):
        if "holder" not in order or "fencing_token" not in order:
            return request.reply(400)
        name = order.get("adapter")
        with self.lock:
            if order.get("expect", self.sequence) != self.sequence:
                return request.reply(409)
            if name is None:
                return request.reply(200)  # the model is there
            if order["operation"] == "unload":
                return self.unload(request, name)
            version = order.get("version") or self.newest.get(name, 1)
            if self.adapters.get(name) == version:
                return request.reply(200)
            self.coming[name] = version
            held = list(self.adapters) + list(self.coming)
            taken = self.model_mb + len(held) * self.adapter_mb
            is_excess = taken > self.weights_mb or len(held) > self.adapter_slots
            self.sequence += 1
            running = len(self.runs)
        self.record.write(f"{self.id} accepts {order}")
        if is_excess:
            text = (
                f"{self.id} is ordered to hold {len(held)} adapters ({self.adapter_slots} places) and "
                f"{taken:.0f} MB ({self.weights_mb:.0f} MB), and crashes with {running} running requests"
            )
            self.record.write(text)
            self.excess_orders.append(text)
            threading.Thread(target=self.exit, daemon=True).start()
            return None
        threading.Timer(ADAPTER_LOAD_S, self.loaded, (name, version)).start()
        return request.reply(202)

    def loaded(self, name, version):
        with self.lock:
            self.coming.pop(name, None)
            self.adapters[name] = version

    def unload(self, request, name):
        """Drops an adapter at once if no request uses it, otherwise after its runs."""
        self.sequence += 1
        self.record.write(f"{self.id} accepts an unload of {name}")
        if any(adapter == name for _, adapter in self.runs.values()):
            threading.Thread(target=self.unload_later, args=(name,), daemon=True).start()
            return request.reply(202)
        self.adapters.pop(name, None)
        return request.reply(200)

    def unload_later(self, name):
        while True:
            time.sleep(0.02)
            with self.lock:
                if not any(adapter == name for _, adapter in self.runs.values()):
                    self.adapters.pop(name, None)
                    return

    def generate(self, request, attempt):
        adapter = request.headers.get("Cowslipdeal-Model", "").partition("/")[2]
        version = self.adapters.get(adapter)
        wanted = request.headers.get("Cowslipdeal-Expect-Version")
        refusal = [("Cowslipdeal-Attempt-Id", attempt)]
        if version is None or (wanted is not None and int(wanted) != version):
            self.record.write(f"{self.id} answers 421 to {attempt}: {adapter}@{wanted}, it has {version}")
            return request.reply(421, b"", refusal)
        usage = request.headers.get("Cowslipdeal-Token-Usage", "1,1")
        first = int(request.headers.get("Last-Event-Id") or 0) + 1
        last = int(usage.split(",")[1])
        with self.lock:
            self.answers += 1
            stops_within = self.stops_within if self.answers in self.stopping_answers else 0
            self.runs[attempt] = (0, adapter)
        request.send_response_only(200)
        for name, value in (
            ("Cowslipdeal-Attempt-Id", attempt),
            ("Cowslipdeal-Response-Signature", f"{self.id}.{attempt}"),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ):
            request.send_header(name, value)
        request.end_headers()
        try:
            for number in range(first, last + 1):
                time.sleep(self.event_gap_s)
                if number == first and not self.is_gone:  # a request begins with its first token
                    self.begun.append((self.record.now(), attempt, adapter, version, first))
                    self.record.write(
                        f"{self.id} begins {attempt} on {adapter}@{version} at event {first} of {last}"
                    )
                event = f"id: {number}\ndata: part {number}\n\n".encode()
                stops = number == stops_within
                event = event[: len(event) // 2] if stops else event
                request.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
                request.wfile.flush()
                with self.lock:
                    self.runs[attempt] = (number, adapter)
                if stops:
                    self.record.write(f"{self.id} stops within event {number} of {attempt}")
                    break
            request.wfile.write(b"0\r\n\r\n")
            request.wfile.flush()
        except OSError:
            self.record.write(f"{self.id}: the run of {attempt} breaks off")
            request.close_connection = True
        finally:
            with self.lock:
                self.runs.pop(attempt, None)


def engine_service(name, adapter_slots=4, slots=8, weights_mb=74600.0):
    return {
        "name": name,
        "health_path": "/health",
        "max_connections": 370,
        "engine": {
            "slots": slots,
            "kv_capacity": 100000,
            "weights_mb": weights_mb,
            "adapter_slots": adapter_slots,
            "loads_per_s": 4.5,
            "models": [
                {
                    "name": MODEL,
                    "weights_mb": MODEL_MB,
                    "load_time_s": 4.3,
                    "adapters": 3000,
                    "adapter_mb": ADAPTER_MB,
                }
            ],
        },
    }


def broker_settings(name, ip, port, engine):
    """Settings of a broker, with the fields of deploy/broker.yaml."""
    return f"""\
instance: "{name}"
data_centre: "north"
listen: "{ip}:{port}"
engine: "{engine}"
metrics: "{ip}:{free_port(ip)}"
"""


def free_port_on(ips):
    """A port that is free on each of the addresses, as internal ports are the same on all machines."""
    for _ in range(200):
        port = free_port(ips[0])
        try:
            for ip in ips[1:]:
                with socket.socket() as probe:
                    probe.bind((ip, port))
            return port
        except OSError:
            continue
    raise OSError("no port is free on all addresses")


def main(folder, run):
    """Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(folder)
    processes = Processes(record)
    code = 2

    def give_up():
        record.write("the case took too long")
        processes.close()
        os._exit(2)

    guard = threading.Timer(110, give_up)
    guard.daemon = True
    guard.start()
    try:
        if PROGRAM.exists():
            code = run(record, processes, os.environ.get("TROUBLE") != "0")
        else:
            record.write("the program is not built; run review/build.sh")
    except Exception as error:  # whatever went wrong, the rule was not judged
        record.write(f"the case could not run: {error!r}")
        code = 2
    finally:
        if os.environ.get("KEEP_LOGS"):
            for name in processes.children:
                print(f"== {name}\n{processes.log(name)[-6000:]}", flush=True)
        processes.close()
    record.write(f"exit {code}")
    os._exit(code)
