"""Stand-ins for a small deployment: the platform's store, workers, clients and
the entry instances' processes. They follow the users' pages and use only the
standard library. One event loop on the real clock runs all stand-ins; the
project's program runs in processes of its own."""
import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = [os.path.join(ROOT, "target/src/coltsfootstile/coltsfootstile"), "--cell"]
TEMPLATE = os.path.join(ROOT, "platform/settings.ini.tmpl")
VARIABLE = "COLTSFOOTSTILE_NODE_FILE"
RECORD_BYTES = 262144
CALL_BYTES = 2097152
APPEND_MS = 2.0
ANSWER_MS = 4.0
HOLD_MAX_MS = 10000
STOP_MS = 900
CHECKPOINT_S = 2.0
FINISHED_MAX = 500
REASONS = {200: "OK", 400: "Bad Request", 403: "Forbidden", 409: "Conflict", 410: "Gone",
           412: "Precondition Failed", 421: "Misdirected Request", 429: "Too Many Requests",
           503: "Service Unavailable", 404: "Not Found", 507: "Insufficient Storage"}


class CannotRun(Exception):
    """The case couldn't be played."""


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def say(self, who, what, *words):
        text = " ".join(str(w) for w in words)
        self.file.write("%9.4f %-12s %-10s %s\n" % (self.now(), who, what, text))

    def close(self):
        self.file.close()


# ---- HTTP/1.1 server ----

class HttpConnection(asyncio.Protocol):
    """Reads requests in turn and passes each to handler(request, answer)."""

    def __init__(self, server):
        self.server = server
        self.buffer = b""
        self.busy = False
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.server.connections.add(self)

    def connection_lost(self, _exc):
        self.server.connections.discard(self)
        self.transport = None

    def data_received(self, data):
        self.buffer += data
        self.next_request()

    def next_request(self):
        if self.busy or self.transport is None:
            return
        end = self.buffer.find(b"\r\n\r\n")
        if end < 0:
            return
        lines = self.buffer[:end].decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        size = int(headers.get("content-length", "0"))
        if len(self.buffer) < end + 4 + size:
            return
        body = self.buffer[end + 4:end + 4 + size]
        self.buffer = self.buffer[end + 4 + size:]
        method, target, _ = lines[0].split(" ", 2)
        self.busy = True
        self.server.handler(self, method, target, headers, body)

    def answer(self, status, body=b"", content="application/json"):
        if self.transport is None:
            return
        if isinstance(body, dict):
            body = json.dumps(body, separators=(",", ":")).encode()
        head = "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n" % (
            status, REASONS[status], content, len(body))
        self.transport.write(head.encode() + body)
        self.busy = False
        self.next_request()

    def reset(self):
        if self.transport is not None:
            self.transport.abort()


class HttpServer:
    def __init__(self, handler):
        self.handler = handler
        self.connections = set()
        self.server = None
        self.port = 0

    async def listen(self, host="127.0.0.1", port=0):
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: HttpConnection(self), host, port,
                                               reuse_address=True)
        self.port = self.server.sockets[0].getsockname()[1]

    def close(self):
        if self.server is not None:
            self.server.close()
            self.server = None
        for connection in list(self.connections):
            connection.reset()


# ---- the platform's store ----

class Topic:
    def __init__(self):
        self.records = []
        self.newest = {}  # key -> (offset, value)
        self.producers = {}  # name -> (epoch, sequence, last answers)
        self.wakers = []


