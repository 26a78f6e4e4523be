"""The mixed load of each deployment, as plans for the load tool of coltsfootstilectl."""

import os

# Fields: queue, team, kind, share, cores_milli, memory_mb, accelerators, tasks,
# run_ms minimum and maximum, deadline_ms, urgent_permille, idempotent, wait.
CLASSES = {
    "hangwell": (
        ("quotes", "bookings", "interactive", 380, 1000, 512, 0, 1, 20, 120, 8000, 50, True, True),
        ("confirmations", "bookings", "interactive", 200, 1000, 512, 0, 1, 20, 100, 8000, 0, False, True),
        ("public-quotes", "bookings", "interactive", 100, 500, 256, 0, 1, 10, 60, 8000, 0, True, True),
        ("layouts", "visuals", "batch", 100, 2000, 2048, 1, 1, 100, 400, 15000, 0, True, True),
        ("photo-checks", "visuals", "interactive", 60, 1000, 1024, 1, 1, 50, 200, 10000, 0, False, True),
        ("riverside", "riverside-quotes", "interactive", 60, 1000, 512, 0, 1, 20, 100, 8000, 0, False, True),
        ("swan", "swan-quotes", "interactive", 60, 1000, 512, 0, 1, 20, 100, 8000, 0, True, True),
        ("riverside-layouts", "riverside-layouts", "gang", 10, 2000, 2048, 1, 3, 100, 300, 15000, 0, True, True),
        ("fremantle", "fremantle-quotes", "interactive", 10, 1000, 512, 0, 1, 50, 150, 8000, 0, True, True),
        ("northbridge", "northbridge-checks", "interactive", 5, 1000, 512, 0, 1, 50, 150, 8000, 0, True, True),
        ("stock-watchers", "stock", "service", 5, 500, 256, 0, 1, 3000, 8000, 0, 0, True, False),
        ("kings", "kings-layouts", "batch", 10, 2000, 2048, 0, 1, 100, 400, 20000, 0, True, False),
    ),
    "hashim": (
        ("plans", "drafting", "interactive", 380, 1000, 512, 0, 1, 20, 120, 8000, 50, True, True),
        ("profiles", "drafting", "interactive", 200, 1000, 512, 0, 1, 20, 100, 8000, 0, False, True),
        ("camp-plans", "drafting", "interactive", 80, 500, 256, 0, 1, 10, 60, 8000, 0, True, True),
        ("renders", "models", "batch", 120, 2000, 2048, 1, 1, 150, 500, 15000, 0, True, True),
        ("meshes", "models", "gang", 15, 2000, 2048, 1, 3, 100, 400, 15000, 0, True, True),
        ("karst", "karst-boundaries", "interactive", 70, 1000, 512, 0, 1, 20, 100, 8000, 50, False, True),
        ("mulu", "mulu-plans", "interactive", 70, 1000, 512, 0, 1, 20, 100, 8000, 0, True, True),
        ("mulu-models", "mulu-models", "batch", 20, 2000, 2048, 1, 1, 100, 400, 15000, 0, True, True),
        ("perak", "perak-plans", "interactive", 10, 1000, 512, 0, 1, 50, 150, 8000, 0, True, True),
        ("kinta", "kinta-plans", "interactive", 5, 1000, 512, 0, 1, 50, 150, 8000, 0, True, True),
        ("stations", "archive", "service", 5, 500, 256, 0, 1, 3000, 8000, 0, 0, True, False),
        ("karst-meshes", "karst-meshes", "batch", 15, 2000, 2048, 1, 1, 100, 400, 20000, 0, True, False),
    ),
}

# Class of requests for which `write_plan` repeats a row with other keys.
SPARE_CLASS = {"hangwell": "swan", "hashim": "mulu"}

# Team whose key is withdrawn by the fault withdraw-key.
WITHDRAWN_TEAM = {"hangwell": "riverside-quotes", "hashim": "mulu-plans"}


def teams(deployment):
    return sorted({item[1] for item in CLASSES[deployment]})


def spare_team(deployment):
    """Returns the team whose requests are repeated with spare keys."""
    return next(item[1] for item in CLASSES[deployment] if item[0] == SPARE_CLASS[deployment])


def write_plan(folder, deployment, keys, spares=None):
    """Writes the plan and returns its path; `keys` maps a team to the file of its secret.

    `spares` maps the names of additional classes to the files of their secrets.
    """
    rows = [(item[0], keys[item[1]], *item) for item in CLASSES[deployment]]
    for name, secret in (spares or {}).items():
        rows += [(name, secret, *item) for item in CLASSES[deployment]
                 if item[0] == SPARE_CLASS[deployment]]
    lines = []
    for (name, secret, queue, team, kind, share, cores, memory, accelerators, tasks, low, high,
         deadline, urgent, idempotent, wait) in rows:
        payload = "run_ms={run_ms};bytes=200;seed={seed}"
        lines += [f"[class {name}]", f"queue = {queue}", f"team = {team}",
                  f"kind = {kind}", f"key_file = {secret}", f"share = {share}",
                  f"cores_milli = {cores}", f"memory_mb = {memory}",
                  f"accelerators = {accelerators}", "connections = 1",
                  f"tasks = {tasks}",
                  f"run_ms = {(low + high) // 2}", f"true_run_ms_min = {low}",
                  f"true_run_ms_max = {high}", f"urgent_permille = {urgent}",
                  f"idempotent = {'yes' if idempotent else 'no'}",
                  f"wait = {'yes' if wait else 'no'}", f"payload = {payload}"]
        if deadline:
            lines.append(f"deadline_ms = {deadline}")
    path = os.path.join(folder, "plan.ini")
    with open(path, "w", encoding="utf-8") as file:
        file.write("\n".join(lines) + "\n")
    return path
