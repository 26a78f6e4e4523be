#!/usr/bin/env python3
"""Clients that keep to no limit, against one process of the daemon on loopback addresses.

Guards against memory and descriptors that such clients make the daemon hold without bound, and
against a daemon that ends, hangs or no longer answers ordinary requests because of them. A case
checks that the process lives, that its memory and descriptors stay under a bound, and that each
listener answers an ordinary request while the clients are still connected.

Memory is checked as growth of the peak since the process was ready: the build under test may have
sanitizers, whose shadow memory makes the total larger and different on each architecture.
"""

import argparse
import os
import resource
import selectors
import signal
import socket
import subprocess
import sys
import tempfile
import time

MIB = 1 << 20

# Clients that pipeline requests and read no answer.
PIPELINE_CLIENTS = 8
PIPELINE_BYTES = 20 * MIB
PIPELINE_RECEIVE_BUFFER = 4096
# Connections of which none completes a request, and the descriptors the process may open.
MANY_CLIENTS = 400
MANY_DESCRIPTORS_LIMIT = 256
# Requests whose body is announced and sent except for its last bytes.
BODY_CLIENTS = 300
BODY_BYTES = 262144
BODY_MISSING = 16
# Connections that are opened together, whose clients pipeline requests and read no answer.
CROWD_CLIENTS = 1000
CROWD_BYTES = 256 * 1024
# Requests with as many header fields as their size allows, and without an end.
FIELD_CLIENTS = 200
FIELD_BYTES = 30000
# Requests whose headers come a byte at a time, that wait for "100 Continue", or whose clients close
# the connection at once; bodies in chunks without an end.
SINGLE_CLIENTS = 300
CHUNKED_CLIENTS = 8
CHUNKED_BYTES = 20 * MIB

# The longest headers and body of a client that keeps to the limits, in bytes.
HEADERS_WITHIN = 16384
BODY_WITHIN = 262144

# Bounds. The pipelined requests of a path amount to 160 MiB, the bodies of a case to 75 MiB, the
# requests of a crowd to 250 MiB, endless chunks to 160 MiB. What the kernel has received and nothing has read counts as memory
# of the machine too, and stays under memory_kb of the settings.
GROWTH_MAX = 32 * MIB
DESCRIPTORS_MAX = 230
QUEUED_MAX = 8 * MIB

# The crowd has ended once its connections took no byte and the process held no more memory and
# descriptors than before for this time. Memory that grows by less meanwhile isn't the crowd's: with
# sanitizers each log line adds some.
QUIET_S = 3.0
QUIET_GROWTH = 256 * 1024
# Until the daemon counts as hung; exceeds what a loaded machine with sanitizers needs.
HANG_S = 120.0

# Memory that was freed must not count: AddressSanitizer would keep up to 256 MiB of it.
ASAN_OPTIONS = "quarantine_size_mb=1:thread_local_quarantine_size_kb=64"

CELL_SETTINGS = """[instance]
name = north-1
zone = north
internal = {address}:7101
[listen]
callers = {address}:7102
readiness = {address}:7103
state = {address}:7104
[services]
log = {address}:7105
[bounds]
lease_max_ms = 2000
[limits]
memory_kb = 8192
"""
ENTRY_SETTINGS = """[instance]
number = 1
zone = 1
wire = {address}:7101
http = {address}:7102
[platform]
log = {address}:7105
list = {address}:7106
[trust]
operator = 91657a5d3732d1760bb020eec4797fc1c78d29019352a665b6fb79ea2eb83d1f
[limits]
memory_kb = 8192
"""
# Further limits of cases whose clients are only bounded by time.
SHORT_TIMES = "request_ms = 1000\nunread_ms = 1000\nidle_ms = 1000\n"
TIMED_CASES = ("drip", "expect", "leaving", "chunks")
CELL_PORTS = {"callers": 7102, "readiness": 7103, "state": 7104}
ENTRY_PORTS = {"gate": 7102}
# Of an ordinary request to a listener.
PATHS = {"callers": "/none", "readiness": "/ready", "state": "/metrics", "gate": "/none"}


class Failure(Exception):
    """A check that failed."""