class Store:
    """A log of topics with one partition, as the page on the platform's store
    has it. Each instance gets an address of its own, so that the store can turn
    away single machines."""

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.down = None  # None, "busy", "reset" or "silent": for all machines
        self.free_at = 0.0  # when the last append ends
        self.servers = []
        self.calls = 0
        self.rejected = 0
        self.largest = 0  # record, in bytes

    async def open_address(self):
        server = HttpServer(self.handle)
        await server.listen()
        self.servers.append(server)
        return "127.0.0.1:%d" % server.port

    def close(self):
        for server in self.servers:
            server.close()

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, name, key, value):
        """Appends a record of the operator or of a worker."""
        body = b"" if value is None else json.dumps(value).encode()
        self.add(self.topic(name), bytes([len(key)]) + key.encode() + body)

    def add(self, topic, content):
        offset = len(topic.records)
        topic.records.append(content)
        size = content[0] if content else 0
        key, value = content[1:1 + size].decode("utf-8", "replace"), content[1 + size:]
        if value:
            topic.newest[key] = (offset, value)
        else:
            topic.newest.pop(key, None)
        wakers, topic.wakers = topic.wakers, []
        for wake in wakers:
            wake()

    def handle(self, connection, method, target, _headers, body):
        self.calls += 1
        if self.down == "silent":
            return
        if self.down == "reset":
            connection.reset()
            return
        if self.down == "busy":
            self.later(ANSWER_MS, connection, 503, {})
            return
        path, _, query = target.partition("?")
        args = dict(part.partition("=")[::2] for part in query.split("&"))
        topic = args.get("topic", "")
        if method == "POST" and path == "/log-append":
            self.append(connection, topic, args, body)
        elif path == "/log-read":
            self.read(connection, topic, args)
        elif path == "/log-newest":
            self.list_newest(connection, topic, args)
        else:
            self.later(ANSWER_MS, connection, 404, {})

    @staticmethod
    def later(ms, connection, status, body, content="application/json"):
        asyncio.get_running_loop().call_later(
            ms / 1000.0, connection.answer, status, body, content)

    def append(self, connection, name, args, body):
        """One append at a time; each takes APPEND_MS."""
        loop = asyncio.get_running_loop()
        start = max(loop.time(), self.free_at)
        self.free_at = start + APPEND_MS / 1000.0
        loop.call_at(self.free_at, self.finish_append, connection, name, args, body)

    def finish_append(self, connection, name, args, body):
        topic = self.topic(name)
        status, answer = 200, None
        records, at = [], 0
        while at < len(body):
            size = struct.unpack(">I", body[at:at + 4])[0]
            records.append(body[at + 4:at + 4 + size])
            at += 4 + size
        self.largest = max([self.largest] + [len(r) for r in records])
        too_large = len(body) > CALL_BYTES or any(len(r) > RECORD_BYTES for r in records)
        if self.down is not None:
            self.handle(connection, "GET", "/", {}, b"")
            return
        if name in ("keyed.op", "keyed.servers"):
            status, answer = 403, {}
        elif too_large:
            self.rejected += 1
            self.record.say("store", "rejected", "append of %d bytes to %s: its largest record "
                            "has %d of %d bytes" % (len(body), name,
                                                    max(len(r) for r in records), RECORD_BYTES))
            status, answer = 400, {"reason": "size"}
        elif "at" in args and int(args["at"]) != len(topic.records):
            status, answer = 412, {"end": len(topic.records)}
        elif "producer" in args:
            epoch, sequence = int(args["epoch"]), int(args["seq"])
            known = topic.producers.get(args["producer"])
            if known is not None and epoch < known[0]:
                status, answer = 409, {"reason": "fenced"}
            elif known is None or epoch > known[0]:
                topic.producers[args["producer"]] = known = [epoch, None, []]
            if status == 200 and records:
                if known[1] is not None:
                    for old, reply in known[2]:
                        if old == sequence:
                            answer = reply
                    if answer is None and sequence != known[1] + 1:
                        status, answer = 409, {"reason": "seq", "expected": known[1] + 1}
        if answer is None:
            offset = len(topic.records)
            for content in records:
                self.add(topic, content)
            answer = {"offset": offset, "end": len(topic.records)}
            if "producer" in args and records:
                known[1] = int(args["seq"])
                known[2] = known[2][-4:] + [(known[1], answer)]
        self.later(ANSWER_MS, connection, status, answer)

    def read(self, connection, name, args):
        loop = asyncio.get_running_loop()
        topic = self.topic(name)
        start, wait_s = int(args["from"]), int(args.get("waitMs", "0")) / 1000.0
        limit = int(args.get("maxKb", "1024")) * 1024
        state = {"done": False}

        def finish():
            if state["done"]:
                return
            state["done"] = True
            if self.down is not None:
                self.handle(connection, "GET", "/", {}, b"")
                return
            out = [struct.pack(">QQ", len(topic.records), 0)]
            size = 0
            for content in topic.records[start:]:
                if size > 0 and size + len(content) > limit:
                    break
                size += 4 + len(content)
                out.append(struct.pack(">I", len(content)) + content)
            self.later(ANSWER_MS, connection, 200, b"".join(out), "application/octet-stream")

        if len(topic.records) > start or wait_s <= 0:
            finish()
            return
        topic.wakers.append(finish)
        loop.call_later(wait_s, finish)

    def list_newest(self, connection, name, args):
        topic = self.topic(name)
        after = args.get("after", "")
        items, size, more = [], 0, False
        for key in sorted(topic.newest):
            if key <= after:
                continue
            offset, value = topic.newest[key]
            if len(items) == 500 or size + len(value) > 1024 * 1024:
                more = True
                break
            size += len(value)
            items.append({"key": key, "value": base64.b64encode(value).decode(),
                          "offset": offset})
        self.later(ANSWER_MS, connection, 200,
                   {"items": items, "hasMore": more, "end": len(topic.records)})


