"""A replica that leaves after the store has returned from an older copy."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin-3"))
sys.dont_write_bytecode = True
import standin  # noqa: E402

AWAY_S = 1.0
COLD_S = 5.5
DRAIN_S = standin.BOUNDS["drain_ms"] / 1000.0
BURST = 36
STEADY = 7


def case(record, processes):
    store = standin.Store(record)
    routes = [standin.route("booking", "/booking/", "unsafe", "desk", 1, 4000)]
    store.write("keyed.op", "config", standin.configuration(3, routes, [standin.plain_service("desk")]))
    steady = [
        standin.Replica(record, store, "desk", "127.0.0.%d" % (21 + number), "i-desk%d" % (1 + number), work_s=0.06)
        for number in range(STEADY)
    ]
    for replica in steady:
        replica.start_heartbeats()
    gateways = [standin.Gateway(processes, store, "front-north-%d" % number) for number in (1, 2)]
    for gateway in gateways:
        gateway.wait_ready()
    client = standin.Client(record)

    def burst():
        """Requests that arrive together, as at a deadline of the callers."""
        answers, threads = [], []

        def send(gateway):
            answers.append(client.send(gateway, "POST", "/booking/2f", b"bed", deadline_ms=4000))

        for number in range(BURST):
            threads.append(threading.Thread(target=send, args=(gateways[number % len(gateways)],)))
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return answers

    time.sleep(2.0)
    copy = store.copy()
    # Two replicas are added. Their entries change with each heartbeat while they are cold.
    added = [
        standin.Replica(record, store, "desk", "127.0.0.%d" % (21 + STEADY + number), "i-desk%d" % (1 + STEADY + number),
                        work_s=0.06)
        for number in range(2)
    ]
    for replica in added:
        replica.cold_until = time.monotonic() + COLD_S
        replica.start_heartbeats()
    time.sleep(COLD_S)
    if standin.TROUBLE:
        def write_again():
            # The replicas write their entries again.
            for replica in added:
                replica.beat()

        store.go_away()
        time.sleep(AWAY_S)
        store.return_from(copy, write_again)
    else:
        time.sleep(AWAY_S)
    # The core is stable again long before the replica leaves.
    time.sleep(8.0)
    if sum(answer["status"] == 200 for answer in burst()) < BURST / 2:
        raise standin.CannotRun("less than half of the requests were served")
    time.sleep(2.0)
    leaving = added[0]
    leaving.is_leaving = True
    if store.try_write("keyed.servers", leaving.id, leaving.entry("draining")) is None:
        raise standin.CannotRun("the store took no record")
    acknowledged = record.now()
    time.sleep(DRAIN_S + 0.5)
    sent_at = record.now()
    answers = burst()
    time.sleep(0.3)
    late = [run for run in leaving.runs if run[0] > acknowledged + DRAIN_S]
    for replica in steady + added:
        replica.close()
    store.close()
    record("%d requests sent from %.3f on, %d served" % (len(answers), sent_at, sum(a["status"] == 200 for a in answers)))
    if not late:
        return []
    return ["DRAIN: %d requests reached %s later than %.1f s after the ack of its draining at %.3f; the first at %.3f: %s"
            % (len(late), leaving.id, DRAIN_S, acknowledged, late[0][0], late[0][1])]


sys.exit(standin.play(FOLDER, case))
