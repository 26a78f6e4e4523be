"""Addresses, settings and files of the demo's processes."""

import json
import os

ZONES = (1, 2, 3)
ENTRIES = ((1, 1), (2, 1), (3, 1), (4, 2), (5, 2), (6, 2), (7, 3), (8, 3))
WIRE_PORT = 7000
HTTP_PORT = 8080
# Runs with different slots use different addresses, so that they can be concurrent.
SLOT = int(os.environ.get("COLT_DEMO_SLOT", "0"))
LOG = f"127.100.{SLOT}.1:8500"
LIST = f"127.100.{SLOT}.2:8500"
BACKEND_CONTROL = {zone: f"127.100.{SLOT}.{2 + zone}:8600" for zone in ZONES}
RELAY_CONTROL = f"127.100.{SLOT}.6:8600"
SERVER_SLOTS = 8
SERVER_CONNECTIONS = 64

# Backend servers: (count, cores, memory in GB, accelerators, servers per rack).
FLEETS = {
    "hangwell": ((35, 32, 64, 0, 5), (13, 64, 128, 8, 3)),
    "hashim": ((35, 16, 64, 0, 5), (13, 32, 128, 8, 3)),
}


def entry_host(number, zone):
    return f"127.{zone + 10 * SLOT}.0.{number}"


def entry_http(number):
    return f"{entry_host(number, dict(ENTRIES)[number])}:{HTTP_PORT}"


def make_servers(deployment, rng):
    """Returns the backend servers of a deployment, with random speeds."""
    servers = []
    rack = 0
    for count, cores, memory, accelerators, per_rack in FLEETS[deployment]:
        for index in range(count):
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
