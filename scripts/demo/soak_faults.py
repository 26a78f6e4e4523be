"""Faults of the soak. Each has a drawn length, and may overlap with others."""

import signal

from . import faults, fleet, topology, workload

POLL_S = 0.05
# From a crash or a planned stop to the restart under the same id and address.
RESTART_S = (0.05, 5.0)
INSTANT_S = (0.0, 0.0)


class SoakFault(faults.Fault):
    """A fault that may need a thing for itself: `exclusive` names it, or is None."""

    length_s = (0.5, 6.0)
    exclusive = None
    # While it lasts, some zones can't read the log.
    delays_log = False

    def target(self):
        return self.exclusive or ""

    def start(self, seconds):
        self.when_ready(lambda: self.start_now(seconds))

    def start_now(self, seconds):
        self.begin()
        self.run.after(seconds, lambda: self.when_ready(self.finish))

    def finish(self):
        self.end()
        self.run.ended(self)

    def when_ready(self, step):
        if self.is_ready():
            step()
        else:
            self.run.after(POLL_S, lambda: self.when_ready(step))

    def is_ready(self):
        """Whether the process that gets the control requests isn't paused."""
        server = getattr(self, "server", None)
        return server is None or self.run.host_name(server) not in self.run.paused


class EntryDown(faults.EntryFault, SoakFault):
    length_s = RESTART_S

    def choose(self, rng):
        super().choose(rng)
        self.name = self.fleet.entry_name(self.number)
        self.exclusive = self.name

    def end(self):
        self.run.down.discard(self.name)
        self.fleet.restart_entry(self.number)


class EntryKill(EntryDown):
    def begin(self):
        self.run.down.add(self.name)
        self.fleet.kill_entry(self.number)


class EntryStop(EntryDown):
    """A planned stop: the instance must exit with status 0, paused time not counted."""

    def start(self, seconds):
        self.restart_s = seconds
        self.run.down.add(self.name)
        self.fleet.signal_entry(self.number, signal.SIGTERM)
        self.left_s = fleet.STOP_TIMEOUT_S
        self.run.after(POLL_S, self.poll)

    def poll(self):
        code = self.fleet.processes[self.name].poll()
        if code is None and self.left_s > 0:
            if self.name not in self.run.paused:
                self.left_s -= POLL_S
            self.run.after(POLL_S, self.poll)
            return
        if code is None:
            self.fleet.kill_entry(self.number)
        if code != 0:
            self.run.report(f"{self.name}: planned stop ended with {code}")
        self.run.after(self.restart_s, self.finish)


class Pause(SoakFault):
    """SIGSTOP and SIGCONT; a pause of a process that ends meanwhile changes nothing."""

    length_s = (0.1, 6.0)

    def target(self):
        return self.name

    def begin(self):
        self.run.paused.append(self.name)
        self.send(signal.SIGSTOP)

    def end(self):
        self.run.paused.remove(self.name)
        if self.name not in self.run.paused:
            self.send(signal.SIGCONT)

    def send(self, signum):
        process = self.fleet.processes[self.name]
        if process.poll() is None:
            process.send_signal(signum)


class EntryPause(Pause):
    def choose(self, rng):
        self.name = self.fleet.entry_name(rng.choice(topology.ENTRIES)[0])


class ServerPause(Pause):
    """Pauses the process of a server, or of all servers of a zone."""

    length_s = (0.1, 3.0)

    def choose(self, rng):
        self.name = rng.choice(self.run.hosts)["name"]


class ZoneCut(faults.CutZone, SoakFault):
    delays_log = True

    def target(self):
        return f"zone {self.zone}"


class Link(SoakFault):
    """A fault of the relayed connections between two parties."""

    PARTIES = [*topology.ZONES, "platform", "callers"]

    def choose(self, rng):
        self.pair = rng.sample(self.PARTIES, 2)
        if set(self.pair) == {"platform", "callers"}:
            self.pair = [rng.choice(topology.ZONES), self.pair[1]]

    def target(self):
        return f"{self.pair[0]} to {self.pair[1]}"

    def control(self, change):
        self.fleet.control(topology.RELAY_CONTROL, change)


