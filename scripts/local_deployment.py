"""Starts and stops a loopback deployment with fake endpoints.

Usage: local_deployment.py up kaewmanee|association DIR
       local_deployment.py down DIR
       local_deployment.py start DIR NAME

`up` starts the daemons and the fake endpoints, creates the services with one
configuration change and returns once the instances report every endpoint.
`down` stops exactly the processes recorded in DIR/addresses.json. `start`
restarts an exited instance or endpoint with its original arguments and records
its new process id.
"""

import hashlib
import json
import os
import pathlib
import random
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = pathlib.Path(os.environ.get("CASSIAUSHER_BIN", ROOT / "build" / "bin"))

READY_TIMEOUT_S = 30
STOP_TIMEOUT_S = 20

# Speed of the fake endpoints: prefill takes 1/20,000 s per prompt token, decode
# 20 ms per output token, so prefilling 8,000 tokens takes as long as decoding 20.
PREFILL_RATE = int(os.environ.get("CASSIAUSHER_PREFILL_RATE", "20000"))
STEP_MS = int(os.environ.get("CASSIAUSHER_STEP_MS", "20"))
SLOTS = int(os.environ.get("CASSIAUSHER_SLOTS", "20"))
# Processes that this one started, by name; a restart replaces the earlier process.
PROCESSES = {}

DEPLOYMENTS = {
    "kaewmanee": {
        "data_centres": ["bkk-pathum", "bkk-bangna", "bkk-ladprao"],
        "instances": [3, 2, 2],
        "long": "fitting-assistant",
        "short": "kiosk-lookup",
        "plain": "stock",
        "long_idempotent": "true",
    },
    "association": {
        "data_centres": ["derby-hall", "nottingham-hall", "leicester-hall"],
        "instances": [2, 2, 2],
        "long": "registry-assistant",
        "short": "member-lookup",
        "plain": "allocations",
        "long_idempotent": "true",
    },
}


# Below the kernel's ephemeral port range, so that no outgoing connection takes a port between its selection and the
# start of the process that listens on it.
PORTS = range(15000, 31000)
USED_PORTS = set()

# Raises SystemExit on SIGTERM, so that the deployment is stopped first, as with Ctrl-C.
signal.signal(signal.SIGTERM, lambda *_: sys.exit(128 + signal.SIGTERM))


def free_ports(count):
    ports = []
    while len(ports) < count:
        port = random.choice(PORTS)
        if port in USED_PORTS:
            continue
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        USED_PORTS.add(port)
        ports.append(port)
    return ports


def sha256(text):
    return hashlib.sha256(text.encode()).hexdigest()


def write_token(path):
    token = secrets.token_hex(24)
    path.write_text(token + "\n")
    path.chmod(0o600)
    return token


def call(url, token=None, body=None, timeout=3):
    request = urllib.request.Request(url, data=None if body is None else json.dumps(body).encode())
    request.add_header("Content-Type", "application/json")
    if token:
        request.add_header("Authorization", "Bearer " + token)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            text = answer.read()
            if "json" not in answer.headers.get("Content-Type", ""):
                return answer.status, {"text": text.decode(errors="replace")}
            return answer.status, json.loads(text or b"{}")
    except urllib.error.HTTPError as error:
        text = error.read()
        try:
            return error.code, json.loads(text)
        except ValueError:
            return error.code, {"text": text.decode(errors="replace")}
    except (OSError, ValueError):
        return 0, {}


def start(folder, name, arguments):
    log = open(folder / "log" / (name + ".log"), "ab")
    (folder / "settings" / (name + ".command")).write_text(json.dumps([str(a) for a in arguments]))
    process = subprocess.Popen(
        [str(argument) for argument in arguments],
        stdout=log, stderr=log, stdin=subprocess.DEVNULL, start_new_session=True)
    PROCESSES[name] = process
    return process


def plan_relays(instances):
    """With CASSIAUSHER_RELAYS, messages between data centres pass through one relay for each pair of a source data
    centre and a target instance. Stopping a relay with SIGSTOP simulates a partition without connection errors."""
    if os.environ.get("CASSIAUSHER_RELAYS") is None:
        return []
    relays = []
    for source in {i["data_centre"] for i in instances}:
        for target in instances:
            if target["data_centre"] == source:
                continue
            relays.append({"name": f"relay-{source}-{target['name']}", "from": source,
                           "to": target["data_centre"], "target": target["name"],
                           "port": free_ports(1)[0], "target_port": target["peer"]})
    return relays


