"""Stand-ins for review scripts: the platform's store, replicas and clients, and the project's processes.

Everything runs on loopback addresses in one asyncio loop, beside gateways and brokers that are started
as processes with the commands of the deploy file. The stand-ins follow the users' pages; where a page is
silent they behave like a sound server, client or platform.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import pathlib
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target" / "release" / "cowslipdeal"
ZONE = "zone-a"


def now_ms():
    return int(time.time() * 1000)


class Record:
    """What was sent, answered and run, written to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():8.3f} s  {text}\n")
        self.file.flush()


# ---------------------------------------------------------------- HTTP

class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body

    def get(self, name, default=None):
        return self.headers.get(name.lower(), default)

    @property
    def path(self):
        return self.target.split("?")[0]

    @property
    def query(self):
        text = self.target.partition("?")[2]
        return dict(part.partition("=")[::2] for part in text.split("&") if part)


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        if size == 0:
            while (await reader.readline()) not in (b"\r\n", b""):
                pass
            return
        data = await reader.readexactly(size)
        await reader.readexactly(2)
        yield data


async def read_request(reader):
    line, headers = await read_head(reader)
    method, target, _ = line.split(" ")
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b"".join([data async for data in read_chunks(reader)])
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body)


def head_bytes(status, headers):
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def whole(status, body=b"", headers=None):
    headers = dict(headers or {})
    headers["Content-Length"] = len(body)
    return head_bytes(status, headers) + body


class Server:
    """Listener whose connections each serve one request at a time."""

    def __init__(self):
        self.server = None
        self.writers = set()
        self.tasks = set()

    async def listen(self, ip, port):
        self.server = await asyncio.start_server(self.connection, ip, port, limit=1 << 20)

    async def connection(self, reader, writer):
        self.writers.add(writer)
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                request = await read_request(reader)
                if await self.serve(request, reader, writer) is False:
                    break
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(asyncio.current_task())
            with contextlib.suppress(Exception):
                writer.close()

    def abort(self):
        """Ends the listener and all connections at once, as the end of a process does."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()


# ---------------------------------------------------------------- store

class Store(Server):
    """The platform's store: the topics of the operator and of the replicas."""

    def __init__(self):
        super().__init__()
        self.topics = {"keyed.op": [], "keyed.servers": [], "keyed.status": []}
        self.changed = asyncio.Event()
        self.reads = 0

    async def put(self, topic, key, value):
        data = b"" if value is None else json.dumps(value).encode()
        self.topics[topic].append((key, data))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, request, reader, writer):
        self.reads += 1
        query = request.query
        log = self.topics.get(query.get("topic"), [])
        if request.path == "/api/log-newest":
            newest = {}
            for offset, (key, value) in enumerate(log):
                newest.pop(key, None)
                if value:
                    newest[key] = (value, offset)
            after = query.get("after", "")
            items = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (value, offset) in sorted(newest.items()) if key > after
            ]
            body = {"items": items[:500], "has_more": len(items) > 500, "end": len(log)}
            writer.write(whole(200, json.dumps(body).encode(), {"Content-Type": "application/json"}))
        elif request.path == "/api/log-read":
            start, wait = int(query["from"]), int(query.get("wait_ms", 0)) / 1000
            end = time.monotonic() + wait
            while start >= len(log) and time.monotonic() < end:
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
            out = struct.pack(">QQ", len(log), 0)
            for key, value in log[start:]:
                content = bytes([len(key)]) + key.encode() + value
                out += struct.pack(">I", len(content)) + content
            writer.write(whole(200, out))
        else:
            writer.write(whole(404))
        await writer.drain()


# ---------------------------------------------------------------- replicas