class LinkCutOneWay(Link):
    delays_log = True

    def begin(self):
        self.control({"cut_one_way": self.pair})

    def end(self):
        self.control({"heal": self.pair})


class LinkDelay(Link):
    def choose(self, rng):
        super().choose(rng)
        self.delay_ms = rng.randint(20, 500)

    def target(self):
        return f"{super().target()}, {self.delay_ms} ms"

    def begin(self):
        self.control({"pair": self.pair, "delay_ms": self.delay_ms})

    def end(self):
        self.control({"pair": self.pair, "delay_ms": 0})


class LinkReset(Link):
    length_s = INSTANT_S

    def begin(self):
        self.control({"reset": self.pair})


class LinkSilence(Link):
    length_s = INSTANT_S

    def begin(self):
        self.control({"silence": self.pair})


class Service(SoakFault):
    """A control request to a stand-in, and the one that takes it back."""

    address = staticmethod(lambda: topology.LOG)
    on = off = None

    def begin(self):
        self.fleet.control(self.address(), self.on)

    def end(self):
        if self.off is not None:
            self.fleet.control(self.address(), self.off)


class LogOutage(Service):
    delays_log = True
    on, off = {"down": True}, {"down": False}


class LogSlow(Service):
    def choose(self, rng):
        self.on, self.off = {"slow_ms": rng.randint(100, 1500)}, {"slow_ms": 0}

    def target(self):
        return f"{self.on['slow_ms']} ms"


class LogLostAnswers(Service):
    on, off = {"lose_answers_permille": 300}, {"lose_answers_permille": 0}


class LogSilence(Service):
    length_s = INSTANT_S
    on = {"silence_connections": True}


class ListOutage(Service):
    address = staticmethod(lambda: topology.LIST)
    on, off = {"down": True}, {"down": False}


class ServerChange(faults.ServerFault, SoakFault):
    """A control request that concerns one server, and the one that takes it back."""

    on = off = None

    def target(self):
        return f"server {self.server['id']}"

    def begin(self):
        self.fleet.control_server(self.server, self.on)

    def end(self):
        if self.off is not None:
            self.fleet.control_server(self.server, self.off)


class ServerSlow(ServerChange):
    on = {"speed": 0.1}

    def end(self):
        self.fleet.control_server(self.server, {"speed": self.server["speed"]})


class ServerFailing(ServerChange):
    on, off = {"fail_all": True}, {"fail_all": False}


class ServerLostAnswers(ServerChange):
    on, off = {"lose_answers_permille": 300}, {"lose_answers_permille": 0}


class ServerDelay(ServerChange):
    on, off = {"answer_delay_ms": 300}, {"answer_delay_ms": 0}


class ServerSilence(ServerChange):
    length_s = INSTANT_S
    on = {"silent": True}


class ServerRestart(faults.KillServer, SoakFault):
    """A crash; the server returns empty under the same id and address."""

    length_s = RESTART_S

    def choose(self, rng):
        super().choose(rng)
        self.exclusive = f"server {self.server['id']}"


class ServerLeaving(faults.LeavingServer, SoakFault):
    length_s = (1.0, 8.0)

    def choose(self, rng):
        super().choose(rng)
        self.exclusive = f"server {self.server['id']}"

    def end(self):
        self.record["to_us"] = faults.now_us()
        self.fleet.control_server(self.server, {"leaving": False})
        self.fleet.control(topology.LIST, {"server": self.server["id"], "state": "live"})


class ServerReplaced(ServerLeaving):
    """A server leaves and goes; another one comes under its id and address."""

    def choose(self, rng):
        super().choose(rng)
        self.gap_s = rng.uniform(*RESTART_S)

    def finish(self):
        self.killed = {"server": self.server["id"], "from_us": faults.now_us()}
        self.run.history["killed"].append(self.killed)
        self.fleet.control_server(self.server, {"down": True})
        self.fleet.control(topology.LIST, {"server": self.server["id"], "state": "gone"})
        self.run.after(self.gap_s, lambda: self.when_ready(self.replace))

    def replace(self):
        self.killed["to_us"] = faults.now_us()
        self.fleet.control_server(self.server, {"down": False})
        super().finish()