def peer_port(relays, source, peer):
    for relay in relays:
        if relay["from"] == source and relay["target"] == peer["name"]:
            return relay["port"]
    return peer["peer"]


def instance_settings(folder, plan, instance, tokens, relays):
    settings = {
        "instance": instance["name"],
        "data_centre": instance["data_centre"],
        "listen": {key: f"127.0.0.1:{instance[key]}" for key in ("caller", "admin", "peer")},
        "peers": [
            {"instance": peer["name"], "data_centre": peer["data_centre"],
             "address": f"127.0.0.1:{peer_port(relays, instance['data_centre'], peer)}",
             "voter": peer["has_disk"], "public_key": peer["keys"]["public_key"]}
            for peer in plan
        ],
        "keys": {
            "curve_public_key": instance["keys"]["public_key"],
            "curve_secret_key_file": str(write_secret_key(folder, instance)),
            "operators": [{"name": "admin", "role": "administrator", "token_sha256": sha256(tokens["admin"])}],
            "callers": [{"name": "caller", "token_sha256": sha256(tokens["caller"])}],
            "endpoints": [{"name": "endpoint", "token_sha256": sha256(tokens["endpoint"])}],
        },
        "limits": {"serving_tasks": int(os.environ.get("CASSIAUSHER_SERVING_TASKS", "2")),
                   "shutdown_ms": int(os.environ.get("CASSIAUSHER_SHUTDOWN_MS", "600000"))},
        "log": {"level": "info"},
    }
    if instance["has_disk"]:
        data = folder / "data" / instance["name"]
        data.mkdir(parents=True, exist_ok=True)
        settings["data_folder"] = str(data)
    path = folder / "settings" / (instance["name"] + ".json")
    path.write_text(json.dumps(settings, indent=1))
    return path


def write_secret_key(folder, instance):
    path = folder / "settings" / (instance["name"] + ".key")
    path.touch(mode=0o600)
    path.write_text(instance["keys"]["secret_key"] + "\n")
    return path


def new_keys():
    return json.loads(subprocess.run([str(BIN / "cassiausherctl"), "keygen"], check=True, capture_output=True).stdout)


def plan_instances(deployment):
    plan = []
    for data_centre, count in zip(deployment["data_centres"], deployment["instances"]):
        for index in range(count):
            caller, admin, peer = free_ports(3)
            plan.append({"name": f"{data_centre}-{index + 1}", "data_centre": data_centre,
                         "caller": caller, "admin": admin, "peer": peer, "has_disk": index == 0,
                         "keys": new_keys()})
    return plan


def plan_endpoints(deployment):
    """Plans the endpoints that the deployment lists for each data centre. The default is one prefill and two decode
    runners of the long service, one decode runner of the short service, which prefills its short prompts itself, and
    one endpoint of the plain service."""
    plan = []
    for data_centre in deployment["data_centres"]:
        for suffix, service, role in deployment.get("endpoints") or (
                ("p1", deployment["long"], "prefill"), ("d1", deployment["long"], "decode"),
                ("d2", deployment["long"], "decode"), ("k1", deployment["short"], "decode"),
                ("s1", deployment["plain"], "plain")):
            plan.append({"name": f"{data_centre}-{suffix}", "data_centre": data_centre,
                         "service": service, "role": role, "port": free_ports(1)[0]})
    return plan


def endpoint_arguments(folder, endpoint, instances):
    urls = ",".join(f"http://127.0.0.1:{i['admin']}" for i in instances
                    if i["data_centre"] == endpoint["data_centre"])
    return [
        BIN / "cassiausher_fake_endpoint", "--name", endpoint["name"], "--service", endpoint["service"],
        "--data-centre", endpoint["data_centre"], "--role", endpoint["role"],
        "--listen", f"127.0.0.1:{endpoint['port']}", "--announce", urls,
        "--announce-token-file", folder / "endpoint.token", "--slots", SLOTS,
        "--prefill-rate", PREFILL_RATE, "--step-ms", 5 if endpoint["role"] == "plain" else STEP_MS,
        "--output-tokens", os.environ.get("CASSIAUSHER_OUTPUT_TOKENS", "40"),
        "--link-bytes-per-second", 10**9, "--kv-bytes-per-token", 20000]


