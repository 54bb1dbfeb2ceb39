"""A replica breaks its stream off inside an event that begins with a comment line."""

import asyncio
import os
import pathlib
import random
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standin-2"))

import fleet as standin  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# "comment": the break is in the comment line; "data": in the line after it, which is handled well.
CUT = os.environ.get("CUT", "comment")
# The site's largest dose of unframed answers: half of the replicas, 0.05 of their answers, for 5 s.
BROKEN_SHARE, FROM_S, FOR_S = 0.05, 5.0, 5.0
REPLICAS = 2
PIECES = 11


class Engine(standin.Engine):
    """Its answers have neither a length nor chunks and end with their connection."""

    draw = random.Random(7)

    async def generate(self, request, writer):
        id = request.get("cowslipdeal-attempt-id")
        if request.get("cowslipdeal-expect-instance") not in (None, self.id):
            writer.write(standin.whole(421, b"", self.reply_headers(request)))
            return
        self.fleet.arrived(self, request)
        first = int(request.get("last-event-id", 0)) + 1
        broken_at = None
        since = self.fleet.record.now() - FROM_S
        is_disturbed = TROUBLE and self in self.fleet.engines[:REPLICAS] and 0 <= since < FOR_S
        if is_disturbed and self.draw.random() < BROKEN_SHARE and first <= PIECES - 1:
            broken_at = self.draw.randrange(max(2, first), PIECES + 1)
        self.runs[id] = 0
        try:
            await asyncio.sleep(self.prefill)
            headers = self.reply_headers(request)
            headers["Cowslipdeal-Response-Signature"] = f"{self.id}.{id}"
            headers["Content-Type"] = "text/event-stream"
            headers["Connection"] = "close"
            writer.write(standin.head_bytes(200, headers))
            for number in range(first, PIECES + 1):
                comment = b": keep-alive"
                event = comment + b"\nid: %d\ndata: %s %d/%d\n\n" % (number, id.encode(), number, PIECES)
                if number == broken_at:
                    length = len(comment) - 3 if CUT == "comment" else event.index(b"data:") + 8
                    writer.write(event[:length])
                    self.fleet.record.write(f"{self.id} breaks off {id} inside event {number}")
                    return False
                writer.write(event)
                self.runs[id] = number
                await writer.drain()
                await asyncio.sleep(0.01)
        finally:
            self.runs.pop(id, None)
        return False


class Fleet(standin.Fleet):
    engine_kind = Engine


async def play(fleet):
    await fleet.begin(gateways=2, engines=4, services=0)
    results = []

    async def one(gateway):
        id, answer = await fleet.generation(gateway, f"5c1e07a2:60,{next(fleet.numbers):x}:200")
        lines = answer.body.split(b"\n")
        ids = [int(line[4:]) for line in lines if line.startswith(b"id: ")]
        looks_complete = answer.status == 200 and answer.complete
        results.append((id, looks_complete, ids))
        fleet.record.write(f"request {id} to {gateway.name}: {answer.status}, "
                           f"{'whole' if looks_complete else 'broken'}, last piece {ids[-1:]}")

    open_requests = []
    while fleet.record.now() < FROM_S + FOR_S + 3:
        for gateway in fleet.gateways:
            open_requests.append(asyncio.create_task(one(gateway)))
        await asyncio.sleep(0.025)
    await asyncio.gather(*open_requests)
    short = [id for id, looks_complete, ids in results
             if looks_complete and ids != list(range(1, PIECES + 1))]
    whole = sum(1 for _, looks_complete, _ in results if looks_complete)
    fleet.record.write(f"RESULT: {len(short)} of {len(results)} streams ended as complete before their last "
                       f"piece; {whole - len(short)} came whole")
    return bool(short)


standin.run(CASE, play, Fleet)