class Replica(Server):
    """What replicas of engines and of plain services have in common."""

    numbers = itertools.count(1)

    def __init__(self, fleet, service, ip, port, slots):
        super().__init__()
        self.fleet, self.service, self.ip, self.port, self.slots = fleet, service, ip, port, slots
        self.id, self.born, self.state = None, 0, "gone"
        self.up = False

    async def start(self, id=None):
        self.id = id or f"i-{next(Replica.numbers):04x}{os.urandom(2).hex()}"
        self.born = now_ms()
        self.state, self.up = "ready", True
        self.reset()
        await self.listen(self.ip, self.port)
        await self.beat()
        self.fleet.record.write(f"replica {self.id} of {self.service} starts at {self.ip}:{self.port}")

    def reset(self):
        pass

    def models(self):
        return []

    async def beat(self):
        await self.fleet.store.put("keyed.servers", self.id, {
            "service": self.service, "address": f"{self.ip}:{self.port}", "zone": ZONE,
            "version": "v1", "slots": self.slots, "state": self.state, "cold_remaining_ms": 0,
            "stage": "both", "models": self.models(), "sequence": getattr(self, "sequence", 0),
            "born": self.born})

    async def drain(self):
        self.state = "draining"
        await self.beat()
        self.fleet.record.write(f"store accepts: {self.id} is draining")

    def crash(self, why):
        if self.up:
            self.up = False
            self.fleet.record.write(f"replica {self.id} crashes ({why})")
            self.abort()

    def reply_headers(self, request):
        headers = {"Cowslipdeal-Attempt-Id": request.get("cowslipdeal-attempt-id", ""),
                   "Cowslipdeal-Instance-Id": self.id}
        return headers

    def refuse(self, request, status):
        headers = self.reply_headers(request)
        headers["Cowslipdeal-Not-Executed"] = "1"
        return whole(status, b"", headers)


class Engine(Replica):
    """A model replica with continuous batching, as far as the scripts need it."""

    def __init__(self, fleet, service, ip, port, model, adapter_slots=6, load_time=0.6):
        super().__init__(fleet, service, ip, port, 64)
        self.model, self.adapter_slots, self.load_time = model, adapter_slots, load_time
        self.bad_part = None
        self.prefill, self.gap, self.events = 0.03, 0.02, 8
        self.has_model = True
        self.on_run = None

    def reset(self):
        self.sequence, self.adapters, self.loading, self.busy = 0, {}, {}, False
        self.queued, self.runs = 0, {}

    def models(self):
        if not self.has_model:
            return []
        adapters = [f"{name}@{version}" for name, version in self.adapters.items()]
        return [{"name": self.model, "version": 1, "adapters": adapters}]

    def report(self):
        runs = [[id, 100 + made, made, 5] for id, made in self.runs.items() if made]
        coming = [f"{self.model}/{name}@{version}" for name, version in self.loading.items()]
        return {"born": self.born, "stage": "both", "models": self.models(), "busy": self.busy,
                "sequence": self.sequence, "queued": 0, "in_flight": len(self.runs), "kv_used": 0,
                "kv_total": 148713, "handles": 0, "coming": coming, "state": self.state, "runs": runs}

    def order(self, request):
        if request.get("cowslipdeal-expect-instance") not in (None, self.id):
            return whole(421, b"", self.reply_headers(request))
        body = json.loads(request.body)
        self.fleet.record.write(f"order at {self.id}: {request.body.decode()}")
        if "holder" not in body or "fencing_token" not in body:
            return whole(400)
        if "expect" in body and body["expect"] != self.sequence:
            return whole(409)
        if "adapter" not in body:
            if self.has_model:
                return whole(200)
            if self.busy:
                return whole(409)
            self.sequence += 1
            self.busy = True
            asyncio.create_task(self.load_model(self.born))
            return whole(202)
        name = body["adapter"]
        if body["operation"] == "unload":
            self.sequence += 1
            self.adapters.pop(name, None)
            return whole(200)
        if not self.has_model:
            return whole(400)
        taken = len(self.adapters) + len(self.loading)
        if name not in self.adapters and taken >= self.adapter_slots:
            self.fleet.record.write(f"LIMIT at {self.id}: {taken} places are taken")
            self.fleet.over_limit += 1
        self.sequence += 1
        self.loading[name] = body.get("version", 1)
        asyncio.create_task(self.load_adapter(name, self.born))
        return whole(202)

    async def load_model(self, born):
        await asyncio.sleep(self.load_time)
        if self.born == born and self.up:
            self.busy, self.has_model = False, True
            await self.beat()

    async def load_adapter(self, name, born):
        await asyncio.sleep(0.25)
        if self.born == born and self.up:
            self.adapters[name] = self.loading.pop(name)

    async def serve(self, request, reader, writer):
        if request.path == "/api/report":
            writer.write(whole(200, json.dumps(self.report()).encode(),
                               {"Content-Type": "application/json"}))
        elif request.path == "/api/order":
            writer.write(self.order(request))
        elif request.path == "/health":
            writer.write(whole(200, b"", self.reply_headers(request)))
        else:
            return await self.generate(request, writer)
        await writer.drain()

    async def generate(self, request, writer):
        id = request.get("cowslipdeal-attempt-id")
        prefix = request.get("cowslipdeal-prompt-prefix", "")
        parts = [part.split(":")[0] for part in prefix.split(",")]
        if request.get("cowslipdeal-expect-instance") not in (None, self.id):
            writer.write(whole(421, b"", self.reply_headers(request)))
            return
        model, _, adapter = request.get("cowslipdeal-model", "").partition("/")
        held = self.has_model and model == self.model and (not adapter or adapter in self.adapters)
        if not held:
            writer.write(whole(421, b"", self.reply_headers(request)))
            return
        self.fleet.arrived(self, request)
        self.runs[id] = 0
        born = self.born
        try:
            await asyncio.sleep(self.prefill)
            if self.bad_part in parts[:-1]:
                self.crash(f"part {self.bad_part} of request {id}")
                return False
            headers = self.reply_headers(request)
            headers["Cowslipdeal-Response-Signature"] = f"{self.id}.{id}"
            headers["Cowslipdeal-Weight-Versions"] = 1
            headers["Content-Type"] = "text/event-stream"
            headers["Transfer-Encoding"] = "chunked"
            writer.write(head_bytes(200, headers))
            first = int(request.get("last-event-id", 0)) + 1
            for number in range(first, self.events + 1):
                event = f"id: {number}\ndata: {id} {number}/{self.events}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                self.runs[id] = number
                await writer.drain()
                await asyncio.sleep(self.gap)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            if self.born == born:
                self.runs.pop(id, None)


