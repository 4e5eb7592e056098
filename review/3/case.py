"""A core server's machine vanishes while each of the proxy's connections to it carries a set-up."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../stand_ins"))
from edge_stand_ins import *  # noqa: E402,F403

SERVERS = 24    # as on the days of the fleet
SOCKETS = 256   # the pages name 256 to 1,024
LEFT = 9000     # ms that a caller waits; the deadline of the class
HOLD = 12.0     # s that the calls which are watched stand
MARGIN = 0.5    # s that the test grants beyond the bound


async def play(loop, record, temp, ip, edges):
    bus = Bus(loop, record, ip)
    await bus.start()
    cores = [Core(loop, record, f"s-{0xc41f7a + number:08x}", ip) for number in range(SERVERS)]
    edge = Edge(loop, record, temp, ip, bus, settings(domain__skilled_pools=[list(range(SERVERS))] * 3),
                sockets=SOCKETS)
    edges.append(edge)
    await edge.start(bus.first([host(core, block) for block, core in enumerate(cores)]))
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
            for dest in (0, 0, 1, 2, 3):
                number += 1
                conn.setup(number, dest=dest, left_ms=LEFT)
            await asyncio.sleep(0.25)

    background = loop.create_task(traffic())
    await asyncio.sleep(1.5)
    for call in watched:
        conn.setup(call, "unlock")
        await asyncio.sleep(0.1)
    await asyncio.sleep(1.5)
    if sum(f"{call:016x}" in cores[0].calls for call in watched) < 3:
        raise CannotRun("too few calls stand at the first core server")
    if TROUBLE:
        lost_at = record.now()
        ends.update({int(each, 16): lost_at for each in cores[0].vanish()})
    await asyncio.sleep(HOLD + ENDED_BOUND + MARGIN + 2)
    background.cancel()
    if not conn.open:
        raise CannotRun("the callers' connection ended")
    return ends_not_released(caller, ends, MARGIN, record.now())


run_case(os.path.dirname(os.path.abspath(__file__)), play)