def initial_change(deployment, caller_token_hash, attempt):
    lines = [
        'create class "short"', 'set class "short" priority = 0', 'set class "short" first_token = 300ms',
        'create class "long"', 'set class "long" priority = 2', 'set class "long" first_token = 860ms',
    ]
    for data_centre in deployment["data_centres"]:
        lines += [f'create data_centre "{data_centre}"',
                  f'set link "{data_centre}" bytes_per_second = 1000000000']
    for service, kind, classes, default in (
            (deployment["long"], "runner", '"long", "short"', "long"),
            (deployment["short"], "runner", '"short"', "short"),
            (deployment["plain"], "plain", '"short"', "short")):
        lines += [f'create service "{service}"', f'set service "{service}" kind = "{kind}"',
                  f'set service "{service}" classes = [{classes}]',
                  f'set service "{service}" default_class = "{default}"']
    # One account sends the load of a whole test, so its limits are high.
    lines += ['create account "caller"', f'set account "caller" token_hash = "{caller_token_hash}"',
              'set account "caller" request_rate = 1000000',
              'set account "caller" concurrency = 1000000']
    return f'change id "initial-{attempt}" {{ ' + "; ".join(lines) + " }"


def wait_until(what, condition):
    deadline = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(0.05)
    raise SystemExit(f"not ready after {READY_TIMEOUT_S} s: {what}")


def live_members(instances, token):
    """Returns the lowest number of live members that any instance reports."""
    counts = []
    for instance in instances:
        _, state = call(f"http://127.0.0.1:{instance['admin']}/admin/v1/state", token)
        counts.append(sum(1 for m in state.get("members") or [] if m["state"] == "alive"))
    return min(counts)


def known_endpoints(instances, token):
    names = set()
    for instance in instances:
        _, state = call(f"http://127.0.0.1:{instance['admin']}/admin/v1/state", token)
        for pool in state.get("pools") or []:
            names.update(e["endpoint"] for e in pool.get("endpoints") or [])
    return names


def write_addresses(folder, instances, endpoints, relays):
    document = {
        "instances": [
            {"name": i["name"], "data_centre": i["data_centre"],
             "caller_url": f"http://127.0.0.1:{i['caller']}", "admin_url": f"http://127.0.0.1:{i['admin']}",
             "pid": i["pid"], "has_disk": i["has_disk"]} for i in instances],
        "endpoints": [
            {"name": e["name"], "data_centre": e["data_centre"], "service": e["service"], "role": e["role"],
             "url": f"http://127.0.0.1:{e['port']}", "pid": e["pid"]} for e in endpoints],
    }
    if relays:
        document["relays"] = [{key: r[key] for key in ("name", "from", "to", "target", "pid")} for r in relays]
    (folder / "addresses.json").write_text(json.dumps(document, indent=1))


def up(name, folder):
    up_deployment(DEPLOYMENTS[name], folder)


def up_deployment(deployment, folder):
    if (folder / "addresses.json").exists():
        raise SystemExit(f"{folder} already contains a deployment; stop it first")
    leftover = [part for part in ("log", "settings", "data") if (folder / part).exists()]
    if leftover and not (folder / "addresses.stopped.json").exists():
        raise SystemExit(f"{folder} contains files that are not from a stopped deployment: {', '.join(leftover)}")
    for part in ("log", "settings", "data"):
        # A stopped deployment leaves its files; the replicated log in `data` would restore the old configuration and
        # token hashes.
        shutil.rmtree(folder / part, ignore_errors=True)
        (folder / part).mkdir(parents=True)
    tokens = {kind: write_token(folder / (kind + ".token")) for kind in ("admin", "caller", "endpoint")}
    instances = plan_instances(deployment)
    endpoints = plan_endpoints(deployment)
    relays = plan_relays(instances)
    for relay in relays:
        relay["pid"] = start(folder, relay["name"], [
            BIN / "cassiausher_relay", "--listen", f"127.0.0.1:{relay['port']}",
            "--to", f"127.0.0.1:{relay['target_port']}"]).pid
    for instance in instances:
        path = instance_settings(folder, instances, instance, tokens, relays)
        instance["pid"] = start(folder, instance["name"], [BIN / "cassiausherd", "--config", path]).pid
    for endpoint in endpoints:
        endpoint["pid"] = start(folder, endpoint["name"], endpoint_arguments(folder, endpoint, instances)).pid
    write_addresses(folder, instances, endpoints, relays)
    for instance in instances:
        wait_until(instance["name"], lambda: call(f"http://127.0.0.1:{instance['admin']}/admin/v1/state",
                                                  tokens["admin"])[0] == 200)
    wait_until("members", lambda: live_members(instances, tokens["admin"]) == len(instances))
    if os.environ.get("CASSIAUSHER_NO_INITIAL_CHANGE") is None:
        apply_initial_change(deployment, instances[0], tokens["admin"], sha256(tokens["caller"]))
    expected = {e["name"] for e in endpoints}
    wait_until("endpoints", lambda: expected <= known_endpoints(instances, tokens["admin"]))


