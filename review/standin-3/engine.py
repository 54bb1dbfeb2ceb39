"""Stand-in of a model replica: reports, orders and streams, with crashes and late orders."""

import json
import threading
import time

import standin

EVENTS = 8
EVENT_GAP_S = 0.03


class Engine:
    """A model replica; each boot holds and knows nothing of the one before, but for its id."""

    def __init__(self, record, store, service, ip, name, model, adapter_slots, load_s, adapter_s=0.29):
        self.record, self.store, self.service = record, store, service
        self.ip, self.id, self.model = ip, name, model
        self.adapter_slots, self.load_s, self.adapter_s = adapter_slots, load_s, adapter_s
        self.port = standin.free_port(ip)
        self.lock = threading.RLock()
        self.ended = threading.Event()
        self.is_up = False
        self.late_order = None  # decides on an order: seconds until it is carried out, or None
        self.deadly_part = None
        self.deadly_runs = []
        self.excess = []  # orders beyond the slots
        self.orders = []
        self.boot(has_model=True)
        threading.Thread(target=self.beats, daemon=True).start()

    @property
    def address(self):
        return "%s:%d" % (self.ip, self.port)

    def boot(self, has_model=False):
        with self.lock:
            self.born = int(time.time() * 1000)
            self.sequence = 0
            self.has_model, self.is_busy = has_model, False
            self.adapters, self.coming = {}, {}
            self.runs = {}
            self.connections = set()
            self.is_up = True
        self.record("engine %s: boot, born %d" % (self.id, self.born))
        self.server = standin.serve(self.ip, self.port, EngineHandler, engine=self)
        self.beat()

    def crash(self, down_s):
        self.record("engine %s: crashes" % self.id)
        with self.lock:
            self.is_up = False
            connections = list(self.connections)
        self.server.shutdown()
        self.server.server_close()
        for connection in connections:
            standin.reset(connection)
        time.sleep(down_s)
        self.boot()

    def crash_once(self, connection):
        with self.lock:
            is_first = self.is_up
            self.is_up = False
        standin.reset(connection)
        if is_first:
            threading.Thread(target=self.crash, args=(2.0,), daemon=True).start()

    def close(self):
        self.ended.set()
        self.server.shutdown()
        self.server.server_close()

    def models(self):
        if not self.has_model:
            return []
        names = ["%s@%d" % item for item in sorted(self.adapters.items())]
        return [{"name": self.model, "version": 1, "adapters": names}]

    def beats(self):
        while not self.ended.wait(standin.HEARTBEAT_S):
            self.beat()

    def beat(self):
        with self.lock:
            if not self.is_up:
                return
            entry = {
                "service": self.service, "address": self.address, "zone": "north", "version": "v1", "slots": 64,
                "state": "ready", "cold_remaining_ms": 0, "stage": "both", "models": self.models(),
                "sequence": self.sequence, "born": self.born,
            }
        newest = self.store.newest("keyed.servers", self.id)
        known = dict(json.loads(newest), sequence=0) if newest else None
        if known != dict(entry, sequence=0):
            self.store.try_write("keyed.servers", self.id, entry)

    def report(self):
        with self.lock:
            return {
                "born": self.born, "stage": "both", "models": self.models(), "busy": self.is_busy,
                "sequence": self.sequence, "queued": 0, "in_flight": len(self.runs), "kv_used": 100 * len(self.runs),
                "kv_total": 120177, "handles": 0,
                "runs": [[name, 1000, events, 5] for name, events in self.runs.items() if events],
                "coming": ["%s/%s@%d" % (self.model, name, version) for name, version in self.coming.items()],
            }

    def carry_out(self, order, instance, is_late=False):
        """Carries an order out, as PROTOCOL.md says; returns the status."""
        with self.lock:
            when = "carried out late" if is_late else "arrives"
            text = "engine %s: order %s %s, at sequence %d" % (self.id, json.dumps(order), when, self.sequence)
            if instance is not None and instance != self.id:
                status = 421
            elif not self.is_up:
                status = 503
            elif "expect" in order and order["expect"] != self.sequence:
                status = 409
            elif order["operation"] == "load" and "adapter" not in order:
                status = 409 if self.is_busy else 200 if self.has_model else 202
                if status == 202:
                    self.sequence += 1
                    self.is_busy = True
                    self.later(self.load_s, self.model_loaded)
            elif not self.has_model:
                status = 400
            elif order["operation"] == "load":
                name = order["adapter"]
                version = order.get("version", 1)
                if name in self.adapters and self.adapters[name] == version:
                    status = 200
                else:
                    status = 202
                    self.sequence += 1
                    held = set(self.adapters) | set(self.coming)
                    if name not in held and len(held) >= self.adapter_slots:
                        self.excess.append((self.record.now(), name, sorted(held)))
                        # A replica that is ordered to load more than it holds crashes.
                        threading.Thread(target=self.crash, args=(2.0,), daemon=True).start()
                    self.coming[name] = version
                    self.later(self.adapter_s, lambda: self.adapter_loaded(name, version))
            else:
                status = 200
                if self.adapters.pop(order["adapter"], None) is not None:
                    self.sequence += 1
            self.record("%s: %d" % (text, status))
            return status

    def later(self, delay_s, action):
        born = self.born

        def run():
            with self.lock:
                if self.born == born and self.is_up:
                    action()

        timer = threading.Timer(delay_s, run)
        timer.daemon = True
        timer.start()

    def model_loaded(self):
        self.has_model, self.is_busy = True, False
        self.record("engine %s: model loaded" % self.id)

    def adapter_loaded(self, name, version):
        self.coming.pop(name, None)
        self.adapters[name] = version


