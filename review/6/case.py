"""The only organisation of a configuration is taken away with its key; requests with the key still run."""

import asyncio
import os
import pathlib
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standin-2"))

import fleet as standin  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEY, UNKNOWN_KEY = "k-7d10c3a9", "k-never-issued"
REVOKE_S = 5.0


class Fleet(standin.Fleet):
    """A deployment with keys, whose settings name the bound of revocation."""

    def configuration(self, **options):
        configuration = super().configuration(**options)
        configuration["tenants"] = [{"name": "acme", "api_keys": [KEY]}]
        return configuration

    def gateway_settings(self, process, **options):
        return super().gateway_settings(process, revocation_ms=int(REVOKE_S * 1000), **options)


async def play(fleet):
    await fleet.begin(gateways=2, engines=1, services=2)
    sent = {}

    async def call(gateway, key):
        id = fleet.attempt_id()
        sent[id] = (fleet.record.now(), key)
        headers = {"Cowslipdeal-Attempt-Id": id, "Cowslipdeal-Deadline-Ms": 1000,
                   "Cowslipdeal-Credential": key}
        answer = await standin.ask((gateway.ip, gateway.port), "POST", "/puxa403/2f", headers, b"{}", 2)
        fleet.record.write(f"request {id} with key {key} to {gateway.name}: {answer.status}")
        return answer.status

    async def calls(end):
        while fleet.record.now() < end:
            for gateway in fleet.gateways:
                await call(gateway, KEY)
                await call(gateway, UNKNOWN_KEY)
            await asyncio.sleep(0.25)

    for gateway in fleet.gateways:
        if await call(gateway, KEY) != 200 or await call(gateway, UNKNOWN_KEY) != 401:
            raise standin.CannotRun("the key does not work at first")
    await calls(fleet.record.now() + 3)
    newer = {**fleet.config, "version": 9}
    if TROUBLE:
        newer["tenants"] = []
    await fleet.store.put("keyed.op", "config", newer)
    ack = fleet.record.now()
    fleet.record.write(f"store acknowledges version 9 with tenants {newer['tenants']}")
    await calls(ack + REVOKE_S + 6)

    ran = {request.get("cowslipdeal-attempt-id") for _, _, request in fleet.arrivals}
    late = [id for id in ran if sent[id][0] > ack + REVOKE_S]
    revoked = [id for id in late if sent[id][1] == KEY and TROUBLE]
    unknown = [id for id in ran if sent[id][1] == UNKNOWN_KEY]
    fleet.record.write(f"RESULT: {len(revoked)} requests with the removed key were sent later than "
                       f"{REVOKE_S} s after the ack and ran; {len(unknown)} requests ran whose key no "
                       f"configuration held")
    return bool(revoked or unknown)


standin.run(CASE, play, Fleet)
