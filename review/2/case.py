"""A stream whose replica stops within an event is passed on as complete."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.dont_write_bytecode = True
sys.path.insert(0, str(FOLDER.parent / "standin"))

import standin  # noqa: E402

SERVICE = "writer"
EVENTS = 12
# Answers of the faulty replica, and the one that stops within an event.
ANSWERS = 50
FAULTY_ANSWER = 20


def run(record, processes, has_trouble):
    store = standin.Store()
    ips = ["127.0.0.2", "127.0.0.3", "127.0.0.4"]
    engines = [
        standin.Engine(record, f"engine-{number}", SERVICE, ip, {"a1": 1}, event_gap_s=0.02)
        for number, ip in enumerate(ips)
    ]
    routes = [standin.stream_route("stream", "/stream/", SERVICE)]
    services = [standin.engine_service(SERVICE)]
    store.write("keyed.op", "config", standin.configuration(1, routes, services))
    for engine in engines:
        engine.start_publishing(store)
    port = standin.free_port_on(ips)
    for number, ip in enumerate(ips):
        text = standin.broker_settings(f"side-{number}", ip, port, engines[number].address)
        processes.start("broker", f"side-{number}", text)
    gateway = standin.Gateway("front-1", store.address, port)
    processes.start("gateway", "front-1", gateway.settings())
    if not gateway.wait_until_ready():
        return 2
    time.sleep(3.5)  # the machines are in touch

    fields = {
        "Cowslipdeal-Model": "base/a1",
        "Cowslipdeal-Token-Usage": f"100,{EVENTS}",
        "Cowslipdeal-Prompt-Prefix": "5c1e07a2:60,91bd3f06:40",
    }

    def stream(attempt):
        answer = standin.send(
            gateway.callers, "POST", "/stream/1", attempt, b"x", fields, 15000, timeout=20
        )
        whole = answer.body.decode().split("\n\n")[:-1]
        record.write(
            f"client: {attempt} {answer.status}, ends as complete: {answer.is_complete}, "
            f"{len(whole)} of {EVENTS} events, last bytes {answer.body[-24:]!r}"
        )
        return answer, len(whole)

    answer, whole = stream("attempt-0")
    if answer.status != 200 or whole != EVENTS:
        return 2
    faulty = next(engine for engine in engines if engine.begun)
    if has_trouble:
        # One replica of three is faulty, in one answer of 50; the other two are sound.
        faulty.stopping_answers = {FAULTY_ANSWER}
        faulty.stops_within = 6
    broken = 0
    for number in range(1, 200):
        if len(faulty.begun) >= ANSWERS:
            break
        answer, whole = stream(f"attempt-{number}")
        if answer.status == 200 and answer.is_complete and whole < EVENTS:
            record.write(f"ORDER: attempt-{number} ends as complete after {whole} of {EVENTS} events")
            broken += 1
    if len(faulty.begun) < ANSWERS:
        record.write(f"the faulty replica made {len(faulty.begun)} answers only")
        return 1 if broken else 2
    record.write(f"{faulty.id} made {len(faulty.begun)} answers, {broken} of them broken and passed on")
    return 1 if broken else 0


if __name__ == "__main__":
    standin.main(FOLDER, run)
