"""A prompt part that crashes replicas, and a kill of all gateways."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin-3"))
sys.dont_write_bytecode = True
import engine as engines  # noqa: E402
import standin  # noqa: E402

ENGINES = 6
DEADLY = "dead01"
STABILITY_S = standin.BOUNDS["stability_window_ms"] / 1000.0
# Requests with the part come at each gateway in turn.
DEADLY_GAP_S = 1.0
ALLOWED = 3
DEADLINE_MS = 5000


def case(record, processes):
    store = standin.Store(record)
    routes = [standin.route("stream", "/stream/", "streaming", "writer", 2, 5000, sticky=True, resumable=True,
                            gap_aim_ms=400, target_latency_ms=1000)]
    model = {"name": "base", "weights_mb": 65100.0, "load_time_s": 3.9, "adapters": 100, "adapter_mb": 12.0,
             "warm_s": 0.76, "disk_s": 1.6}
    limits = {"slots": 64, "kv_capacity": 120177, "weights_mb": 66500.0, "adapter_slots": 4, "loads_per_s": 13.0,
              "models": [model]}
    store.write("keyed.op", "config", standin.configuration(
        3, routes, [dict(standin.plain_service("writer"), engine=limits)]))
    fleet = [engines.Engine(record, store, "writer", "127.0.0.%d" % (31 + number), "i-engine%d" % number, "base", 4, 0.76)
             for number in range(ENGINES)]
    for engine in fleet:
        engine.deadly_part = DEADLY
    port = standin.free_port(fleet[0].ip)
    brokers = [engines.start_broker(processes, "side-north-%d" % number, engine, port) for number, engine in enumerate(fleet)]
    gateways = [standin.Gateway(processes, store, "front-north-%d" % number, broker_port=port) for number in (1, 2)]
    for gateway in gateways:
        gateway.wait_ready()
    client = standin.Client(record)
    done, sound, deadly = threading.Event(), [], []
    numbers = iter(range(1, 100000))

    def ask(gateway, is_deadly):
        """A request, and the client's retry after a failure, on a new connection at the next gateway."""
        last = next(numbers)
        parts = "5c1e07:100,%s:100,%x:100" % (DEADLY if is_deadly else "91bd%02x" % (last % 7), last)
        headers = [("Cowslipdeal-Model", "base"), ("Cowslipdeal-Token-Usage", "300,24"), ("Cowslipdeal-Prompt-Prefix", parts)]
        started = time.monotonic()
        answer = client.send(gateway, "POST", "/stream/2f", b"prompt %d" % last, deadline_ms=DEADLINE_MS, headers=headers)
        if answer["status"] != 200 or not answer["body"].endswith(b"\n\n") or answer["is_broken"]:
            # Retry-After is honoured up to a third of the time that is left; a longer one ends the request.
            left_s = DEADLINE_MS / 1000.0 - (time.monotonic() - started)
            wait_s = answer["retry_after"] or 0.0
            if left_s > 0.1 and wait_s <= left_s / 3:
                time.sleep(wait_s)
                other = gateways[1 - gateways.index(gateway)]
                answer = client.send(other, "POST", "/stream/2f", b"prompt %d" % last,
                                     deadline_ms=int((left_s - wait_s) * 1000), headers=headers)
        (deadly if is_deadly else sound).append(answer)

    def traffic(gateway):
        count = 0
        while not done.is_set() and count < 3000:
            count += 1
            ask(gateway, False)
            time.sleep(0.05)

    threads = [threading.Thread(target=traffic, args=(gateway,)) for gateway in gateways for _ in range(2)]
    for thread in threads:
        thread.start()

    def crashes():
        return sorted(run for engine in fleet for run in engine.deadly_runs)

    def send_deadly(seconds):
        end = time.monotonic() + seconds
        count = 0
        while time.monotonic() < end:
            thread = threading.Thread(target=ask, args=(gateways[count % 2], True))
            thread.start()
            threads.append(thread)
            count += 1
            time.sleep(DEADLY_GAP_S)

    time.sleep(3.0)
    send_deadly(22.0)
    found = crashes()
    record("%d requests with the part have reached replicas" % len(found))
    if len(found) < 5:
        record("fewer than five crashes: the rule does not bind yet")
    fifth = found[min(4, len(found) - 1)][0]
    if standin.TROUBLE:
        processes.kill([gateway.process for gateway in gateways])
        restarted = record.now()
        for gateway in gateways:
            gateway.start()
    else:
        restarted = record.now()
    for gateway in gateways:
        gateway.wait_ready()
    time.sleep(STABILITY_S + 2.0)
    from_then_on = record.now()
    send_deadly(15.0)
    done.set()
    for thread in threads:
        thread.join()
    found = crashes()
    late = [run for run in found if run[0] > max(fifth, restarted) + STABILITY_S]
    record("sound: %d, served %d; with the part: %d requests, arrivals %s" % (
        len(sound), sum(1 for answer in sound if answer["status"] == 200), len(deadly), ["%.3f" % at for at, _ in found]))
    for engine in fleet:
        engine.close()
    store.close()
    if len(found) < 5 or len(late) <= ALLOWED:
        return []
    return ["BUDGET: %d requests with a part that crashes replicas reached replicas later than %.1f s after the fifth crash at %.3f"
            " and after the start of the processes, the first at %.3f" % (len(late), STABILITY_S, fifth, late[0][0])]


sys.exit(standin.play(FOLDER, case))