class EngineHandler(standin.Handler):
    engine = None

    def setup(self):
        super().setup()
        with self.engine.lock:
            self.engine.connections.add(self.connection)

    def finish(self):
        with self.engine.lock:
            self.engine.connections.discard(self.connection)
        try:
            super().finish()
        except OSError:
            pass

    def do_GET(self):
        if self.path == "/api/report":
            self.answer(200, [("Content-Type", "application/json")], json.dumps(self.engine.report()).encode())
        else:
            self.answer(404)

    def do_POST(self):
        engine, body = self.engine, self.read_body()
        instance = self.headers.get("Cowslipdeal-Expect-Instance")
        if self.path == "/api/order":
            order = json.loads(body)
            with engine.lock:
                engine.orders.append(order)
                delay_s = engine.late_order(order) if engine.late_order else None
            if delay_s is None:
                self.answer(engine.carry_out(order, instance))
                return
            engine.record("engine %s: order %s gets no answer" % (engine.id, json.dumps(order)))
            timer = threading.Timer(delay_s, engine.carry_out, (order, instance, True))
            timer.daemon = True
            timer.start()
            engine.ended.wait(1.0)
            self.close_connection = True
            return
        self.stream(instance)

    def stream(self, instance):
        engine = self.engine
        attempt = self.headers.get("Cowslipdeal-Attempt-Id", "")
        adapter = self.headers.get("Cowslipdeal-Model", "").partition("/")[2]
        expected = self.headers.get("Cowslipdeal-Expect-Version")
        echo = [("Cowslipdeal-Attempt-Id", attempt)]
        with engine.lock:
            version = engine.adapters.get(adapter) if adapter else 1
            is_other = instance is not None and instance != engine.id
            is_missing = not engine.has_model or version is None or (expected is not None and int(expected) != version)
            if not (is_other or is_missing):
                engine.runs[attempt] = 0
        if is_other or is_missing:
            self.answer(421, echo + [("Cowslipdeal-Instance-Id", engine.id), ("Cowslipdeal-Not-Executed", "1")])
            return
        parts = [part.split(":")[0] for part in self.headers.get("Cowslipdeal-Prompt-Prefix", "").split(",")]
        engine.record("engine %s: %s begins, prompt parts %s" % (engine.id, attempt, parts))
        if engine.deadly_part in parts[:-1]:
            # It crashes as it begins to write the answer.
            with engine.lock:
                engine.deadly_runs.append((engine.record.now(), attempt))
            time.sleep(0.05)
            engine.crash_once(self.connection)
            self.close_connection = True
            return
        try:
            self.send_response_only(200)
            for name, value in echo + [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked"),
                                       ("Cowslipdeal-Response-Signature", engine.id + "." + attempt)]:
                self.send_header(name, value)
            self.end_headers()
            first = int(self.headers.get("Last-Event-Id") or 0) + 1
            for number in range(first, EVENTS + 1):
                time.sleep(EVENT_GAP_S)
                text = b"id: %d\ndata: %s %d\n\n" % (number, adapter.encode(), number)
                self.wfile.write(b"%x\r\n%s\r\n" % (len(text), text))
                with engine.lock:
                    if attempt in engine.runs:
                        engine.runs[attempt] = number
            self.wfile.write(b"0\r\n\r\n")
        except OSError:
            self.close_connection = True
        finally:
            with engine.lock:
                engine.runs.pop(attempt, None)


def start_broker(processes, name, engine, port):
    fields = {"node_name": name, "zone": "north", "ip": engine.ip, "internal_ports": [port, port + 15],
              "app": engine.address}
    return processes.start("broker", name, fields, standin.free_port(engine.ip))
