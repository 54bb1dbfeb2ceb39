"""Clients read their answers slowly; a gateway holds the answers beyond its memory."""

import asyncio
import os
import pathlib
import socket
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standin-2"))

import fleet as standin  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MEMORY_MB = 160
CLIENTS = 37
ANSWER_BYTES = 4_700_000
UNREAD_S = 6.0
WAVES = 3


class Documents(standin.Service):
    """A replica with short and long answers, which it sends as fast as they are read."""

    async def serve(self, request, reader, writer):
        if request.get("cowslipdeal-expect-instance") not in (None, self.id):
            writer.write(standin.whole(421, b"", self.reply_headers(request)))
            return
        self.fleet.arrived(self, request)
        await asyncio.sleep(self.work)
        headers = self.reply_headers(request)
        headers["Cowslipdeal-Response-Signature"] = f"{self.id}.{request.get('cowslipdeal-attempt-id')}"
        headers["Cowslipdeal-Server-Load"] = f"1,0,{self.slots},100"
        length = 800 if request.target.endswith("/short") else ANSWER_BYTES
        writer.write(standin.whole(200, b"x" * length, headers))
        await writer.drain()


class Fleet(standin.Fleet):
    replica_kind = Documents

    def configuration(self, **options):
        configuration = super().configuration(**options)
        for route in configuration["routes"]:
            route["timeout_ms"] = 15000
        return configuration

    def gateway_settings(self, process, **options):
        return super().gateway_settings(process, memory_mb=MEMORY_MB, **options)


class Client:
    """A client with a kept connection and a small window."""

    def __init__(self, fleet, gateway):
        self.fleet, self.gateway, self.socket = fleet, gateway, None

    async def receive(self, size):
        data = await asyncio.get_running_loop().sock_recv(self.socket, size)
        if not data:
            raise ConnectionError("the gateway closed the connection")
        return data

    async def call(self, path, unread_s):
        """One request; true if its whole answer came."""
        loop = asyncio.get_running_loop()
        id = self.fleet.attempt_id()
        text = (f"GET {path} HTTP/1.1\r\nHost: x.example\r\nCowslipdeal-Attempt-Id: {id}\r\n"
                "Cowslipdeal-Deadline-Ms: 15000\r\n\r\n")
        try:
            if self.socket is None:
                self.socket = socket.socket()
                self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
                self.socket.setblocking(False)
                await loop.sock_connect(self.socket, (self.gateway.ip, self.gateway.port))
            await loop.sock_sendall(self.socket, text.encode())
            data = await self.receive(4096)
            await asyncio.sleep(unread_s)
            while b"\r\n\r\n" not in data:
                data += await self.receive(4096)
            head, _, body = data.partition(b"\r\n\r\n")
            lines = [line for line in head.lower().split(b"\r\n") if line.startswith(b"content-length")]
            length, got = int(lines[0].split(b":")[1]), len(body)
            while got < length:
                got += len(await self.receive(1 << 20))
            self.fleet.record.write(f"request {id} to {self.gateway.name}: {head[9:12].decode()}, {got} bytes")
            return id, True
        except (OSError, IndexError) as error:
            self.fleet.record.write(f"request {id} to {self.gateway.name}: no whole answer, {error}")
            self.close()
            return id, False

    def close(self):
        if self.socket:
            self.socket.close()
            self.socket = None


async def play(fleet):
    await fleet.begin(gateways=2, engines=1, services=3)
    ends, peaks = {}, {}

    async def platform(gateway):
        """Ends a process that exceeds its memory, and starts it again after a short delay."""
        while True:
            rss = gateway.rss_mb()
            peaks[gateway.name] = max(rss, peaks.get(gateway.name, 0))
            if rss > MEMORY_MB:
                fleet.record.write(f"{gateway.name} has {rss:.0f} MB of {MEMORY_MB} MB and is killed")
                ends[gateway.name] = ends.get(gateway.name, 0) + 1
                await gateway.kill()
                await asyncio.sleep(1)
                await gateway.start()
                await fleet.until_ready([gateway])
            await asyncio.sleep(0.02)

    watching = [asyncio.create_task(platform(gateway)) for gateway in fleet.gateways]
    clients = [Client(fleet, fleet.gateways[number % 2]) for number in range(2 * CLIENTS)]
    cut = []
    for wave in range(WAVES):
        fleet.record.write(f"wave {wave}: each client asks for a short and a long answer on its connection")

        async def one(number, client):
            # Some requests a second at each gateway, as many as the replicas can take.
            await asyncio.sleep(number * 0.04)
            await client.call(f"/cufi504/{wave}/{number}/short", 0)
            id, answered = await client.call(f"/cufi504/{wave}/{number}", UNREAD_S if TROUBLE else 0)
            if not answered:
                cut.append(id)

        await asyncio.gather(*(one(number, client) for number, client in enumerate(clients)))
        await asyncio.sleep(2)
    for task in watching:
        task.cancel()
    for client in clients:
        client.close()
    reached = {request.get("cowslipdeal-attempt-id") for _, _, request in fleet.arrivals}
    lost = [id for id in cut if id in reached]
    fleet.record.write(f"RESULT: {len(lost)} requests from kept connections were passed on to a replica and "
                       f"ended without a whole answer (3 are allowed); processes ended by their memory: "
                       f"{ends}; peaks in MB: { {name: round(peak) for name, peak in peaks.items()} }")
    return len(lost) > 3


standin.run(CASE, play, Fleet)