# ---- workers ----

class Run:
    def __init__(self, task, number, spec, checkpoint):
        self.task = task
        self.number = number
        self.spec = spec
        self.checkpoint = checkpoint
        self.began = time.monotonic()
        self.lasts_s = 0.0  # 0: until it is stopped
        self.end_how = "done"
        self.stopping = False
        self.timer = None


class Worker:
    """A worker of a service, in one incarnation at a time. plan(worker, run)
    sets how long a run lasts and how it ends."""

    def __init__(self, record, store, name, service, zone, labels, room, plan, ledger):
        self.record = record
        self.store = store
        self.id = name
        self.service = service
        self.zone = zone
        self.labels = labels
        self.room = room
        self.plan = plan
        self.ledger = ledger
        self.server = None
        self.address = ""
        self.port = 0
        self.up = False
        self.lives = 0
        self.silent = False  # cut off: calls get no answer

    async def start(self):
        self.lives += 1
        life = self.lives

        def handle(*call):
            """Calls on connections of a former life reach nobody."""
            if self.up and life == self.lives:
                self.handle(*call)

        self.server = HttpServer(handle)
        await self.server.listen(port=self.port)
        self.port = self.server.port
        self.address = "127.0.0.1:%d" % self.port
        self.born = int(time.time() * 1000)
        self.clock_base = time.monotonic() - random.uniform(100, 5000)
        self.token = 0
        self.running = {}  # task -> Run
        self.ended = []  # [N, task, run, how, saved]
        self.next_end = 1
        self.highest = {}  # task -> highest run that ended or was stopped
        self.lease_ms = 0
        self.lease_timer = None
        self.waiting = []  # of (connection, timer)
        self.seq = 1
        self.up = True
        self.record.say(self.id, "up", "born", self.born, "at", self.address)
        self.write_entry()

    def crash(self):
        """All that runs ends; nothing is said."""
        self.record.say(self.id, "crash", "with", len(self.running), "runs")
        self.up = False
        self.server.close()
        for run in list(self.running.values()):
            if run.timer is not None:
                run.timer.cancel()
            self.ledger.ended(self, run, "crashed", 0)
        self.running = {}
        if self.lease_timer is not None:
            self.lease_timer.cancel()
        for _connection, timer in self.waiting:
            timer.cancel()
        self.waiting = []

    def stop(self):
        if self.up:
            self.up = False
            self.server.close()

    def write_entry(self):
        self.store.put("keyed.servers", self.id, {
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
            "room": self.room, "labels": self.labels, "clockMs": self.clock(),
            "born": self.born, "seq": self.seq})
        self.seq += 1

    def clock(self):
        return int((time.monotonic() - self.clock_base) * 1000)

    def handle(self, connection, _method, target, headers, body):
        if self.silent:
            return
        if headers.get("x-expected-instance", self.id) != self.id:
            connection.answer(421, {"clockMs": self.clock()})
            return
        call = json.loads(body) if body else {}
        token = call.get("fencingToken", 0)
        if token < self.token:
            connection.answer(409, {"clockMs": self.clock(), "reason": "fence"})
            return
        self.token = token
        if target == "/hold":
            self.hold(connection, call)
        elif target == "/run-start":
            self.start_run(connection, call)
        elif target == "/run-stop":
            self.stop_run(connection, call)
        elif target == "/health":
            connection.answer(200, {})
        else:
            connection.answer(404, {})

    def extend(self, until_ms):
        now_ms = self.clock()
        until_ms = min(until_ms, now_ms + HOLD_MAX_MS)
        if until_ms <= max(self.lease_ms, now_ms):
            return
        self.lease_ms = until_ms
        if self.lease_timer is not None:
            self.lease_timer.cancel()
        self.lease_timer = asyncio.get_running_loop().call_later(
            (until_ms - now_ms) / 1000.0, self.lapse)

    def lapse(self):
        self.lease_timer = None
        if self.running:
            self.record.say(self.id, "lapse", len(self.running), "runs")
        self.ledger.lapsed(self)
        for run in list(self.running.values()):
            self.end_run(run, "lapsed")

    def start_run(self, connection, call):
        task, number = call["task"], call["run"]
        until_ms = call.get("untilMs", 0)
        self.extend(until_ms)
        known = self.running.get(task)
        if known is not None and known.number == number:
            connection.answer(200, {"clockMs": self.clock()})
            return
        if number <= self.highest.get(task, 0) or (known is not None and number < known.number):
            connection.answer(409, {"clockMs": self.clock(), "reason": "old"})
            return
        if self.lease_ms <= self.clock():
            connection.answer(409, {"clockMs": self.clock(), "reason": "late"})
            return
        run = Run(task, number, call.get("spec", ""), call.get("checkpoint", ""))
        self.plan(self, run)
        self.running[task] = run
        if run.lasts_s > 0:
            run.timer = asyncio.get_running_loop().call_later(
                run.lasts_s, self.end_run, run, run.end_how)
        self.ledger.started(self, run)
        connection.answer(200, {"clockMs": self.clock()})

    def stop_run(self, connection, call):
        task, number = call["task"], call["run"]
        run = self.running.get(task)
        if run is not None and run.number <= number:
            if not run.stopping:
                run.stopping = True
                if run.timer is not None:
                    run.timer.cancel()
                run.timer = asyncio.get_running_loop().call_later(
                    random.uniform(0.1, 0.9) * STOP_MS / 1000.0, self.end_run, run, "stopped")
        else:
            self.highest[task] = max(self.highest.get(task, 0), number)
        connection.answer(200, {"clockMs": self.clock()})

    def end_run(self, run, how):
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        if run.timer is not None:
            run.timer.cancel()
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.ended.append([self.next_end, run.task, run.number, how, self.saved(run)])
        self.ledger.ended(self, run, how, self.next_end)
        self.next_end += 1
        waiting, self.waiting = self.waiting, []
        for connection, timer in waiting:
            timer.cancel()
            self.report(connection)

    def saved(self, run):
        if not getattr(run, "saves", False):
            return ""
        made = int((time.monotonic() - run.began) / CHECKPOINT_S)
        return "%06x%010x" % (made, hash(run.task) & 0xffffffffff) if made > 0 else run.checkpoint

    def hold(self, connection, call):
        acked = call.get("ackedThrough", 0)
        if self.ended and acked >= self.ended[0][0]:
            self.ledger.acked(self, acked)
            self.ended = [end for end in self.ended if end[0] > acked]
        self.extend(call.get("untilMs", 0))
        wait_ms = min(call.get("waitMs", 0), 2000)
        if self.ended or wait_ms <= 0:
            self.report(connection)
            return
        timer = asyncio.get_running_loop().call_later(wait_ms / 1000.0, self.end_wait, connection)
        self.waiting.append((connection, timer))

    def end_wait(self, connection):
        self.waiting = [w for w in self.waiting if w[0] is not connection]
        self.report(connection)

    def report(self, connection):
        if self.silent:
            return
        now = time.monotonic()
        rows = []
        for run in self.running.values():
            whole = run.lasts_s if run.lasts_s > 0 else 0.3
            percent = min(int(100 * (now - run.began) / whole), 99 if run.lasts_s > 0 else 100)
            if getattr(run, "lasting", False):
                percent = 100 if now - run.began > 0.3 else int(100 * (now - run.began) / 0.3)
            rows.append([run.task, run.number, self.saved(run), percent, 100])
        connection.answer(200, {"clockMs": self.clock(), "born": self.born, "running": rows,
                                "finished": self.ended[:FINISHED_MAX]})


