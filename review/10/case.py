"""All gateways and brokers are killed at once after a crashing prompt part has been found."""

import asyncio
import os
import pathlib
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standin-2"))

import fleet as standin  # noqa: E402
import poison  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KILL_AT_S, DOWN_S = 22.3, 1.0


async def play(fleet):
    await fleet.begin(gateways=2, engines=6, services=0)
    traffic = poison.Poison(fleet, shared_parts=2, retries=1)
    traffic.arm()
    traffic.watch()
    excused = []

    async def kill_all():
        await asyncio.sleep(KILL_AT_S)
        begin = fleet.record.now()
        processes = fleet.gateways + fleet.brokers
        await asyncio.gather(*(process.kill() for process in processes))
        await asyncio.sleep(DOWN_S)
        for process in processes:
            await process.start()
        await fleet.until_ready(fleet.gateways)
        excused.append((begin, fleet.record.now() + poison.STABILITY_S))

    killing = asyncio.create_task(kill_all()) if TROUBLE else None
    await traffic.traffic(seconds=55, bad_gap=5.0)
    if killing:
        await killing
    late = traffic.late_arrivals(excused)
    fleet.record.write(f"RESULT: {traffic.summary()}; {len(late)} crashing requests reached replicas "
                       f"later than {poison.STABILITY_S} s after the fifth crash, sent by machines in "
                       f"touch (3 are allowed)")
    return len(late) > 3


standin.run(CASE, play)