class Command(SoakFault):
    """A command of the operator; it lasts until the command has ended."""

    length_s = INSTANT_S

    def start(self, seconds):
        self.began_us = faults.now_us()
        arguments = self.arguments()
        if arguments is None:
            self.run.ended(self)
            return
        self.process = self.run.spawn_ctl(*arguments)
        self.run.after(POLL_S, self.poll)

    def poll(self):
        if self.process.poll() is None:
            self.run.after(POLL_S, self.poll)
            return
        self.run.commands.append((self, self.process.returncode,
                                  self.process.communicate()[0]))
        self.run.ended(self)

    def arguments(self):
        raise NotImplementedError

    def effect(self, appended_us):
        """Adds what the checker must expect; `appended_us` is None if it isn't known."""


class Roll(Command):
    """Rolls out a bundle that halves the task limit of a team, or restores it."""

    def choose(self, rng):
        self.exclusive = "bundle"
        self.team = rng.choice([team for team in self.run.history["teams"]
                                if team.get("limit_tasks", 0) >= 2])
        self.lower = rng.random() < 0.6

    def target(self):
        return f"{self.team['name']} {'lower' if self.lower else 'initial'} limit"

    def arguments(self):
        parent, version = self.run.newest_bundle()
        self.limit = self.team["limit_tasks"] // (2 if self.lower else 1)
        path = f"{self.run.folder}/bundle-{self.began_us}.ini"
        self.run.write_bundle(path, parent, version + 1, self.team["name"], self.limit)
        self.run.add_bundle(path)
        return ("roll", "--log", topology.LOG, *self.run.some_entries(), "--key",
                self.run.operator, "--parent", parent, path, "--json")

    def effect(self, appended_us):
        history = self.run.history
        if not self.lower:
            appended_us = self.began_us
        elif appended_us is None:
            return
        else:
            appended_us = self.run.readable_us(appended_us)
        history["rolls"].append({"t_us": appended_us})
        history["limits"].append({"t_us": appended_us, "team": self.team["name"],
                                  "limit_tasks": self.limit})


class KeyGive(Command):
    def choose(self, rng):
        self.spare = rng.choice(sorted(self.run.spares))

    def target(self):
        return self.spare

    def arguments(self):
        return ("key", "give", "--log", topology.LOG, *self.run.some_entries(),
                "--operator", self.run.operator, "--name", self.spare, "--team",
                workload.spare_team(self.run.options.deployment), "--secret-file",
                self.run.spares[self.spare], "--json")


class KeyWithdraw(KeyGive):
    """Withdraws a key, given before or not; one that is withdrawn stays so."""

    def arguments(self):
        return ("key", "withdraw", "--log", topology.LOG, *self.run.some_entries(),
                "--operator", self.run.operator, "--secret-file",
                self.run.spares[self.spare], "--json")

    def effect(self, appended_us):
        if appended_us is not None:
            self.run.history["keys"].append({
                "team": workload.spare_team(self.run.options.deployment),
                "class": self.spare, "withdrawn_us": appended_us})


# Kinds by name, with their share of the faults.
KINDS = {
    "entry-kill": (EntryKill, 12),
    "entry-stop": (EntryStop, 10),
    "entry-pause": (EntryPause, 10),
    "server-pause": (ServerPause, 4),
    "zone-cut": (ZoneCut, 6),
    "link-cut-one-way": (LinkCutOneWay, 6),
    "link-delay": (LinkDelay, 5),
    "link-reset": (LinkReset, 6),
    "link-silence": (LinkSilence, 5),
    "log-outage": (LogOutage, 4),
    "log-slow": (LogSlow, 4),
    "log-lost-answers": (LogLostAnswers, 4),
    "log-silence": (LogSilence, 3),
    "list-outage": (ListOutage, 3),
    "server-restart": (ServerRestart, 12),
    "server-leaving": (ServerLeaving, 5),
    "server-replaced": (ServerReplaced, 5),
    "server-slow": (ServerSlow, 4),
    "server-failing": (ServerFailing, 4),
    "server-lost-answers": (ServerLostAnswers, 4),
    "server-delay": (ServerDelay, 4),
    "server-silence": (ServerSilence, 4),
    "roll": (Roll, 5),
    "key-give": (KeyGive, 4),
    "key-withdraw": (KeyWithdraw, 3),
}