class Daemon:
    """A process of the daemon on a loopback address of its own, derived from this process's id."""

    def __init__(self, program, settings, ports, folder, descriptors=None):
        pid = os.getpid()
        self.address = f"127.{64 + (pid >> 16) % 64}.{(pid >> 8) % 256}.{pid % 256}"
        self.ports = ports
        path = os.path.join(folder, "settings.ini")
        with open(path, "w", encoding="ascii") as file:
            file.write(settings.format(address=self.address))
        options = os.environ.get("ASAN_OPTIONS")
        environment = dict(
            os.environ, ASAN_OPTIONS=f"{options}:{ASAN_OPTIONS}" if options else ASAN_OPTIONS
        )
        cell = ["--cell"] if "callers" in ports else []
        self.output = os.path.join(folder, "output.txt")
        with open(self.output, "wb") as output:
            self.process = subprocess.Popen(
                [program, *cell, "--settings", path],
                stdout=output,
                stderr=subprocess.STDOUT,
                env=environment,
                preexec_fn=limit_descriptors(descriptors),
            )

    def wait_ready(self):
        """Waits until each listener answers."""
        for name in self.ports:
            until = time.monotonic() + HANG_S
            while True:
                self.check_alive()
                try:
                    self.request(name)
                    break
                except OSError:
                    if time.monotonic() > until:
                        raise Failure(f"{name}: no answer after the start") from None
                    time.sleep(0.05)

    def check_alive(self):
        if self.process.poll() is not None:
            raise Failure(f"the process ended with status {self.process.returncode}")

    def request(self, name):
        """Sends an ordinary request; returns the status of its answer."""
        return self.exchange(name, make_get(PATHS[name], "Connection: close\r\n"))[0]

    def exchange(self, name, content, count=1):
        """Sends a number of requests at once; returns the statuses of their answers."""
        with socket.create_connection((self.address, self.ports[name]), HANG_S) as client:
            client.sendall(content)
            answers = b""
            while len(statuses := find_statuses(answers)) < count:
                part = client.recv(65536)
                if not part:
                    raise ConnectionError("closed without an answer")
                answers += part
        return statuses

    def check_answers(self):
        """Checks that each listener answers an ordinary request; returns the statuses."""
        statuses = {}
        for name in self.ports:
            try:
                statuses[name] = self.request(name)
            except OSError as error:
                raise Failure(f"{name}: an ordinary request wasn't answered: {error}") from error
        self.check_alive()
        return statuses

    def peak_memory(self):
        """Returns the highest resident memory so far in bytes."""
        with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
            for line in file:
                if line.startswith("VmHWM:"):
                    return int(line.split()[1]) * 1024
        raise Failure("the process has no memory")

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def queued(self):
        """Returns the bytes that the kernel has received for the listeners and nothing has read,
        those of connections that wait to be accepted included.
        """
        host = socket.inet_aton(self.address)[::-1].hex().upper()
        local = {f"{host}:{port:04X}" for port in self.ports.values()}
        queued = 0
        with open("/proc/net/tcp", encoding="ascii") as file:
            for line in file:
                fields = line.split()
                # The queue of a listening socket (state 0A) counts connections.
                if fields[1] in local and fields[3] != "0A":
                    queued += int(fields[4].split(":")[1], 16)
        return queued

    def stop(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()


class Crowd:
    """Connections that send one content each and read nothing; "leaving" ones close then."""

    def __init__(self, daemon, name):
        self.address = (daemon.address, daemon.ports[name])
        self.unsent = {}
        self.part = MIB
        self.leaving = False
        self.closed = 0
        self.selector = selectors.DefaultSelector()

    def add(self, count, content, receive_buffer=None):
        """Begins to connect a number of clients."""
        for _ in range(count):
            client = socket.socket()
            if receive_buffer is not None:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
            client.setblocking(False)
            client.connect_ex(self.address)
            self.unsent[client] = memoryview(content)
            self.selector.register(client, selectors.EVENT_WRITE)

    def run(self, observe):
        """Sends until everything is quiet for QUIET_S; observe returns what the process holds."""
        quiet_s = 0.0
        held = observe()
        while quiet_s < QUIET_S:
            since = time.monotonic()
            taken = 0
            for key, _ in self.selector.select(0.1):
                taken += self.send_some(key.fileobj)
            if taken == 0:
                time.sleep(0.05)
            # The time that the observation takes doesn't count: the crowd doesn't send meanwhile.
            quiet_s += time.monotonic() - since
            seen = observe()
            if taken > 0 or seen[0] > held[0] + QUIET_GROWTH or seen[1:] > held[1:]:
                held = seen
                quiet_s = 0.0

    def send_some(self, client):
        """Returns how many bytes the connection took."""
        taken = 0
        try:
            taken = client.send(self.unsent[client][: self.part])
            self.unsent[client] = self.unsent[client][taken:]
        except BlockingIOError:
            return 0
        except OSError:
            self.closed += 1
            self.unsent[client] = self.unsent[client][:0]
        if not self.unsent[client]:
            self.selector.unregister(client)
            if self.leaving:
                client.close()
        return taken

    def close(self):
        for client in self.unsent:
            client.close()
        self.selector.close()


def limit_descriptors(limit):
    """Returns a function that limits the descriptors of the process that calls it, or None."""
    if limit is None:
        return None
    return lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))


