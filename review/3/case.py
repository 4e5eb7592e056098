"""In a quiet time callers close a connection that carried no call for 4 s, and keep another one open."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../stand_ins"))
from edge_stand_ins import *  # noqa: E402,F403

RESTING = 4.0  # s without a call after which callers close a connection
HOLD = 9.0     # s that the calls stand; the mean of the settings is 9.6 s and 11.5 s
TELL = 1.05    # s that the proxy has to send a release on a connection that is open, with the slack


async def play(loop, record, temp, ip, edges):
    bus = Bus(loop, record, ip)
    await bus.start()
    cores = [Core(loop, record, f"s-{number:08x}", ip) for number in (0xc41f7a, 0x9a113)]
    edge = Edge(loop, record, temp, ip, bus, settings())
    edges.append(edge)
    await edge.start(bus.first([host(core, block) for block, core in enumerate(cores)]))
    caller = Caller(loop, record, edge)
    first = await caller.connect()
    await first.test()
    ends = {}
    for core in cores:
        core.hold_of = lambda call_id, fields: HOLD
        core.on_end = lambda call_id: ends.__setitem__(int(call_id, 16), record.now())
    await asyncio.sleep(1.0)
    for number in range(6):
        first.setup(0x1000 + number, "unlock", dest=number % 2)
        await asyncio.sleep(0.1)
    await asyncio.sleep(RESTING)
    open_time = []

    async def keep_one_open():
        """Callers keep a connection open on which they can be told. On the first one, one of them hangs up."""
        while True:
            conn = await caller.connect()
            await conn.test()
            if not open_time:
                conn.release(0x1005)
            open_time.append([record.now(), None])
            while conn.open:
                await asyncio.sleep(0.02)
            open_time[-1][1] = record.now()

    keeper = None
    if TROUBLE:
        keeper = loop.create_task(keep_one_open())
        await asyncio.sleep(0.1)
        record("caller", "closes connection 1, which has carried no call for 4 s")
        first.close()
    await asyncio.sleep(HOLD + ENDED_BOUND + 3)
    if keeper:
        keeper.cancel()
        record("caller", "other connections were open: " +
               ", ".join(f"{a:.3f} to {b or record.now():.3f}" for a, b in open_time))
    if TROUBLE:  # excused: an end at which no connection was open for as long as its release may take
        for call, at in list(ends.items()):
            if not any(since <= at and (until or record.now()) >= at + TELL for since, until in open_time):
                record("case", f"call {call:016x} isn't judged: no connection was open for {TELL} s")
                del ends[call]
        if not ends:
            raise CannotRun("no end came while a connection was open")
    return ends_not_released(caller, ends, record.now())


run_case(os.path.dirname(os.path.abspath(__file__)), play)
