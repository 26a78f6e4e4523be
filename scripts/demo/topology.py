"""Addresses, settings and files of the demo's processes."""

import json
import os
import socket

ZONES = (1, 2, 3)
WIRE_PORT = 7000
HTTP_PORT = 8080
CONTROL_PORT = 8600
DEFAULT_ENTRIES = 8
SLOTS = range(10)
SERVER_SLOTS = 8
SERVER_CONNECTIONS = 64

# Backend servers: (count, cores, memory in GB, accelerators, servers per rack).
FLEETS = {
    "hangwell": ((35, 32, 64, 0, 5), (13, 64, 128, 8, 3)),
    "hashim": ((35, 16, 64, 0, 5), (13, 32, 128, 8, 3)),
}


def use_slot(slot):
    """Chooses addresses. Runs with different slots, 0 to 9, can be concurrent."""
    global SLOT, LOG, LIST, BACKEND_CONTROL, RELAY_CONTROL, SLOT_LOCK
    SLOT = slot
    LOG = f"127.100.{slot}.1:8500"
    LIST = f"127.100.{slot}.2:8500"
    BACKEND_CONTROL = {zone: f"127.100.{slot}.{2 + zone}:{CONTROL_PORT}" for zone in ZONES}
    RELAY_CONTROL = f"127.100.{slot}.6:{CONTROL_PORT}"
    SLOT_LOCK = (f"127.100.{slot}.7", CONTROL_PORT)


def use_entries(count):
    """Chooses the entry instances, as pairs of number and zone; spread evenly over zones."""
    global ENTRIES
    part, rest = divmod(count, len(ZONES))
    zones = [zone for index, zone in enumerate(ZONES) for _ in range(part + (index < rest))]
    ENTRIES = tuple(enumerate(zones, 1))


def lock_slot():
    """Chooses COLT_DEMO_SLOT, or else the first slot that is free.

    Returns the socket that reserves it while it is open.
    """
    given = os.environ.get("COLT_DEMO_SLOT")
    for slot in SLOTS if given is None else [int(given)]:
        use_slot(slot)
        lock = socket.socket()
        try:
            lock.bind(SLOT_LOCK)
            lock.listen(1)
            return lock
        except OSError:
            lock.close()
    raise RuntimeError("no slot is free")


use_slot(0)
use_entries(DEFAULT_ENTRIES)


def entry_host(number, zone):
    return f"127.{zone + 10 * SLOT}.0.{number}"


def entry_http(number):
    return f"{entry_host(number, dict(ENTRIES)[number])}:{HTTP_PORT}"


def make_servers(deployment, rng, scale=1.0):
    """Returns the backend servers of a deployment, with random speeds.

    `scale` multiplies the number of servers of each shape.
    """
    servers = []
    rack = 0
    for count, cores, memory, accelerators, per_rack in FLEETS[deployment]:
        for index in range(round(count * scale)):
            if index % per_rack == 0:
                rack += 1
            number = len(servers) + 1
            zone = ZONES[(number - 1) % len(ZONES)]
            servers.append({
                "id": number,
                "zone": zone,
                "rack": rack,
                "address": f"127.{zone + 10 * SLOT}.1.{number}:8000",
                "speed": round(rng.uniform(0.6, 1.4), 2),
                "capacity": {
                    "cores_milli": cores * 1000,
                    "memory_mb": memory * 1024,
                    "accelerators": accelerators,
                    "slots": SERVER_SLOTS,
                    "connections": SERVER_CONNECTIONS,
                },
            })
    return servers


def make_hosts(servers, separate=False):
    """Returns the processes that simulate servers: one per zone, or one per server."""
    if separate:
        return [{"name": f"backend-{server['id']}", "servers": [server],
                 "control": f"127.{server['zone'] + 10 * SLOT}.2.{server['id']}:{CONTROL_PORT}"}
                for server in servers]
    return [{"name": f"backend-{zone}", "control": BACKEND_CONTROL[zone],
             "servers": [server for server in servers if server["zone"] == zone]}
            for zone in ZONES]


def relay_address(from_zone, number):
    """Returns the address at which a zone reaches an instance of another zone."""
    return f"127.{110 + from_zone}.{SLOT}.{number}:{WIRE_PORT}"


def make_routes():
    """Returns the routes between zones and from zones to the platform."""
    routes = []
    for zone in ZONES:
        for number, other in ENTRIES:
            if other != zone:
                routes.append({
                    "listen": relay_address(zone, number),
                    "target": f"{entry_host(number, other)}:{WIRE_PORT}",
                    "from": zone, "to": other,
                })
        routes.append({"listen": platform_address(zone, "log"), "target": LOG,
                       "from": zone, "to": "platform"})
        routes.append({"listen": platform_address(zone, "list"), "target": LIST,
                       "from": zone, "to": "platform"})
    return routes


def caller_address(number):
    """Returns the address at which callers reach an instance through the relay."""
    return f"127.{dict(ENTRIES)[number] + 10 * SLOT}.3.{number}:{HTTP_PORT}"


def make_caller_routes():
    return [{"listen": caller_address(number), "target": entry_http(number),
             "from": "callers", "to": zone} for number, zone in ENTRIES]


def platform_address(zone, service):
    return f"127.{120 + zone}.{SLOT}.{1 if service == 'log' else 2}:8500"


def make_list(servers):
    entries = []
    for number, zone in ENTRIES:
        entries.append({
            "id": number, "zone": zone,
            "address": f"{entry_host(number, zone)}:{WIRE_PORT}",
            "address_from": {str(other): relay_address(other, number)
                             for other in ZONES if other != zone},
        })
    return {"entries": entries,
            "servers": [{key: server[key] for key in ("id", "zone", "rack", "address")}
                        for server in servers]}


def write_settings(folder, number, zone, operators, level):
    """Writes the settings of one instance and returns their path."""
    path = os.path.join(folder, f"entry-{number}.ini")
    lines = ["[instance]", f"number = {number}", f"zone = {zone}",
             f"wire = {entry_host(number, zone)}:{WIRE_PORT}",
             f"http = {entry_host(number, zone)}:{HTTP_PORT}",
             "grace_ms = 8000"]
    for other, other_zone in ENTRIES:
        if other == number:
            continue
        address = (f"{entry_host(other, other_zone)}:{WIRE_PORT}"
                   if other_zone == zone else relay_address(zone, other))
        lines.append(f"peer = {other} {other_zone} {address}")
    lines += ["[platform]", f"log = {platform_address(zone, 'log')}",
              f"list = {platform_address(zone, 'list')}", "list_interval_ms = 500",
              "[trust]"]
    lines += [f"operator = {key}" for key in operators]
    lines += ["[log]", f"level = {level}"]
    with open(path, "w", encoding="utf-8") as file:
        file.write("\n".join(lines) + "\n")
    return path


def write_json(folder, name, value):
    path = os.path.join(folder, name)
    with open(path, "w", encoding="utf-8") as file:
        json.dump(value, file)
    return path
