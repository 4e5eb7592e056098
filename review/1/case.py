"""A zone's core server is lost for 4 s, without a word, and returns cold with the same name and address."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../stand_ins"))
from edge_stand_ins import *  # noqa: E402,F403

LOST_FOR = 4.0    # s; the pages name 5 s
LIST_AFTER = 0.7  # s from the return until the list tells of the new start
HOLD = 16.0       # s that the calls which are watched stand


async def play(loop, record, temp, ip, edges):
    bus = Bus(loop, record, ip)
    await bus.start()
    cores = [Core(loop, record, f"s-{number:08x}", ip) for number in (0xc41f7a, 0x9a113, 0x51e6b0, 0x7d02c5)]
    # The zone lagos has the first core server, abuja the other three and the proxy.
    hosts = [host(core, block, site="abuja" if block else "lagos") for block, core in enumerate(cores)]
    edge = Edge(loop, record, temp, ip, bus, settings(zone=1, domain__skilled_pools=[[0, 1, 2, 3]] * 3))
    edges.append(edge)
    await edge.start(bus.first(hosts))
    caller = Caller(loop, record, edge)
    conn = await caller.connect()
    await conn.test()
    watched = [0x1000 + number for number in range(6)]
    ends = {}
    for core in cores:
        core.hold_of = lambda call_id, fields: HOLD if int(call_id, 16) in watched else 1.5
        core.on_end = lambda call_id: ends.__setitem__(int(call_id, 16), record.now())

    async def traffic():
        number = 0x2000
        while True:
            number += 1
            conn.setup(number, dest=number % 4)
            await asyncio.sleep(0.3)

    background = loop.create_task(traffic())
    await asyncio.sleep(1.5)
    for call in watched:
        conn.setup(call, "unlock", dest=0)
        await asyncio.sleep(0.1)
    await asyncio.sleep(1.5)
    here = [call for call in watched if f"{call:016x}" in cores[0].calls]
    if len(here) < 3:
        raise CannotRun("too few calls stand at the first core server")
    if TROUBLE:
        lost_at = record.now()
        ends.update({int(each, 16): lost_at for each in cores[0].vanish()})
        await asyncio.sleep(LOST_FOR)
        born_ms = int(time.time() * 1000)
        cores[0].return_cold()
        await asyncio.sleep(LIST_AFTER)
        bus.publish([host(cores[0], 0, born_ms=born_ms)])
    await asyncio.sleep(HOLD + ENDED_BOUND + 2)
    background.cancel()
    if not conn.open:
        raise CannotRun("the callers' connection ended")
    return ends_not_released(caller, ends, record.now())


run_case(os.path.dirname(os.path.abspath(__file__)), play)
