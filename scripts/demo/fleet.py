"""Starts, observes and stops the processes of the demo, each by its process id."""

import json
import os
import signal
import subprocess
import time
import urllib.error
import urllib.request

from . import topology

READY_TIMEOUT_S = 20
STOP_TIMEOUT_S = 12


def http(method, address, path, body=None, timeout=5):
    """Makes one HTTP call and returns the JSON response, or None if it failed."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{address}{path}", data=data, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return json.loads(response.read() or b"{}")
    except (OSError, ValueError, urllib.error.URLError):
        return None


class Fleet:
    """The processes of one run."""

    def __init__(self, build, folder, max_seconds):
        self.build = build
        self.folder = folder
        self.max_seconds = max_seconds
        self.processes = {}
        self.commands = {}
        self.controls = {}  # control address by server id
        self.records = []  # files of the backend servers' records

    def spawn(self, name, command):
        log = open(os.path.join(self.folder, f"{name}.log"), "ab")
        self.commands[name] = command
        self.processes[name] = subprocess.Popen(
            command, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
            start_new_session=True)
        log.close()

    def standin_command(self, program, *arguments):
        return [os.path.join(self.build, "standin", program),
                "--max-seconds", str(self.max_seconds), *arguments]

    def start_platform(self, servers, hosts, routes):
        folder = self.folder
        listing = topology.write_json(folder, "list.json", topology.make_list(servers))
        routing = topology.write_json(folder, "relay.json", routes)
        self.spawn("log", self.standin_command(
            "standin_log", "--listen", topology.LOG,
            "--record", os.path.join(folder, "log.jsonl")))
        self.spawn("list", self.standin_command(
            "standin_list", "--listen", topology.LIST, "--file", listing))
        self.spawn("relay", self.standin_command(
            "standin_relay", "--control", topology.RELAY_CONTROL, "--file", routing))
        for host in hosts:
            path = topology.write_json(folder, f"{host['name']}.json", host["servers"])
            record = os.path.join(folder, f"{host['name']}.jsonl")
            self.records.append(record)
            for server in host["servers"]:
                self.controls[server["id"]] = host["control"]
            self.spawn(host["name"], self.standin_command(
                "standin_backend", "--control", host["control"], "--file", path,
                "--record", record))

    def entry_name(self, number):
        return f"entry-{number}"

    def start_entry(self, number, settings):
        program = os.path.join(self.build, "src", "coltsfootstile", "coltsfootstile")
        self.spawn(self.entry_name(number), [program, "--settings", settings])

    def restart_entry(self, number):
        name = self.entry_name(number)
        self.spawn(name, self.commands[name])

    def signal_entry(self, number, signum):
        process = self.processes[self.entry_name(number)]
        if process.poll() is None:
            process.send_signal(signum)

    def wait_entry(self, number):
        """Waits for an instance to exit and returns its status, or "killed" after the timeout."""
        process = self.processes[self.entry_name(number)]
        try:
            return process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
            return "killed"

    def kill_entry(self, number):
        process = self.processes[self.entry_name(number)]
        process.kill()
        process.wait()

    def control(self, address, change):
        return http("POST", address, "/control", change)

    def control_server(self, server, change):
        return self.control(self.controls[server["id"]], dict(change, server=server["id"]))

    def wait_ready(self, check, name, timeout=READY_TIMEOUT_S):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if check():
                return
            time.sleep(0.1)
        raise RuntimeError(f"{name} not ready within {timeout} s")

    def entry_state(self, number, module):
        return http("GET", topology.entry_http(number), f"/v1/state/{module}")

    def alive(self, name):
        process = self.processes.get(name)
        return process is not None and process.poll() is None

    def cpu_seconds(self, name):
        """Returns the CPU time that a live process has used, or None."""
        try:
            with open(f"/proc/{self.processes[name].pid}/stat", encoding="ascii") as file:
                fields = file.read().rsplit(")", 1)[1].split()
            return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
        except (OSError, IndexError):
            return None

    def rss_mb(self, name):
        try:
            with open(f"/proc/{self.processes[name].pid}/status", encoding="ascii") as file:
                for line in file:
                    if line.startswith("VmHWM:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    def stop(self):
        """Stops every process of this run and returns the unexpected exit codes by name."""
        unexpected = {}
        entries = [n for n in self.processes if n.startswith("entry-")]
        others = [n for n in self.processes if not n.startswith("entry-")]
        for names in (entries, others):
            for name in names:
                process = self.processes[name]
                if process.poll() is None:
                    process.send_signal(signal.SIGCONT)
                    process.terminate()
            end = time.monotonic() + STOP_TIMEOUT_S
            for name in names:
                process = self.processes[name]
                try:
                    code = process.wait(max(0.1, end - time.monotonic()))
                except subprocess.TimeoutExpired:
                    process.kill()
                    process.wait()
                    code = "killed"
                if code not in (0, -signal.SIGKILL):
                    unexpected[name] = code
        return unexpected