def apply_initial_change(deployment, instance, token, caller_token_hash):
    answer = {}
    attempt = 0

    def accepted():
        # The answer to a refused change is kept under its id, so each attempt uses a new id.
        nonlocal answer, attempt
        attempt += 1
        _, answer = call(f"http://127.0.0.1:{instance['admin']}/admin/v1/change", token,
                         {"text": initial_change(deployment, caller_token_hash, attempt)}, timeout=10)
        return answer.get("accepted") and answer.get("in_force")

    try:
        wait_until("initial change", accepted)
    except SystemExit:
        raise SystemExit(f"the initial change was not accepted: {json.dumps(answer)}")


def restart_process(folder, name):
    path = folder / "addresses.json"
    document = json.loads(path.read_text())
    for entry in document["instances"] + document["endpoints"]:
        if entry["name"] != name:
            continue
        if is_running(entry["pid"]):
            raise SystemExit(f"{name} is still running with pid {entry['pid']}")
        arguments = json.loads((folder / "settings" / (name + ".command")).read_text())
        entry["pid"] = start(folder, name, arguments).pid
        temporary = path.with_suffix(".new")
        temporary.write_text(json.dumps(document, indent=1))
        temporary.rename(path)
        return
    raise SystemExit(f"{name} is not in {path}")


def memory_mb(pid):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def is_running(pid):
    try:
        with open(f"/proc/{pid}/stat") as stat:
            return stat.read().rsplit(")", 1)[1].split()[0] != "Z"
    except OSError:
        return False


def is_own_process(pid):
    """Tells whether a recorded pid is still one of our processes; it may have been reused."""
    try:
        with open(f"/proc/{pid}/cmdline", "rb") as command:
            return b"cassiausher" in command.read()
    except OSError:
        return False


def down(folder):
    path = folder / "addresses.json"
    if not path.exists():
        return
    document = json.loads(path.read_text())
    processes = document["instances"] + document["endpoints"] + document.get("relays", [])
    pids = [p["pid"] for p in processes if is_own_process(p["pid"])]
    for pid in pids:
        try:
            os.kill(pid, signal.SIGCONT)
            os.kill(pid, signal.SIGTERM)
        except ProcessLookupError:
            pass
    deadline = time.monotonic() + STOP_TIMEOUT_S
    while time.monotonic() < deadline and any(is_running(pid) for pid in pids):
        time.sleep(0.05)
    for pid in pids:
        if is_running(pid):
            os.kill(pid, signal.SIGKILL)
    path.rename(folder / "addresses.stopped.json")


def main(arguments):
    if len(arguments) == 3 and arguments[0] == "up" and arguments[1] in DEPLOYMENTS:
        folder = pathlib.Path(arguments[2]).resolve()
        try:
            up(arguments[1], folder)
        except BaseException:
            down(folder)
            raise
        return 0
    if len(arguments) == 2 and arguments[0] == "down":
        down(pathlib.Path(arguments[1]).resolve())
        return 0
    if len(arguments) == 3 and arguments[0] == "start":
        restart_process(pathlib.Path(arguments[1]).resolve(), arguments[2])
        return 0
    print(__doc__, file=sys.stderr)
    return 2


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