class Ledger:
    """What ran, for the checks. Every start and end of a run."""

    def __init__(self, record, verbose=True):
        self.record = record
        self.verbose = verbose
        self.runs = []  # dicts
        self.open = {}  # (worker id, task, run) -> dict
        self.lapses = {}  # worker id -> times

    def started(self, worker, run):
        entry = {"task": run.task, "run": run.number, "worker": worker.id, "born": worker.born,
                 "began": self.record.now(), "ended": None, "how": None, "number": 0,
                 "noted": None}
        self.runs.append(entry)
        self.open[(worker.id, run.task, run.number)] = entry
        if self.verbose:
            self.record.say(worker.id, "starts", run.task, "run", run.number)

    def ended(self, worker, run, how, number):
        entry = self.open.pop((worker.id, run.task, run.number), None)
        if entry is None:
            return
        entry["ended"] = self.record.now()
        entry["how"] = how
        entry["number"] = number
        if self.verbose:
            self.record.say(worker.id, "ends", run.task, "run", run.number, how, "number", number)

    def lapsed(self, worker):
        self.lapses.setdefault(worker.id, []).append(self.record.now())

    def acked(self, worker, through):
        """ackedThrough reaches ends: they are taken note of, unless the lease
        lapsed between the two."""
        now = self.record.now()
        if self.verbose:
            self.record.say(worker.id, "acked", "through", through)
        for entry in self.runs:
            if (entry["worker"] == worker.id and entry["born"] == worker.born
                    and entry["noted"] is None and 0 < entry["number"] <= through):
                if any(entry["ended"] <= t <= now for t in self.lapses.get(worker.id, [])):
                    entry["noted"] = False
                else:
                    entry["noted"] = now

    def twice(self):
        """Rule TWICE: two runs of a task at the same time, or a start after a
        run that ended `done`, if that end is taken note of then or later."""
        problems = []
        by_task = {}
        for entry in self.runs:
            by_task.setdefault(entry["task"], []).append(entry)
        for task, runs in by_task.items():
            runs.sort(key=lambda e: e["began"])
            for i, later in enumerate(runs):
                for earlier in runs[:i]:
                    if earlier["ended"] is None or earlier["ended"] > later["began"]:
                        problems.append("%s: runs %d on %s and %d on %s at the same time" % (
                            task, earlier["run"], earlier["worker"], later["run"],
                            later["worker"]))
                    elif earlier["how"] == "done" and earlier["noted"]:
                        problems.append(
                            "%s: run %d on %s ended done at %.3f, taken note of at %.3f; run %d "
                            "starts on %s at %.3f" % (
                                task, earlier["run"], earlier["worker"], earlier["ended"],
                                earlier["noted"], later["run"], later["worker"],
                                later["began"]))
        return problems


