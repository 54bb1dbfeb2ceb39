"""A store that returns from an older copy while the operator takes a key away."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin-3"))
sys.dont_write_bytecode = True
import standin  # noqa: E402

AWAY_S = 1.0
REVOKE_MS = standin.BOUNDS["revoke_ms"]
KEPT, TAKEN = "asnmgkcuyj8pjbvk9m68", "k7b2ex5wa5xwyhks8nbk"


def configuration(version, keys, timeout_ms=2000):
    routes = [
        standin.route("order", "/order/", "unsafe", "desk", 1, timeout_ms, public=False),
        standin.route("stream", "/stream/", "streaming", "writer", 2, 5000, public=False, sticky=True,
                      resumable=True, gap_aim_ms=400),
    ]
    engine = {"slots": 64, "kv_capacity": 120177, "weights_mb": 66500.0, "adapter_slots": 4, "loads_per_s": 13.0,
              "models": [{"name": "base", "weights_mb": 65100.0, "load_time_s": 3.9, "adapters": 100, "adapter_mb": 12.0}]}
    services = [standin.plain_service("desk"), dict(standin.plain_service("writer"), engine=engine)]
    return standin.configuration(version, routes, services, [{"name": "agency", "api_keys": keys}])


def version_of(adapter, version):
    return "version/base." + adapter, {"model": "base", "adapter": adapter, "version": version}


def case(record, processes):
    store = standin.Store(record)
    store.write("keyed.op", "config", configuration(3, [KEPT, TAKEN]))
    for adapter in ("a1", "a2"):
        store.write("keyed.op", *version_of(adapter, 1))
    replicas = [
        standin.Replica(record, store, "desk", "127.0.0.21", "i-desk1"),
        standin.Replica(record, store, "desk", "127.0.0.22", "i-desk2"),
    ]
    for replica in replicas:
        replica.start_heartbeats()
    gateways = [standin.Gateway(processes, store, "front-north-%d" % number) for number in (1, 2)]
    for gateway in gateways:
        gateway.wait_ready()
    client = standin.Client(record)

    def ask(key):
        answers = []
        for gateway in gateways:
            answers.append(client.send(gateway, "POST", "/order/2f", b"order", key=key))
            time.sleep(0.05)
        return answers

    time.sleep(5.0)
    for key in (KEPT, TAKEN):
        if any(answer["status"] != 200 for answer in ask(key)):
            raise standin.CannotRun("a key of the first configuration is not served")
    copy = store.copy()
    # What the operator writes in the last seconds before the drill.
    store.write("keyed.op", "config", configuration(7, [KEPT, TAKEN], timeout_ms=1900))
    store.write("keyed.op", *version_of("a1", 2))
    store.write("keyed.op", *version_of("a2", 2))
    time.sleep(1.0)
    acknowledged = {}

    def take_key_away():
        store.write("keyed.op", "config", configuration(9, [KEPT], timeout_ms=1900))
        acknowledged["at"] = record.now()

    if standin.TROUBLE:
        def write_again():
            # The operator writes again what was lost, in the same order, and goes on with the change for
            # which it has waited; the change of the keys does not wait for the versions of the adapters.
            store.write("keyed.op", "config", configuration(7, [KEPT, TAKEN], timeout_ms=1900))
            store.write("keyed.op", *version_of("a1", 2))
            take_key_away()
            store.write("keyed.op", *version_of("a2", 2))

        store.go_away()
        time.sleep(AWAY_S)
        store.return_from(copy, write_again)
    else:
        time.sleep(AWAY_S)
        take_key_away()
    late = acknowledged["at"] + REVOKE_MS / 1000.0
    ran = []
    while record.now() < late + 6.0:
        sent = ask(TAKEN)
        if sent[0]["sent_at"] > late:
            ran += sent
        time.sleep(0.3)
    attempts = {answer["attempt"]: answer for answer in ran}
    runs = [run for replica in replicas for run in replica.runs if run[1] in attempts]
    kept = ask(KEPT)
    if any(answer["status"] != 200 for answer in kept):
        raise standin.CannotRun("the key that was kept is not served at the end")
    for replica in replicas:
        replica.close()
    store.close()
    record("%d requests with the key that was taken away, sent later than %d ms after the ack; %d ran" % (len(attempts), REVOKE_MS, len(runs)))
    if not runs:
        return []
    at, attempt, path, tenant = runs[0]
    return ["CONFIG: %d of %d requests ran with a key that was taken away at %.3f, the first at %.3f (%s %s for %s)"
            % (len(runs), len(attempts), acknowledged["at"], at, attempt, path, tenant)]


sys.exit(standin.play(FOLDER, case))
