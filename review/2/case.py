"""One answer never arrives; its connection stays open and is of no further use. Calls set up on it end."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../stand_ins"))
from edge_stand_ins import *  # noqa: E402,F403

MARGIN = 0.5        # s that the test grants beyond the bound
HOLD = 8.0          # s that the calls which are watched stand
TROUBLE_FROM = 3.2  # s; the first set-up after that on the connection of the watched calls is not answered


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
    ends, unanswered = {}, []

    def on_setup(call, message):
        standing = cores[0].calls.get(f"{watched[0]:016x}")
        if not TROUBLE or unanswered or record.now() < TROUBLE_FROM or not standing or call.conn is not standing.conn:
            return False
        unanswered.append(call.id)
        core = call.conn.core
        record(core.name, f"connection {call.conn.number}: the answer of {call.id} never arrives, and nothing "
               "passes there any more")
        core.later(core.answer_after, core.answer, call, message, False)  # the request has run
        call.conn.silent = True
        return True

    for core in cores:
        core.hold_of = lambda call_id, fields: HOLD if int(call_id, 16) in watched else 1.5
        core.on_end = lambda call_id: ends.__setitem__(int(call_id, 16), record.now())
        core.on_setup = on_setup

    async def traffic():
        number = 0x4000
        while True:
            number += 1
            conn.setup(number)
            await asyncio.sleep(0.12)

    await asyncio.sleep(0.5)
    for call in watched:
        conn.setup(call, "unlock")
        await asyncio.sleep(0.1)
    await asyncio.sleep(1.0)
    background = loop.create_task(traffic())
    await asyncio.sleep(HOLD + ENDED_BOUND + MARGIN + 15)
    background.cancel()
    if not conn.open:
        raise CannotRun("the callers' connection ended")
    if TROUBLE and not unanswered:
        raise CannotRun("no set-up came on the connection of the watched calls")
    for call_id in unanswered:  # it has failed, and is not judged
        ends.pop(int(call_id, 16), None)
    return ends_not_released(caller, ends, MARGIN, record.now())


run_case(os.path.dirname(os.path.abspath(__file__)), play)
