"""A gateway is cut off from the store; afterwards a replica whose entry is removed still gets requests."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.dont_write_bytecode = True
sys.path.insert(0, str(FOLDER.parent / "standin"))

import standin  # noqa: E402

SERVICE = "desk"
DRAIN_S, STABILITY_S, CUT_S = 2.0, 3.0, 5.0
RATE = 60.0


def run(record, processes, has_trouble):
    store = standin.Store()
    link = standin.Proxy(store.address)
    replicas = [
        standin.Replica(record, f"desk-{number}", SERVICE, slots=6, work_s=0.03) for number in range(4)
    ]
    routes = [standin.plain_route("order", "/order/", "unsafe", SERVICE)]
    services = [{"name": SERVICE, "health_path": "/health", "max_connections": 110}]
    store.write("keyed.op", "config", standin.configuration(1, routes, services))
    for replica in replicas:
        store.write("keyed.servers", replica.id, replica.entry())
    gateway = standin.Gateway("front-1", link.address, standin.free_port())
    processes.start("gateway", "front-1", gateway.settings())
    if not gateway.wait_until_ready():
        return 2

    is_over = threading.Event()
    sent = {}

    def client(lane):
        number = 0
        while not is_over.is_set():
            attempt = f"attempt-{lane}-{number}"
            sent[attempt] = record.now()
            answer = standin.send(gateway.callers, "POST", "/order/1", attempt, b"x", (), 2000)
            record.write(f"client: {attempt} {answer.status}")
            number += 1
            time.sleep(max(0.0, 8 / RATE - 0.035))

    clients = [threading.Thread(target=client, args=(lane,)) for lane in range(8)]
    for thread in clients:
        thread.start()
    time.sleep(3.5)  # the machines are in touch
    healed = record.now() - STABILITY_S
    if has_trouble:
        record.write("the gateway is cut off from the store")
        link.cut()
        until = time.monotonic() + CUT_S
        while time.monotonic() < until:
            time.sleep(0.01)
        # The cut ends just after the gateway gave a call up, 5.0 to 6.6 s after its begin.
        known, limit = len(link.ended), time.monotonic() + 3.0
        while len(link.ended) == known and time.monotonic() < limit:
            time.sleep(0.005)
        opened = len(link.opened)
        link.heal()
        healed = record.now()
        record.write("the gateway reaches the store again")
        while len(link.opened) == opened and record.now() < healed + 2.0:
            time.sleep(0.005)
        time.sleep(0.1)
    leaver = replicas[0]
    store.write("keyed.servers", leaver.id, None)
    removed = record.now()
    record.write(f"the store accepts that the entry of {leaver.id} is removed")
    time.sleep(DRAIN_S + STABILITY_S + 1.0)
    is_over.set()
    for thread in clients:
        thread.join()
    # Nothing counts before the machine is in touch again.
    bound = max(removed + DRAIN_S, healed + STABILITY_S)
    late = [
        (at, attempt)
        for at, attempt in leaver.arrived
        if at > bound and sent[attempt] > healed + STABILITY_S
    ]
    for at, attempt in late:
        record.write(
            f"DRAIN: {attempt} reached {leaver.id} {at - removed:.3f} s after its removal (bound 2 s), "
            f"{at - healed:.3f} s after the cut (in touch from 3 s on)"
        )
    return 1 if late else 0


if __name__ == "__main__":
    standin.main(FOLDER, run)
