"""A prompt part crashes each replica as it begins to write its answer, right after the first event."""

import asyncio
import os
import pathlib
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standin-2"))

import fleet as standin  # noqa: E402
import poison  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# With 0 the replica crashes before it has sent anything, and the rule holds.
EVENTS = int(os.environ.get("EVENTS", "1"))
# With EVENTS=0 and 17 the rule is broken for another reason: see claim.txt.
SHARED_PARTS = int(os.environ.get("SHARED_PARTS", "2"))


class Engine(standin.Engine):
    """Crashes when it has written so many events of an answer on the bad part."""

    async def generate(self, request, writer):
        prefix = request.get("cowslipdeal-prompt-prefix", "")
        parts = [part.split(":")[0] for part in prefix.split(",")]
        expected = request.get("cowslipdeal-expect-instance")
        if self.bad_part not in parts[:-1] or expected not in (None, self.id) or not self.has_model:
            return await super().generate(request, writer)
        id = request.get("cowslipdeal-attempt-id")
        self.fleet.arrived(self, request)
        self.runs[id] = 0
        await asyncio.sleep(self.prefill)
        if EVENTS:
            headers = self.reply_headers(request)
            headers["Cowslipdeal-Response-Signature"] = f"{self.id}.{id}"
            headers["Content-Type"] = "text/event-stream"
            headers["Transfer-Encoding"] = "chunked"
            writer.write(standin.head_bytes(200, headers))
            first = int(request.get("last-event-id", 0)) + 1
            for number in range(first, first + EVENTS):
                event = f"id: {number}\ndata: {id} {number}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                self.runs[id] = number
                await writer.drain()
            await asyncio.sleep(0.005)
        self.crash(f"part {self.bad_part} of request {id}")
        return False


class Fleet(standin.Fleet):
    engine_kind = Engine


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


standin.run(CASE, play, Fleet)