class Service(Replica):
    """A replica of a plain service."""

    def __init__(self, fleet, service, ip, port, work=0.03, slots=6):
        super().__init__(fleet, service, ip, port, slots)
        self.work = work
        self.open = 0

    async def serve(self, request, reader, writer):
        if request.path == "/health":
            writer.write(whole(200, b"", self.reply_headers(request)))
            return
        if request.get("cowslipdeal-expect-instance") not in (None, self.id):
            writer.write(whole(421, b"", self.reply_headers(request)))
            return
        self.fleet.arrived(self, request)
        self.open += 1
        try:
            await asyncio.sleep(self.work)
        finally:
            self.open -= 1
        id = request.get("cowslipdeal-attempt-id")
        headers = self.reply_headers(request)
        headers["Cowslipdeal-Response-Signature"] = f"{self.id}.{id}"
        headers["Cowslipdeal-Server-Load"] = f"{self.open},0,{self.slots},100"
        writer.write(whole(200, b"x" * 800, headers))
        await writer.drain()


# ---------------------------------------------------------------- clients

class Answer:
    def __init__(self):
        self.status, self.headers, self.body, self.complete = 0, {}, b"", False
        self.error = None

    @property
    def events(self):
        return self.body.count(b"\n\n")


async def ask(address, method, path, headers, body=b"", limit=5.0):
    """Sends one request on a new connection and reads the whole answer."""
    answer = Answer()

    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            lines = {"Host": "x.example", **headers}
            if body or method == "POST":
                lines["Content-Length"] = len(body)
            text = [f"{method} {path} HTTP/1.1"] + [f"{n}: {v}" for n, v in lines.items()]
            writer.write(("\r\n".join(text) + "\r\n\r\n").encode() + body)
            await writer.drain()
            line, answer.headers = await read_head(reader)
            answer.status = int(line.split(" ")[1])
            if "chunked" in answer.headers.get("transfer-encoding", ""):
                async for data in read_chunks(reader):
                    answer.body += data
            else:
                answer.body = await reader.readexactly(int(answer.headers.get("content-length", 0)))
            answer.complete = True
        finally:
            writer.close()

    try:
        await asyncio.wait_for(exchange(), limit)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError) as error:
        answer.error = type(error).__name__
    return answer


