"""Stand-ins for what surrounds one edge proxy on the platform, written from the users' pages: core servers,
the event bus and callers, all on loopback addresses and the real clock, in one event loop.

Pages: node/PROTOCOL.md (messages, event bus), node/DEPLOY.md (configuration, start), WIRE (settings).
"""
import asyncio
import ctypes
import json
import os
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

SETUP, PROGRESS, ANSWER, RELEASE, RELEASED, TEST, TESTED = 1, 6, 9, 12, 16, 52, 53


class CannotRun(Exception):
    """The case could not be set up; says nothing about the program."""


class Record:
    """What was sent, answered and run, with seconds since the start of the case."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, who, text):
        self.file.write(f"{self.now():8.3f} {who:10s} {text}\n")


def set_nodelay(sock):
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def reset(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def free_address(ip):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((ip, 0))
        return probe.getsockname()


class CoreCall:
    def __init__(self, call_id, conn):
        self.id = call_id
        self.conn = conn
        self.stands = False


class CoreConn:
    def __init__(self, core, sock):
        self.core, self.sock = core, sock
        self.number = core.next_conn
        core.next_conn += 1
        self.buffer = b""
        self.open = True
        self.stale = False   # something has arrived while silent
        self.silent = False  # open, but nothing passes any more in either direction
        set_nodelay(sock)
        sock.setblocking(False)
        core.loop.add_reader(sock, self.readable)

    def readable(self):
        try:
            data = self.sock.recv(65536)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if self.silent:
            # What arrives is not seen. Once the machine is back under a new process, it answers with a reset.
            if self.core.machine_replaced:
                self.drop(True)
            elif not data:
                self.core.loop.remove_reader(self.sock)
            self.stale = True
            return
        if not data:
            return self.lost()
        self.buffer += data
        while b"\n" in self.buffer and self.open:
            line, self.buffer = self.buffer.split(b"\n", 1)
            self.core.line(self, json.loads(line))

    def send(self, message):
        if not self.open:
            return
        if self.silent:
            return
        try:
            self.sock.send(json.dumps(message).encode() + b"\n")
        except OSError:
            self.lost()

    def drop(self, hard=False):
        if not self.open:
            return
        self.open = False
        self.core.loop.remove_reader(self.sock)
        if hard:
            reset(self.sock)
        else:
            self.sock.close()
        self.core.conns.remove(self)

    def lost(self):
        self.drop()
        self.core.connection_closed(self)


class Core:
    """One core server. `answer_after` and `hold` are seconds; `on_setup` may take over a set-up."""

    def __init__(self, loop, record, name, ip, circuits=200, answer_after=0.02, port=0):
        self.loop, self.record, self.name = loop, record, name
        self.circuits, self.answer_after = circuits, answer_after
        self.conns, self.calls = [], {}
        self.proxies = 1  # that connect here; each is told the state on four connections at most
        self.next_conn = 1
        self.unrepeated = []  # releases to be sent once more on the next connection
        self.machine_replaced = False
        self.fillers = []
        self.attempts = []  # (time, id)
        self.on_setup = None
        self.hold_of = lambda call_id, fields: 3.0
        self.on_end = lambda call_id: None
        self.life = 0
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((ip, port))
        self.listener.listen(128)
        self.listener.setblocking(False)
        self.address = self.listener.getsockname()
        self.loop.add_reader(self.listener, self.accept)

    def dial(self):
        return f"{self.address[0]}:{self.address[1]}"

    def accept(self):
        while True:
            try:
                sock, peer = self.listener.accept()
            except BlockingIOError:
                return
            if any(filler.getsockname() == peer for filler in self.fillers):
                sock.close()
                continue
            conn = CoreConn(self, sock)
            self.conns.append(conn)
            self.record(self.name, f"connection {conn.number} accepted")
            self.send_state(conn)
            repeated, self.unrepeated = self.unrepeated, []
            for message in repeated:
                self.record(self.name, f"connection {conn.number}: release {message['id']} cause "
                            f"{message['cause']}, repeated")
                conn.send(message)

    def state(self):
        standing = len(self.calls)
        return {"type": "state", "id": "0" * 16,
                "fields": {"load": f"spare:{self.circuits - standing};total:{self.circuits}"}}

    def send_state(self, conn):
        conn.send(self.state())

    def group_changed(self):
        for conn in [c for c in self.conns if c.open][:4 * self.proxies]:
            self.send_state(conn)

    def line(self, conn, message):
        kind, call_id = message["type"], message["id"]
        if kind == "setup":
            self.attempts.append((self.record.now(), call_id))
            self.record(self.name, f"connection {conn.number}: setup {call_id} {json.dumps(message['fields'])}")
            call = self.calls[call_id] = CoreCall(call_id, conn)
            if self.on_setup and self.on_setup(call, message):
                return
            self.later(self.answer_after, self.answer, call, message)
        elif kind == "release":
            self.record(self.name, f"connection {conn.number}: release {call_id} cause {message['cause']}")
            if self.calls.pop(call_id, None):
                self.group_changed()
            conn.send({"type": "released", "id": call_id, "fields": {}})
        elif kind == "ping":
            conn.send({"type": "pong", "id": call_id, "fields": {}, "cause": 1})

    def later(self, seconds, fn, *args):
        life = self.life
        self.loop.call_later(seconds, lambda: self.life == life and fn(*args))

    def answer(self, call, message, send=True):
        if self.calls.get(call.id) is not call:
            return
        call.stands = True
        if send:
            self.record(self.name, f"connection {call.conn.number}: answer {call.id}, it stands")
            call.conn.send({"type": "answer", "id": call.id, "fields": {},
                            "sdp": f"answer {call.id} {self.name}"})
        self.group_changed()
        hold = self.hold_of(call.id, message["fields"])
        if hold is not None:
            self.later(hold, self.end, call)

    def end(self, call, cause=16):
        if self.calls.get(call.id) is not call:
            return
        del self.calls[call.id]
        message = {"type": "release", "id": call.id, "fields": {}, "cause": cause}
        conn = call.conn
        if not conn.open:
            conn = next((c for c in self.conns if c.open), None)
        on = f"connection {conn.number}" if conn else "no connection"
        lost = " (nothing passes there any more)" if conn and conn.silent else ""
        self.record(self.name, f"{on}: release {call.id} cause {cause}, the call has ended{lost}")
        if conn:
            conn.send(message)
        self.unrepeated.append(message)
        self.on_end(call.id)
        self.group_changed()

    def connection_closed(self, conn):
        self.record(self.name, f"connection {conn.number} ended")
        for call in [c for c in self.calls.values() if c.conn is conn and not c.stands]:
            self.record(self.name, f"set-up {call.id} given up with its connection")
            del self.calls[call.id]

    # ---- Troubles ----

    def stop_accepting(self):
        """New connections never come up: nothing accepts, and the queue of the listener is full."""
        self.loop.remove_reader(self.listener)
        self.listener.listen(0)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.bind((self.address[0], 0))
            try:
                filler.connect(self.address)
            except BlockingIOError:
                pass
            self.fillers.append(filler)

    def resume_accepting(self):
        self.listener.listen(128)
        self.accept()
        for filler in self.fillers:
            filler.close()
        self.fillers = []
        self.loop.add_reader(self.listener, self.accept)

    def vanish(self):
        """The machine is gone: open connections stay open and quiet, new ones never come up."""
        self.life += 1
        self.stop_accepting()
        for conn in self.conns:
            conn.silent = True
            conn.stale = False
        ended = [call.id for call in self.calls.values() if call.stands]
        self.calls = {}
        self.unrepeated = []
        self.record(self.name, f"machine lost; {len(ended)} standing calls are cut: {' '.join(ended)}")
        return ended

    def return_cold(self):
        """A new process of the same server at the same address, which knows nothing of the old connections."""
        self.record(self.name, "machine is back with a new process, cold")
        self.machine_replaced = True
        for conn in [c for c in self.conns if c.silent and c.stale]:
            conn.drop(True)
        self.resume_accepting()

    def stop(self):
        """The process ends: its connections are reset, nothing listens any more, its calls are cut."""
        ended = [call.id for call in self.calls.values() if call.stands]
        self.record(self.name, f"stops; {len(ended)} standing calls are cut: {' '.join(ended)}")
        self.life += 1
        self.calls = {}
        self.loop.remove_reader(self.listener)
        self.listener.close()
        for conn in list(self.conns):
            conn.drop(True)
        return ended

    def close(self):
        self.life += 1
        self.loop.remove_reader(self.listener)
        self.listener.close()
        for conn in list(self.conns):
            conn.drop()
        for filler in self.fillers:
            filler.close()


def host(core, block, health="SERVING", born_ms=0, site="lagos"):
    return {"host": core.name, "dial": core.dial(), "site": site, "class": "one-core", "block": block,
            "health": health, "share": 1, "born_ms": born_ms}


class Bus:
    """The event bus: server-sent events behind Last-Event-ID, a comment each second."""

    def __init__(self, loop, record, ip):
        self.loop, self.record, self.ip = loop, record, ip
        self.events, self.offset0, self.writers = [], 0, []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        self.address = self.server.sockets[0].getsockname()

    def first(self, hosts):
        event = {"offset": 1, "topology": {"seq": 1, "whole": True, "hosts": hosts}}
        self.events = [event]
        return self.known()

    def known(self):
        """As a start gives it: the events up to now, counted from 1."""
        return {"offset": len(self.events), "batch": list(self.events)}

    def publish(self, hosts):
        event = {"offset": len(self.events) + 1,
                 "topology": {"seq": len(self.events) + 1, "whole": False, "hosts": hosts}}
        self.events.append(event)
        self.record("bus", "told: " + json.dumps(hosts))
        for writer in self.writers:
            self.write(writer, event)

    @staticmethod
    def write(writer, event):
        writer.write(f"id: {event['offset']}\ndata: {json.dumps(event)}\n\n".encode())

    async def serve(self, reader, writer):
        try:
            last = 0
            while True:
                line = (await reader.readline()).decode().strip()
                if not line:
                    break
                if line.lower().startswith("last-event-id:"):
                    last = int(line.split(":", 1)[1])
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            for event in self.events[last:]:
                self.write(writer, event)
            self.writers.append(writer)
            while not writer.is_closing():
                writer.write(b": alive\n\n")
                await writer.drain()
                await asyncio.sleep(1)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            if writer in self.writers:
                self.writers.remove(writer)
            writer.close()


def settings(**changes):
    """Settings of a small deployment, as an instance receives them (WIRE, section 6).

    A change is named by its path, with two underscores between the keys.
    """
    classes = [("dock-status", 1.2, 9.0, 1.0), ("unlock", 1.5, 9.0, 2.0), ("fare-quote", 2.0, 9.0, 1.0)]
    out = {
        "callers": {"marks_retry": True},
        "classes": [{"name": name, "goal_time_s": goal, "deadline_s": deadline, "dedup_window_s": 5.0,
                     "effect": "repeatable", "group": "all", "late_share": 0.25, "stream": True,
                     "value": value} for name, goal, deadline, value in classes],
        "domain": {"centre_advises": False, "class_width": [1, 1, 1], "clear_wait_s": 0.5,
                   "far_state": "piggyback", "gives_wait": True, "holding_s": [9.6, 11.5, 6.7],
                   "self_no": -1, "skilled_pools": [[0, 1], [0, 1], [0, 1]], "t1_s": 0.5,
                   "topology": "groups"},
        "fleet_size": 1, "goal": {"whole": 0.5, "worst_class": 0.2, "worst_tenant": 0.0, "worst_window": 0.3},
        "layer": 0, "layers": ["dock-call-servers"],
        "limits": {"cancelling": True, "connect_timeout_s": 0.5, "cpu_us_per_request": 0.0,
                   "cpu_us_per_s": 300000, "idle_close_s": 600.0, "max_retry_after_s": 2.0,
                   "multiplex": 1048576, "open_cap": 20000, "parallel_tries": False, "peers": False,
                   "probes": False, "retry_after": True, "try_limit": 4},
        "load_info": {"fields": ["spare", "total"], "how": "piggyback"}, "me": 0, "over_share_worth": 0.1,
        "quantum_s": 0.005, "registry_mode": "push",
        "rules": {"answer_slack_s": 0.02, "ask_within_s": 10.0, "drain_grace_s": 0.25, "fall_s": 2.0,
                  "overload_factor": 3.0, "start_capacity": 0.28, "warm_up_s": 15.0},
        "service_type": "trunks", "skus": ["one-core"], "tenants": [], "weights": "silent",
        "worth_by": "request", "zone": 0, "zones": ["lagos", "abuja"]}
    for path, value in changes.items():
        target, keys = out, path.split("__")
        for key in keys[:-1]:
            target = target[key]
        target[keys[-1]] = value
    return out


def end_with_parent():
    """In the child: it is killed if this process ends without having ended it."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)  # PR_SET_PDEATHSIG


