"""A prompt part that crashes replicas stands behind seventeen sound parts."""

import os
import pathlib
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standin-2"))

import fleet as standin  # noqa: E402
import poison  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# With 2 the prompts are as long as those of the sheets, and the rule holds.
SHARED_PARTS = int(os.environ.get("SHARED_PARTS", "17"))


async def play(fleet):
    await fleet.begin(gateways=2, engines=6, services=0)
    traffic = poison.Poison(fleet, SHARED_PARTS, retries=0)
    if TROUBLE:
        traffic.arm()
    traffic.watch()
    await traffic.traffic(seconds=45, bad_gap=2.0)
    late = traffic.late_arrivals()
    fleet.record.write(f"RESULT: {traffic.summary()}; {len(late)} crashing requests reached replicas "
                       f"later than {poison.STABILITY_S} s after the fifth crash (3 are allowed)")
    return len(late) > 3


standin.run(CASE, play)
