"""A planned restart of the proxy while a drained core server is replaced by a new one at its address."""
import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../stand_ins"))
from edge_stand_ins import *  # noqa: E402,F403

LIST_LATE = 2.0  # s from the start of the new core server until the list tells of both
HOLD = 22.0      # s that the calls which are watched stand
DRAIN = 6.2      # s from the news of the drain to the stop; the site file names 6 to 9.9 s
PROXIES = 10     # one of which is restarted: a tenth at a time
SERVERS = 4      # one of which is replaced


async def play(loop, record, temp, ip, edges):
    bus = Bus(loop, record, ip)
    await bus.start()
    cores = [Core(loop, record, f"s-{number:08x}", ip) for number in (0xc41f7a, 0x9a113, 0x51e6b0, 0x7d02c5)]
    known = bus.first([host(core, block) for block, core in enumerate(cores)])
    for number in range(PROXIES):
        its_settings = settings(fleet_size=PROXIES, me=number, domain__skilled_pools=[list(range(SERVERS))] * 3)
        edges.append(Edge(loop, record, temp, ip, bus, its_settings, f"n{number}"))
        await edges[-1].start(known)
    edge = edges[0]
    caller = Caller(loop, record, edge)
    conn = await caller.connect()
    await conn.test()
    watched = [0x1000 + number for number in range(6)]
    ends = {}

    def prepare(core):
        core.proxies = PROXIES
        core.hold_of = lambda call_id, fields: HOLD if int(call_id, 16) in watched else 1.5
        core.on_end = lambda call_id: ends.__setitem__(int(call_id, 16), record.now())

    for core in cores:
        prepare(core)

    async def traffic(on, number):
        """A tenth of the site's 62 calls a second, to all core servers alike."""
        draw = random.Random(number)
        while True:
            await asyncio.sleep(draw.expovariate(6.2))
            number += 1
            on.setup(number, dest=draw.randrange(SERVERS))

    background = []
    for number, other in enumerate(edges[1:], 1):
        its_conn = await Caller(loop, record, other, f"caller{number}").connect()
        await its_conn.test()
        background.append(loop.create_task(traffic(its_conn, 0x40000 + 0x10000 * number)))
        await asyncio.sleep(0.05)
    await asyncio.sleep(1.0)
    for call in watched:
        conn.setup(call, "unlock")
        await asyncio.sleep(0.1)
    await asyncio.sleep(0.5)
    old = cores[0]
    here = [call for call in watched if f"{call:016x}" in old.calls]
    if len(here) < 3:
        raise CannotRun("too few calls stand at the first core server")
    bus.publish([host(old, 0, "DRAINING")])
    drained_at = record.now()
    await asyncio.sleep(DRAIN - 1.2)
    edge.signal(signal.SIGTERM)
    await edge.ended(5)
    await asyncio.sleep(max(0, drained_at + DRAIN - record.now()))
    listed_at = [0.0]
    if TROUBLE:
        stopped_at = record.now()
        ends.update({int(each, 16): stopped_at for each in old.stop()})
        await asyncio.sleep(0.5)
        new = Core(loop, record, "s-00e1d2c3", ip, port=old.address[1])
        prepare(new)
        born_ms = int(time.time() * 1000)

        def list_tells():
            bus.publish([host(old, 0, "DELETED"), host(new, 0, born_ms=born_ms)])
            listed_at[0] = record.now()

        loop.call_later(LIST_LATE, list_tells)
    else:
        await asyncio.sleep(0.5)
    await asyncio.sleep(0.5)
    await edge.start(bus.known())
    answered = caller
    caller = Caller(loop, record, edge, "caller'")
    caller.finals.update(answered.finals)
    conn = await caller.connect()
    await conn.test()
    for call in here:
        conn.setup(call, "unlock", at=old.name)

    background.append(loop.create_task(traffic(conn, 0x40000)))
    await asyncio.sleep(HOLD + ENDED_BOUND + 2)
    for task in background:
        task.cancel()
    if not conn.open:
        raise CannotRun("the callers' connection ended")
    return ends_not_released(caller, ends, record.now(), listed_at[0])


run_case(os.path.dirname(os.path.abspath(__file__)), play)