class Edge:
    """One edge proxy, started by the `run` command of the deploy file."""

    def __init__(self, loop, record, folder, ip, bus, the_settings, name="n0", sockets=512):
        self.loop, self.record, self.folder, self.bus = loop, record, folder, bus
        self.listen, self.settings, self.name = free_address(ip), the_settings, name
        self.starts, self.sockets = 0, sockets
        self.process = None

    async def start(self, known):
        self.starts += 1
        config = {"name": self.name, "listen": "%s:%d" % self.listen, "seed": "8c1f30d27a5be964",
                  "limits": {"cores": 1.0, "memory_mb": 64, "sockets": self.sockets},
                  "bus": "%s:%d" % self.bus.address, "known": known, "settings": self.settings}
        path = os.path.join(self.folder, f"{self.name}.json")
        with open(path, "w") as file:
            json.dump(config, file)
        with open(os.path.join(ROOT, "deploy/balancer.toml"), "rb") as file:
            run = tomllib.load(file)["run"]
        private = os.path.join(self.folder, f"{self.name}.tmp.{self.starts}")
        os.mkdir(private)
        self.log_path = os.path.join(self.folder, f"{self.name}.{self.starts}.log")
        env = dict(os.environ, LB_NAME=self.name, LB_LISTEN=config["listen"], LB_CONFIG=path, TMPDIR=private)
        with open(self.log_path, "wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL, stdout=log,
                stderr=log, start_new_session=True, preexec_fn=end_with_parent)
        for _ in range(1000):
            if self.process.returncode is not None:
                raise CannotRun(f"{self.name} ended with {self.process.returncode} before it was ready")
            if b"\n" in open(self.log_path, "rb").read() and self.process.returncode is None:
                self.record(self.name, f"started, ready, process {self.process.pid}")
                return
            await asyncio.sleep(0.01)
        raise CannotRun(f"{self.name} was not ready")

    def signal(self, number):
        self.record(self.name, f"gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def ended(self, timeout):
        code = await asyncio.wait_for(self.process.wait(), timeout)
        self.record(self.name, f"ended with {code}")
        return code

    async def kill(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def copy_log(self):
        """Appends lines of the proxy's own log to the record: for the reader, no verdict rests on them."""
        kept = ('"started"', '"draining"', '"stopped"', '"list"', '"bus_lost"', '"reloaded"', '"core_gone"',
                '"core_connection"', '"core_fault"', '"caller_')
        for start in range(1, self.starts + 1):
            path = os.path.join(self.folder, f"{self.name}.{start}.log")
            if not os.path.exists(path):
                continue
            self.record.file.write(f"\nfrom the log of {self.name}, start {start} (not judged):\n")
            for line in open(path, errors="replace"):
                if any(each in line for each in kept):
                    self.record.file.write("    " + line)


def parameter(code, value):
    return struct.pack(">BH", code, len(value)) + value


def message(kind, call, *parameters):
    body = struct.pack(">BQ", kind, call) + b"".join(parameters)
    return struct.pack(">H", len(body)) + body


class Caller:
    """The callers of one proxy: connections that carry many calls."""

    def __init__(self, loop, record, edge, name="caller"):
        self.loop, self.record, self.edge, self.name = loop, record, edge, name
        self.sent, self.finals, self.releases, self.at = {}, {}, {}, {}
        self.conns = []
        self.on_answer = None

    async def connect(self, timeout=3.0):
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*self.edge.listen), timeout)
        set_nodelay(writer.get_extra_info("socket"))
        conn = CallerConn(self, reader, writer, len(self.conns) + 1)
        self.conns.append(conn)
        return conn

    def got(self, conn, kind, call, parameters):
        cause = parameters.get(31, b"\x10")[0]
        if kind == ANSWER:
            self.finals.setdefault(call, []).append((self.record.now(), "answer", parameters.get(33, b"")))
            self.record(self.name, f"connection {conn.number}: answer {call:016x} {parameters.get(33)!r}")
            if self.on_answer:
                self.on_answer(call)
        elif kind == RELEASE:
            self.record(self.name, f"connection {conn.number}: release {call:016x} cause {cause}")
            finals = self.finals.setdefault(call, [])
            if any(f[1] == "answer" for f in finals):
                self.releases.setdefault(call, []).append((self.record.now(), cause))
            else:
                finals.append((self.record.now(), "refused" if cause in (34, 42, 102) else "failed", cause))
        elif kind == TESTED:
            conn.tested.set()