def make_get(path, headers=""):
    return f"GET {path} HTTP/1.1\r\nHost: a\r\n{headers}\r\n".encode("ascii")


def find_statuses(answers):
    """Returns the final statuses of answers whose headers are complete."""
    heads = [b"\r\n" + part for part in answers.split(b"\r\n\r\n")[:-1]]
    statuses = [int(head.split(b"HTTP/1.1 ")[1][:3]) for head in heads if b"HTTP/1.1 " in head]
    return [status for status in statuses if status >= 200]


def check_within_limits(daemon, name):
    """Checks that requests that exhaust the limits of an ordinary client are answered."""
    path = PATHS[name]
    body = b"x" * BODY_WITHIN
    head = f"POST {path} HTTP/1.1\r\nHost: a\r\n"
    long_field = make_get(path, "A: " + "b" * (HEADERS_WITHIN - 100) + "\r\n")
    chunks = b"1000\r\n" + body[:0x1000] + b"\r\n"
    forms = {
        "one long field": (long_field, 1),
        "many fields": (make_get(path, "A: b\r\n" * ((HEADERS_WITHIN - 100) // 6)), 1),
        "a long field behind a short request": (make_get(path) + long_field, 2),
        "a long body": (f"{head}Content-Length: {BODY_WITHIN}\r\n\r\n".encode() + body, 1),
        "a long body behind a short request": (
            make_get(path) + f"{head}Content-Length: {BODY_WITHIN}\r\n\r\n".encode() + body, 2),
        "a body that doesn't wait for 100 Continue": (
            f"{head}Expect: 100-continue\r\nContent-Length: {BODY_WITHIN}\r\n\r\n".encode()
            + b"\n" * BODY_WITHIN, 1),
        "chunks": (
            f"{head}Transfer-Encoding: chunked\r\n\r\n".encode()
            + chunks * (BODY_WITHIN // 0x1000) + b"0\r\n\r\n", 1),
        "chunks of a byte": (
            f"{head}Transfer-Encoding: chunked\r\n\r\n".encode()
            + b"1\r\nx\r\n" * BODY_WITHIN + b"0\r\n\r\n", 1),
    }
    for form, (content, count) in forms.items():
        try:
            print(f"{form}: answered {daemon.exchange(name, content, count)}")
        except OSError as error:
            raise Failure(f"{form}: not answered: {error}") from error


def add_pipelines(crowd, path):
    request = make_get(path)
    content = request * (PIPELINE_BYTES // len(request))
    crowd.add(PIPELINE_CLIENTS, content, PIPELINE_RECEIVE_BUFFER)


def add_many(crowd, path):
    crowd.add(MANY_CLIENTS, make_get(path)[:-4])


def add_crowd(crowd, path):
    request = make_get(path)
    content = request * (CROWD_BYTES // len(request))
    crowd.add(CROWD_CLIENTS, content, PIPELINE_RECEIVE_BUFFER)


def add_fields(crowd, path):
    crowd.add(FIELD_CLIENTS, make_get(path)[:-2] + b":\n" * (FIELD_BYTES // 2))


def add_drip(crowd, path):
    crowd.part = 1
    crowd.add(SINGLE_CLIENTS, make_get(path)[:-4])


def add_expect(crowd, path):
    head = f"POST {path} HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
    crowd.add(SINGLE_CLIENTS, f"{head}Content-Length: {BODY_BYTES}\r\n\r\n".encode("ascii"))


def add_leaving(crowd, path):
    crowd.leaving = True
    crowd.add(SINGLE_CLIENTS, make_get(path) * 10)


def add_chunks(crowd, path):
    head = f"POST {path} HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    chunk = b"400\r\n" + b"x" * 0x400 + b"\r\n"
    crowd.add(CHUNKED_CLIENTS, head.encode("ascii") + chunk * (CHUNKED_BYTES // len(chunk)))


def add_bodies(crowd, path):
    head = f"POST {path} HTTP/1.1\r\nHost: a\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    crowd.add(BODY_CLIENTS, head.encode("ascii") + b"x" * (BODY_BYTES - BODY_MISSING))


# What the clients of a case do, and how many descriptors the process may open. Beside "probes",
# ordinary requests are sent all the time, not only once the crowd is quiet. "limits" has no crowd.
CASES = {
    "pipelines": (add_pipelines, None),
    "many": (add_many, MANY_DESCRIPTORS_LIMIT),
    "bodies": (add_bodies, None),
    "crowd": (add_crowd, None),
    "queued": (add_crowd, None),
    "probes": (add_crowd, None),
    "fields": (add_fields, None),
    # Each of these clients is bounded by time; see SHORT_TIMES.
    "drip": (add_drip, MANY_DESCRIPTORS_LIMIT),
    "expect": (add_expect, MANY_DESCRIPTORS_LIMIT),
    "leaving": (add_leaving, MANY_DESCRIPTORS_LIMIT),
    "chunks": (add_chunks, None),
    "limits": (None, None),
}


def run(options, folder):
    add, descriptors_limit = CASES[options.case]
    entry = options.listener in ENTRY_PORTS
    settings = ENTRY_SETTINGS if entry else CELL_SETTINGS
    if options.case in TIMED_CASES:
        settings += SHORT_TIMES
    daemon = Daemon(
        options.daemon,
        settings,
        ENTRY_PORTS if entry else CELL_PORTS,
        folder,
        descriptors_limit,
    )
    crowd = Crowd(daemon, options.listener)
    peak = (0, 0, 0)

    def observe():
        nonlocal peak
        daemon.check_alive()
        peak = (
            daemon.peak_memory(),
            max(peak[1], daemon.descriptors()),
            max(peak[2], daemon.queued()),
        )
        if options.case == "probes" and crowd.unsent:
            daemon.check_answers()
        return peak

    try:
        daemon.wait_ready()
        memory_before, descriptors_before, _ = observe()
        if add is None:
            check_within_limits(daemon, options.listener)
        for path in options.path if add is not None else []:
            add(crowd, path)
            crowd.run(observe)
        growth = peak[0] - memory_before
        print(f"memory grew by {growth / MIB:.1f} MiB from {memory_before / MIB:.1f} MiB, "
              f"bound {GROWTH_MAX // MIB} MiB")
        print(f"descriptors: at most {peak[1]}, {descriptors_before} before, "
              f"bound {DESCRIPTORS_MAX} if limited to {MANY_DESCRIPTORS_LIMIT}")
        print(f"received and not yet read: at most {peak[2] / MIB:.1f} MiB, "
              f"bound {QUEUED_MAX // MIB} MiB for crowds")
        print(f"connections that the daemon closed while they sent: {crowd.closed}")
        if growth > GROWTH_MAX:
            raise Failure("memory exceeds its bound")
        if descriptors_limit is not None and peak[1] > DESCRIPTORS_MAX:
            raise Failure("descriptors exceed their bound")
        if options.case == "queued" and peak[2] > QUEUED_MAX:
            raise Failure("received bytes exceed their bound")
        print(f"statuses of ordinary requests: {daemon.check_answers()}")
    finally:
        daemon.stop()
        crowd.close()
        if options.show_log:
            with open(daemon.output, encoding="utf-8", errors="replace") as file:
                sys.stdout.write(file.read())


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--daemon", required=True, help="program under test")
    parser.add_argument("--listener", required=True, choices=[*CELL_PORTS, *ENTRY_PORTS])
    parser.add_argument("--path", action="append", required=True,
                        help="path of the requests; one crowd after the other")
    parser.add_argument("--show-log", action="store_true", help="print the process's output")
    parser.add_argument("case", choices=CASES)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        try:
            run(options, folder)
        except Failure as failure:
            sys.exit(f"{options.listener}: {failure}")


if __name__ == "__main__":
    main()