# ---- entry instances ----

def render(template, values):
    """Fills in the plain placeholders of a template for settings."""
    def find(match):
        value = values
        for part in match.group(1).split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part)
            if value is None:
                return ""
        return str(value)
    return re.sub(r"\{\{([A-Za-z0-9_.]+)\}\}", find, template)


def free_port(host):
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class Instance:
    def __init__(self, record, folder, name, zone, ip, log, advice):
        self.record = record
        self.folder = folder
        self.name = name
        self.ip = ip
        self.process = None
        self.front = "%s:%d" % (ip, free_port(ip))
        self.readiness = "%s:%d" % (ip, free_port(ip))
        inner = free_port(ip)
        state = free_port(ip)
        values = {"node": name, "zone": zone, "ip": ip,
                  "limits": {"cpuShare": 0.25, "cores": 1, "linkMbps": 1000.0},
                  "internalPorts": [inner, state],
                  "listen": {"front": self.front, "readiness": self.readiness},
                  "platform": {"address": log}, "advice": advice,
                  "bounds": {"holdMaxMs": HOLD_MAX_MS, "status_s": 120, "graceS": 6}}
        self.state = "%s:%d" % (ip, state)
        with open(TEMPLATE, encoding="utf-8") as file:
            text = render(file.read(), values)
        self.settings = os.path.join(folder, name + ".ini")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)
        self.log = os.path.join(folder, name + ".log")

    def start(self):
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env[VARIABLE] = self.settings
        with open(self.log, "ab") as out:
            self.process = subprocess.Popen(PROGRAM, cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                            stdout=out, stderr=out)
        self.record.say(self.name, "process", "starts, pid", self.process.pid)

    def signal(self, number):
        self.record.say(self.name, "signal", signal.Signals(number).name)
        self.process.send_signal(number)

    def end(self):
        if self.process is None:
            return
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