class CallerConn:
    def __init__(self, caller, reader, writer, number):
        self.caller, self.reader, self.writer, self.number = caller, reader, writer, number
        self.tested, self.open = asyncio.Event(), True
        self.task = caller.loop.create_task(self.read())

    async def read(self):
        try:
            while True:
                size, = struct.unpack(">H", await self.reader.readexactly(2))
                body = await self.reader.readexactly(size)
                kind, call = struct.unpack(">BQ", body[:9])
                parameters, at = {}, 9
                while at < len(body):
                    code, length = struct.unpack(">BH", body[at:at + 3])
                    parameters[code] = body[at + 3:at + 3 + length]
                    at += 3 + length
                self.caller.got(self, kind, call, parameters)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        self.open = False
        self.caller.record(self.caller.name, f"connection {self.number} ended")

    async def test(self, timeout=3.0):
        self.writer.write(message(TEST, 1, parameter(31, b"\x00")))
        await asyncio.wait_for(self.tested.wait(), timeout)

    def setup(self, call, service_class="dock-status", left_ms=3000, dest=0, at=None):
        figures = f"dest:{dest};width:1;via:-1" + (f";at:{at}" if at else "")
        self.writer.write(message(
            SETUP, call, parameter(3, service_class.encode()), parameter(5, str(left_ms).encode()),
            parameter(11, b"%016x" % (call * 7919 & (1 << 64) - 1)), parameter(13, figures.encode()),
            parameter(33, b"%016x\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0\r\n" % call)))
        if not at:
            self.caller.sent[call] = self.caller.record.now()
        self.caller.record(self.caller.name,
                           f"connection {self.number}: setup {call:016x} {service_class} left {left_ms} {figures}")

    def release(self, call, cause=16):
        self.caller.record(self.caller.name, f"connection {self.number}: sends release {call:016x}")
        self.writer.write(message(RELEASE, call, parameter(31, bytes([cause]))))

    def close(self):
        self.open = False
        self.writer.close()


