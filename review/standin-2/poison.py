"""Traffic with a prompt part that crashes replicas, and the check of its rule."""

import asyncio

BAD = "5c1e07a2"
STABILITY_S = 3.0
DOWN_S = 3.0
HEARTBEATS_S = 3.6


class Poison:
    """Sound and crashing requests that share all parts but one, and engines that come back."""

    def __init__(self, fleet, shared_parts, retries):
        self.fleet, self.retries = fleet, retries
        self.shared = ",".join(f"{0x91bd0000 + number:x}:40" for number in range(shared_parts))
        self.crashes, self.sound, self.bad_ids = [], [], set()
        self.tasks = []

    def arm(self):
        for engine in self.fleet.engines:
            engine.bad_part = BAD

    def watch(self):
        self.tasks = [asyncio.create_task(self.revive(engine)) for engine in self.fleet.engines]

    async def revive(self, engine):
        """Notes a crash, and starts the engine again, empty and with a new id, some seconds later."""
        while True:
            if not engine.up:
                self.crashes.append(self.fleet.record.now())
                asyncio.create_task(self.expire(engine.id))
                await asyncio.sleep(DOWN_S)
                engine.has_model = False
                await engine.start()
            await asyncio.sleep(0.005)

    async def expire(self, id):
        await asyncio.sleep(HEARTBEATS_S)
        await self.fleet.store.put("keyed.servers", id, None)

    async def request(self, is_bad, gateway, retry_at=None):
        fleet, begin = self.fleet, self.fleet.record.now()
        middle = BAD if is_bad else f"{0xe4400000 + int(begin * 7) % 50:x}"
        prefix = f"{self.shared},{middle}:60,{0x70000000 + next(fleet.numbers):x}:200"
        for attempt in range(self.retries + 1):
            id = fleet.attempt_id()
            if is_bad:
                self.bad_ids.add(id)
            _, answer = await fleet.generation(gateway, prefix, id)
            kind = "crashing" if is_bad else "sound"
            fleet.record.write(f"{kind} request {id} to {gateway.name}: {answer.status}, "
                               f"{answer.events} events, complete: {answer.complete}")
            if answer.status == 200 and answer.complete:
                break
            # A client keeps to the time that a refusal states, and gives up if it has not so long.
            pause = float(answer.headers.get("retry-after", 0.05))
            if pause > 1.3:
                break
            await asyncio.sleep(pause)
        if not is_bad:
            self.sound.append((begin, answer.status == 200 and answer.complete))

    async def traffic(self, seconds, bad_gap, sound_gap=0.05):
        fleet = self.fleet
        end, next_bad, number, open_requests = fleet.record.now() + seconds, fleet.record.now() + 2, 0, []
        while fleet.record.now() < end:
            number += 1
            gateway = fleet.gateways[number % len(fleet.gateways)]
            open_requests.append(asyncio.create_task(self.request(False, gateway)))
            if fleet.record.now() >= next_bad:
                next_bad += bad_gap
                other = fleet.gateways[(number // 2) % len(fleet.gateways)]
                open_requests.append(asyncio.create_task(self.request(True, other)))
            await asyncio.sleep(sound_gap)
        await asyncio.gather(*open_requests)
        for task in self.tasks:
            task.cancel()

    def late_arrivals(self, excused=()):
        """Crashing requests that reached replicas later than the stability window after the fifth
        crash, apart from times in which the machines were not in touch."""
        if len(self.crashes) < 5:
            return []
        limit = self.crashes[4] + STABILITY_S
        arrivals = [(at, request.get("cowslipdeal-attempt-id")) for at, _, request in self.fleet.arrivals]
        return [(at, id) for at, id in arrivals if id in self.bad_ids and at > limit
                and not any(begin <= at < end for begin, end in excused)]

    def summary(self):
        lost = sum(1 for _, served in self.sound if not served)
        return f"{len(self.crashes)} crashes; {lost} of {len(self.sound)} sound requests not served"