# ---------------------------------------------------------------- processes

class Process:
    def __init__(self, fleet, role, name, ip, settings):
        self.fleet, self.role, self.name, self.ip = fleet, role, name, ip
        self.path = fleet.folder / f"{name}.yaml"
        self.path.write_text(settings, encoding="utf-8")
        self.child = None

    async def start(self):
        log = open(self.fleet.folder / f"{self.name}.log", "ab")
        self.child = await asyncio.create_subprocess_exec(
            str(PROGRAM), self.role, "--settings", str(self.path), stdout=log, stderr=log, cwd=ROOT)
        log.close()
        self.fleet.record.write(f"{self.role} {self.name} starts")

    async def kill(self, number=signal.SIGKILL):
        if self.child and self.child.returncode is None:
            self.child.send_signal(number)
            await self.child.wait()
            self.fleet.record.write(f"{self.role} {self.name} is ended by signal {int(number)}")

    def rss_mb(self):
        """Memory in use; 0 while the process starts or ends."""
        with contextlib.suppress(OSError):
            for line in pathlib.Path(f"/proc/{self.child.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) / 1000
        return 0.0


class Fleet:
    """A small deployment: a store, replicas, gateways, and a broker beside each engine."""

    replica_kind = Service
    engine_kind = Engine

    def __init__(self, case):
        self.case = pathlib.Path(case)
        self.record = Record(self.case / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.gateways, self.brokers, self.engines, self.services = [], [], [], []
        self.over_limit = 0
        self.arrivals = []
        self.ports = set()
        self.numbers = itertools.count(1)
        self.model = "daka510000"

    def free_port(self):
        """A port that is free on the addresses used here."""
        while True:
            with socket.socket() as probe:
                probe.bind(("0.0.0.0", 0))
                port = probe.getsockname()[1]
            if port not in self.ports:
                self.ports.add(port)
                return port

    def arrived(self, replica, request):
        id = request.get("cowslipdeal-attempt-id")
        self.arrivals.append((self.record.now(), replica, request))
        self.record.write(f"request {id} reaches {replica.id}")

    async def begin(self, gateways, engines, services=2, model_ready=True, **options):
        self.store_port = self.free_port()
        await self.store.listen("127.0.0.1", self.store_port)
        self.broker_port = self.free_port()
        for number in range(engines):
            engine = self.engine_kind(self, "huvo11a", f"127.0.1.{number + 1}", self.free_port(), self.model)
            engine.has_model = model_ready
            self.engines.append(engine)
            await engine.start()
        for number in range(services):
            replica = self.replica_kind(self, "wuno96b", f"127.0.2.{number + 1}", self.free_port())
            self.services.append(replica)
            await replica.start()
        self.config = self.configuration(**options)
        await self.store.put("keyed.op", "config", self.config)
        for number, engine in enumerate(self.engines):
            settings = (f'instance: "side-{number}"\ndata_centre: "{ZONE}"\n'
                        f'listen: "{engine.ip}:{self.broker_port}"\n'
                        f'engine: "{engine.ip}:{engine.port}"\n'
                        f'metrics: "{engine.ip}:{self.free_port()}"\n')
            self.brokers.append(Process(self, "broker", f"side-{number}", engine.ip, settings))
        for number in range(gateways):
            ip = f"127.0.3.{number + 1}"
            process = Process(self, "gateway", f"front-{number}", ip, "")
            process.port, process.ready_port = self.free_port(), self.free_port()
            process.path.write_text(self.gateway_settings(process), encoding="utf-8")
            self.gateways.append(process)
        for process in self.brokers + self.gateways:
            await process.start()
        await self.until_ready(self.gateways)

    def gateway_settings(self, process, memory_mb=260, revocation_ms=None):
        revocation = f"revocation_ms: {revocation_ms}\n" if revocation_ms else ""
        return (f'instance: "{process.name}"\ndata_centre: "{ZONE}"\nlisten:\n'
                f'  callers: "{process.ip}:{process.port}"\n'
                f'  readiness: "{process.ip}:{process.ready_port}"\n'
                f'  metrics: "{process.ip}:{self.free_port()}"\n'
                f'store: "127.0.0.1:{self.store_port}"\nbroker_port: {self.broker_port}\n'
                f'data_centres:\n  - "{ZONE}"\nremote_traffic: adaptive\nleave_ms: 2000\n'
                f'settling_ms: 3000\napply_ms: 2000\n{revocation}memory_mb: {memory_mb}\n'
                'retry_budget:\n  ratio: 0.2\n  slack: 56\n  window_s: 10\nshutdown:\n  grace_s: 8\n')

    def configuration(self, stream_timeout=4000, attempts=2, adapter_slots=6):
        route = {"host": "x.example", "priority": 1}
        return {
            "version": 7,
            "routes": [
                {**route, "name": "r-stream", "path_prefix": "/lohu930/", "kind": "streaming",
                 "timeout_ms": stream_timeout, "target_latency_ms": 800, "service": "huvo11a",
                 "max_attempts": attempts, "sticky": True, "resumable": True, "gap_aim_ms": 400},
                {**route, "name": "r-unsafe", "path_prefix": "/puxa403/", "kind": "unsafe",
                 "timeout_ms": 1000, "target_latency_ms": 150, "service": "wuno96b",
                 "max_attempts": 1},
                {**route, "name": "r-safe", "path_prefix": "/cufi504/", "kind": "safe",
                 "timeout_ms": 1000, "target_latency_ms": 150, "service": "wuno96b",
                 "max_attempts": 2},
            ],
            "services": [
                {"name": "huvo11a", "health_path": "/health", "max_connections": 370,
                 "protocol": "h1", "tls": False,
                 "engine": {"slots": 64, "kv_capacity": 148713, "kv_token_bytes": 327680,
                            "models": [{"name": self.model, "weights_mb": 72700.0,
                                        "load_time_s": 0.6, "adapters": 3000, "adapter_mb": 66.0}],
                            "weights_mb": 74600.0, "adapter_slots": adapter_slots,
                            "loads_per_s": 4.5}},
                {"name": "wuno96b", "health_path": "/health", "max_connections": 110,
                 "protocol": "h1", "tls": False},
            ],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        }

    async def until_ready(self, gateways, limit=10.0):
        end = time.monotonic() + limit
        for gateway in gateways:
            while True:
                answer = await ask((gateway.ip, gateway.ready_port), "GET", "/api/ready", {}, limit=1)
                if answer.status == 200:
                    break
                if time.monotonic() > end:
                    raise CannotRun(f"{gateway.name} does not become ready")
                await asyncio.sleep(0.05)

    def attempt_id(self):
        return f"{next(self.numbers):06x}{os.urandom(5).hex()}"

    async def generation(self, gateway, prefix, id=None, deadline_ms=4000, adapter=""):
        id = id or self.attempt_id()
        headers = {"Cowslipdeal-Attempt-Id": id, "Cowslipdeal-Model": self.model + adapter,
                   "Cowslipdeal-Token-Usage": "1400,16", "Cowslipdeal-Prompt-Prefix": prefix,
                   "Cowslipdeal-Deadline-Ms": deadline_ms}
        return id, await ask((gateway.ip, gateway.port), "POST", "/lohu930/2f", headers, b"{}",
                             deadline_ms / 1000)

    async def end(self):
        for process in self.gateways + self.brokers:
            with contextlib.suppress(ProcessLookupError):
                await process.kill()
        for server in self.engines + self.services + [self.store]:
            server.abort()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    """The case could not run, which is no result."""


def run(case, play, kind=Fleet):
    """Runs `play(fleet)`, which returns whether the rule was broken, and exits accordingly."""

    async def main():
        fleet = kind(case)
        try:
            return await asyncio.wait_for(play(fleet), 110)
        finally:
            await fleet.end()

    if not PROGRAM.exists():
        print("build the program first")
        sys.exit(2)
    try:
        broken = asyncio.run(main())
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    sys.exit(1 if broken else 0)