ENDED_BOUND = 8.0 + 0.05  # s from the end of a call to its release to the caller, and the slack of every limit


def ends_not_released(caller, ends, now, not_before=0.0):
    """The calls that had stood for their caller and were not released to it in time after their end.

    The bound is counted from `not_before` where that is later than the end.
    """
    broken = []
    for call, at in sorted(ends.items(), key=lambda each: each[1]):
        limit = max(at, not_before) + ENDED_BOUND
        if not any(final[1] == "answer" for final in caller.finals.get(call, [])) or limit > now:
            continue
        told = [when for when, _ in caller.releases.get(call, [])]
        if not told:
            broken.append(f"call {call:016x} ended at {at:.3f} and was not released by {now:.3f}")
        elif min(told) > limit:
            broken.append(f"call {call:016x} ended at {at:.3f} and was released at {min(told):.3f}, "
                          f"{min(told) - at:.3f} s later")
    return broken


def loopback_ip():
    """A loopback address of this process's own, so that cases can run side by side."""
    pid = os.getpid()
    return f"127.{16 + (pid >> 16 & 63)}.{pid >> 8 & 255}.{max(1, pid & 255)}"


def run_case(folder, play, limit=110):
    """Runs `play(loop, record, temp, ip)`, which returns a list of broken rules. Exits with 0, 1 or 2."""
    record = Record(os.path.join(folder, "record.txt"))
    record("case", f"TROUBLE={int(TROUBLE)}")
    edges = []

    async def main():
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)
        with tempfile.TemporaryDirectory(prefix="review-") as temp:
            try:
                return await asyncio.wait_for(play(loop, record, temp, loopback_ip(), edges), limit)
            finally:
                for edge in edges:
                    await edge.kill()
                for edge in edges:
                    edge.copy_log()

    try:
        broken = asyncio.run(main())
    except (Exception, asyncio.CancelledError) as error:  # nothing unforeseen may count as shown
        record("case", f"could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    for each in broken:
        print("broken:", each)
        record("verdict", "broken: " + each)
    if not broken:
        print("held")
        record("verdict", "held")
    sys.exit(1 if broken else 0)
