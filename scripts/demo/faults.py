"""Faults of the demo. Each begins after a third of the load time and ends after two thirds."""

import signal
import time

from . import topology


def now_us():
    return time.clock_gettime_ns(time.CLOCK_MONOTONIC) // 1000


class Fault:
    """One fault: `begin` and `end` are called once each."""

    def __init__(self, run, rng=None):
        self.run = run
        self.fleet = run.fleet
        self.choose(rng or run.rng)

    def choose(self, rng):
        """Draws what the fault is applied to."""

    def begin(self):
        raise NotImplementedError

    def end(self):
        pass


class EntryFault(Fault):
    def choose(self, rng):
        self.number = rng.choice(topology.ENTRIES)[0]


class ServerFault(Fault):
    def choose(self, rng):
        self.server = rng.choice(self.run.servers)


class KillEntry(EntryFault):
    def begin(self):
        self.fleet.kill_entry(self.number)

    def end(self):
        self.fleet.restart_entry(self.number)


class StopEntry(EntryFault):
    """A planned stop under load: the instance must exit with status 0 in its grace time."""

    def begin(self):
        self.fleet.signal_entry(self.number, signal.SIGTERM)

    def end(self):
        code = self.fleet.wait_entry(self.number)
        if code != 0:
            self.run.result.setdefault("unplanned_ends", {})[str(self.number)] = code
        self.fleet.restart_entry(self.number)


class PauseEntry(EntryFault):
    def begin(self):
        self.fleet.signal_entry(self.number, signal.SIGSTOP)

    def end(self):
        self.fleet.signal_entry(self.number, signal.SIGCONT)


class CutZone(Fault):
    def choose(self, rng):
        self.zone = rng.choice(topology.ZONES)

    def begin(self):
        self.change_links("cut")
        self.record = {"zone": self.zone, "from_us": now_us()}
        self.run.history["cuts"].append(self.record)

    def end(self):
        self.change_links("heal")
        self.record["to_us"] = now_us()

    def change_links(self, command):
        for other in [*topology.ZONES, "platform"]:
            if other != self.zone:
                self.fleet.control(topology.RELAY_CONTROL, {command: [self.zone, other]})


class LogOutage(Fault):
    def begin(self):
        self.fleet.control(topology.LOG, {"down": True})

    def end(self):
        self.fleet.control(topology.LOG, {"down": False})


class LogLostAnswers(Fault):
    def begin(self):
        self.fleet.control(topology.LOG, {"lose_answers_permille": 300})

    def end(self):
        self.fleet.control(topology.LOG, {"lose_answers_permille": 0})


class SilentConnections(Fault):
    """Open connections become unresponsive; new ones work."""

    def choose(self, rng):
        self.servers = rng.sample(self.run.servers, 8)

    def begin(self):
        self.fleet.control(topology.LOG, {"silence_connections": True})
        self.fleet.control(topology.RELAY_CONTROL, {"silence": ["*", "*"]})
        for server in self.servers:
            self.fleet.control_server(server, {"silent": True})


class KillServer(ServerFault):
    def begin(self):
        self.record = {"server": self.server["id"], "from_us": now_us()}
        self.run.history["killed"].append(self.record)
        self.fleet.control_server(self.server, {"down": True})

    def end(self):
        self.fleet.control_server(self.server, {"down": False})
        self.record["to_us"] = now_us()


class SlowServer(ServerFault):
    def begin(self):
        self.fleet.control_server(self.server, {"speed": 0.1})

    def end(self):
        self.fleet.control_server(self.server, {"speed": self.server["speed"]})


class FailingServer(ServerFault):
    def begin(self):
        self.fleet.control_server(self.server, {"fail_all": True})

    def end(self):
        self.fleet.control_server(self.server, {"fail_all": False})


class LeavingServer(ServerFault):
    def begin(self):
        self.fleet.control_server(self.server, {"leaving": True})
        self.fleet.control(topology.LIST, {"server": self.server["id"], "state": "leaving"})
        self.record = {"server": self.server["id"], "t_us": now_us()}
        self.run.history["leaving"].append(self.record)


class WithdrawKey(Fault):
    def begin(self):
        self.run.withdraw_key()


class RollBundle(Fault):
    def begin(self):
        self.run.roll_second_bundle()


FAULTS = {
    "kill-entry": KillEntry,
    "stop-entry": StopEntry,
    "pause-entry": PauseEntry,
    "cut-zone": CutZone,
    "log-outage": LogOutage,
    "log-lost-answers": LogLostAnswers,
    "silent-connections": SilentConnections,
    "kill-server": KillServer,
    "slow-server": SlowServer,
    "failing-server": FailingServer,
    "leaving-server": LeavingServer,
    "withdraw-key": WithdrawKey,
    "roll-bundle": RollBundle,
}
