"""A planned restart of the proxy while a drained core server is replaced by a new one at its address."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../stand_ins"))
from edge_stand_ins import *  # noqa: E402,F403

LIST_LATE = 2.0  # s from the start of the new core server until the list tells of both
HOLD = 16.0      # s that the calls which are watched stand
MARGIN = 0.5     # s that the test grants beyond the bound


async def play(loop, record, temp, ip, edges):
    bus = Bus(loop, record, ip)
    await bus.start()
    cores = [Core(loop, record, f"s-{number:08x}", ip) for number in (0xc41f7a, 0x9a113)]
    edge = Edge(loop, record, temp, ip, bus, settings())
    edges.append(edge)
    await edge.start(bus.first([host(core, block) for block, core in enumerate(cores)]))
    caller = Caller(loop, record, edge)
    conn = await caller.connect()
    await conn.test()
    watched = [0x1000 + number for number in range(6)]
    ends = {}

    def prepare(core):
        core.hold_of = lambda call_id, fields: HOLD if int(call_id, 16) in watched else 1.5
        core.on_end = lambda call_id: ends.__setitem__(int(call_id, 16), record.now())

    for core in cores:
        prepare(core)
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
    await asyncio.sleep(0.5)
    edge.signal(signal.SIGTERM)
    await edge.ended(5)
    if TROUBLE:
        stopped_at = record.now()
        ends.update({int(each, 16): stopped_at for each in old.stop()})
        await asyncio.sleep(0.5)
        new = Core(loop, record, "s-00e1d2c3", ip, port=old.address[1])
        prepare(new)
        born_ms = int(time.time() * 1000)
        loop.call_later(LIST_LATE, bus.publish,
                        [host(old, 0, "DELETED"), host(new, 0, born_ms=born_ms)])
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

    async def traffic():
        number = 0x4000
        while True:
            number += 1
            conn.setup(number, dest=number % 2)
            await asyncio.sleep(0.3)

    background = loop.create_task(traffic())
    await asyncio.sleep(HOLD + ENDED_BOUND + MARGIN + 2)
    background.cancel()
    if not conn.open:
        raise CannotRun("the callers' connection ended")
    return ends_not_released(caller, ends, MARGIN, record.now())


run_case(os.path.dirname(os.path.abspath(__file__)), play)