# ---- clients ----

async def http_call(address, method, path, host, key, body=None, timeout_s=3.0):
    """Returns (status, JSON body), or (None, None) without an answer in time."""
    ip, port = address.split(":")
    data = b"" if body is None else json.dumps(body).encode()
    head = ("%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"
            "Authorization: Bearer %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n"
            "Connection: close\r\n\r\n" % (method, path, host, key, int(timeout_s * 1000),
                                           len(data)))
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), timeout_s)
        writer.write(head.encode() + data)
        text = await asyncio.wait_for(reader.read(), timeout_s)
        top, _, rest = text.partition(b"\r\n\r\n")
        if not top.startswith(b"HTTP/1.1 "):
            return None, None
        status = int(top.split(b" ")[1])
        try:
            return status, json.loads(rest) if rest else {}
        except ValueError:
            return status, {}
    except (OSError, asyncio.TimeoutError):
        return None, None
    finally:
        if writer is not None:
            writer.close()


class Deployment:
    """A small deployment: three zones with an entry instance each, one service
    and its workers."""

    SERVICE = "huvo11a"
    HOST = "ficu95.example"
    PREFIX = "/lohu930/"
    KEY = "3hh2b9wu3fexd9dnn2ct"
    ZONES = ["osborne", "welshpool", "fremantle"]

    def __init__(self, case, verbose=True):
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record = Record(os.path.join(case, "record.txt"))
        self.ledger = Ledger(self.record, verbose)
        self.store = Store(self.record)
        self.workers = []
        self.instances = []
        self.random = random.Random(33)

    def config(self, version, **queue):
        route = {"name": "r-dev3nax", "host": self.HOST, "pathPrefix": self.PREFIX,
                 "type": "unsafe", "timeoutMs": 3000, "targetLatencyMs": 3000, "priority": 1,
                 "service": self.SERVICE, "maxAttempts": 4, "stretch": 4.0, "public": False}
        route.update(queue)
        return {"version": version, "routes": [route],
                "services": [{"name": self.SERVICE, "healthPath": "/health", "maxConns": 64,
                              "protocol": "h1", "tls": False, "enforcesCapacity": False,
                              "standby": False}],
                "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                           "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
                "tenants": [{"name": "hule930", "apiKeys": [self.KEY], "priority": 1,
                             "weight": 11,
                             "maximum": {"cpu": 100000000, "memMb": 100000000, "gpus": 1000}}]}

    async def open(self, workers, plan, labels=None, instances=3, advice="127.0.0.1:1",
                   **queue):
        if not os.access(PROGRAM[0], os.X_OK):
            raise CannotRun("the deploy file's program isn't built")
        self.store.put("keyed.op", "config", self.config(7, **queue))
        for i in range(workers):
            kind = labels[i] if labels is not None else "a"
            worker = Worker(self.record, self.store, "i-%010x" % self.random.getrandbits(40),
                            self.SERVICE, self.ZONES[i % 3], [kind, "r1-%d" % (i // 5 + 1)],
                            {"cpu": 32000, "memMb": 65536, "gpus": 0}, plan, self.ledger)
            await worker.start()
            self.workers.append(worker)
        base = 1 + (os.getpid() % 200)
        for i in range(instances):
            zone = self.ZONES[i % 3]
            instance = Instance(self.record, self.folder, "front-%s-%d" % (zone, i // 3 + 1), zone,
                                "127.0.%d.%d" % (base, i + 1), await self.store.open_address(),
                                advice)
            instance.start()
            self.instances.append(instance)
        await self.wait_ready()

    async def wait_ready(self):
        deadline = time.monotonic() + 15
        while time.monotonic() < deadline:
            statuses = [(await http_call(i.readiness, "GET", "/readiness", self.HOST, self.KEY,
                                         timeout_s=1.0))[0] for i in self.instances]
            if all(s == 200 for s in statuses):
                await asyncio.sleep(2.5)  # a leader and its workers' reports
                self.record.say("bench", "ready")
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the instances don't become ready")

    def job_id(self):
        return "%016x" % self.random.getrandbits(64)

    async def submit(self, job, spec, attempts=20):
        """Hands a job in as a client does: the same id again after no answer, a
        502 or 504, and after a rejection once the pause is over."""
        for attempt in range(attempts):
            instance = self.instances[(attempt + int(job[:2], 16)) % len(self.instances)]
            status, _ = await http_call(instance.front, "POST", self.PREFIX + job, self.HOST,
                                        self.KEY, spec)
            self.record.say("client", "POST", job, "at", instance.name, "->", status)
            if status is not None and 200 <= status < 300:
                return True
            await asyncio.sleep(0.3 if status in (None, 502, 504) else 1.0)
        return False

    async def state(self, job, attempts=5):
        """Returns the job's state, 410, or None without a definite answer."""
        for attempt in range(attempts):
            instance = self.instances[(attempt + int(job[2:4], 16)) % len(self.instances)]
            status, body = await http_call(instance.front, "GET", self.PREFIX + job, self.HOST,
                                           self.KEY)
            self.record.say("client", "GET", job, "at", instance.name, "->", status,
                            (body or {}).get("state", ""))
            if status == 200:
                return body.get("state")
            if status == 410:
                return 410
            await asyncio.sleep(0.5)
        return None

    def died(self):
        return [i.name for i in self.instances
                if i.process is not None and i.process.poll() is not None]

    def close_network(self):
        for instance in self.instances:
            instance.end()
        for worker in self.workers:
            worker.stop()
        self.store.close()

    def close(self):
        for instance in self.instances:
            instance.end()
        self.record.close()
        if os.environ.get("KEEP", "0") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("kept", self.folder, file=sys.stderr)


def play(case, main, verbose=True):
    """Runs main(deployment, trouble), which returns the problems that break the
    rule. Returns the exit status of the case."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda *_: sys.exit(2))  # ends the processes too
    deployment = Deployment(case, verbose)

    async def run():
        try:
            return await asyncio.wait_for(main(deployment, trouble), 110)
        finally:
            deployment.close_network()
            await asyncio.sleep(0.05)

    try:
        problems = asyncio.run(run())
        for problem in problems:
            deployment.record.say("check", "broken", problem)
    except Exception as error:  # pylint: disable=broad-except
        deployment.record.say("check", "can't run", repr(error))
        print("can't run:", repr(error))
        return 2
    finally:
        deployment.close()
    for problem in problems[:10]:
        print("broken:", problem)
    if len(problems) > 10:
        print("broken: and %d more" % (len(problems) - 10))
    print("trouble %d: the rule %s" % (trouble, "is broken" if problems else "holds"))
    return 1 if problems else 0
