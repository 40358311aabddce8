"""Starts and controls a small fleet on loopback addresses for the other scripts in this folder.

Every process is started and stopped by its own handle; no other process on the machine is affected.
"""
import concurrent.futures
import dataclasses
import hashlib
import http.client
import json
import os
import pathlib
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = pathlib.Path(os.environ.get("CHIVEVANE_BIN", ROOT / "build" / "release" / "bin"))
LOAD_TOOL = ROOT / "build" / "release" / "bin" / "load_tool"

CALLER_PORT, GATE_PORT, CONTROL_PORT, ADMIN_PORT, ANNOUNCE_PORT = 17080, 17081, 17082, 17083, 17084
# Number N of the fleet's first network, 127.0.N.x. Fleets that run at the same time need different
# networks; a fleet uses 127.0.(N-1).x for the store and one network from N on for each data centre.
FIRST_NETWORK = int(os.environ.get("CHIVEVANE_NETWORK", "10"))
STORE = (f"127.0.{FIRST_NETWORK - 1}.1", 17000)
FIRST_UPSTREAM_PORT = 18000
OPERATOR_TOKEN = "operator-token-for-the-local-fleet-only"
SHARED_SECRET = "shared-secret-for-the-local-fleet-only-0123456789"
NO_PROXY = urllib.request.build_opener(urllib.request.ProxyHandler({}))


@dataclasses.dataclass
class Host:
    """One host of the fleet with the upstreams behind it."""

    name: str
    datacentre: str
    ip: str
    upstreams: list
    process: subprocess.Popen | None = None


@dataclasses.dataclass
class Answer:
    """The answer to an HTTP request; status 0 means that the connection failed."""

    status: int
    headers: dict
    body: bytes

    def json(self):
        return json.loads(self.body)


def request(method, url, headers=None, body=None, timeout=10.0):
    """Sends one request; never raises for an HTTP status or a lost connection."""
    outgoing = urllib.request.Request(url, data=body, headers=headers or {}, method=method)
    try:
        with NO_PROXY.open(outgoing, timeout=timeout) as answer:
            return Answer(answer.status, dict(answer.headers), answer.read())
    except urllib.error.HTTPError as refusal:
        with refusal:
            return Answer(refusal.code, dict(refusal.headers), refusal.read())
    except (OSError, http.client.HTTPException) as problem:
        return Answer(0, {}, str(problem).encode())


def wait_until(condition, seconds, step=0.05):
    """Returns whether `condition` becomes true within `seconds`."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(step)
    return condition()


def holds_for(condition, seconds, within):
    """Returns whether `condition` holds continuously for `seconds` within `within` seconds."""
    since = [None]

    def has_held():
        since[0] = (since[0] or time.monotonic()) if condition() else None
        return since[0] is not None and time.monotonic() - since[0] >= seconds

    return wait_until(has_held, within)


class Fleet:
    """A store stand-in, hosts in data centres and stand-in upstreams."""

    def __init__(self, layout):
        """`layout` maps a data centre to a list of hosts, each a list of (service, options)."""
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="chivevane-"))
        self.hosts = []
        self.processes = []
        self.store = None
        self.upstreams = None
        number = 0
        for network, (datacentre, hosts) in enumerate(layout.items()):
            for index, services in enumerate(hosts):
                ip = f"127.0.{FIRST_NETWORK + network}.{index + 1}"
                host = Host(f"{datacentre}-{index + 1}", datacentre, ip, [])
                for service, options in services:
                    number += 1
                    host.upstreams.append(
                        {"endpoint": f"{service}-{number}", "service": service, "ip": ip,
                         "port": FIRST_UPSTREAM_PORT + number,
                         "announce_port": ANNOUNCE_PORT} | options)
                self.hosts.append(host)

    def __enter__(self):
        return self

    def __exit__(self, *unused):
        self.stop()

    def spawn(self, name, *arguments):
        """Starts one of the project's programs with its log in the fleet's folder."""
        with open(self.folder / f"{name}.log", "ab") as log:
            process = subprocess.Popen([str(word) for word in arguments], stdout=log, stderr=log)
        self.processes.append(process)
        return process

    def start_store(self):
        self.store = self.spawn("store", BIN / "store_standin", f"--ip={STORE[0]}", f"--port={STORE[1]}")

    def start_upstreams(self):
        endpoints = [upstream for host in self.hosts for upstream in host.upstreams]
        path = self.folder / "endpoints.yaml"
        path.write_text(json.dumps(endpoints))  # JSON is valid YAML.
        self.upstreams = self.spawn("upstreams", BIN / "upstream_standin", f"--endpoints={path}")

    def settings_of(self, host):
        seeds = [f"{other.ip}:{CONTROL_PORT}" for other in self.hosts if other is not host]
        return {
            "host": host.name, "datacentre": host.datacentre, "ip": host.ip,
            "ports": {"caller": CALLER_PORT, "gate": GATE_PORT, "control": CONTROL_PORT,
                      "admin": ADMIN_PORT, "announce": ANNOUNCE_PORT},
            "shared_secret": SHARED_SECRET, "operator_token": OPERATOR_TOKEN,
            "store": [f"{STORE[0]}:{STORE[1]}"], "seeds": seeds,
            "shutdown_limit_ms": 10000,
        }

    def start_host(self, host):
        path = self.folder / f"{host.name}.yaml"
        path.write_text(json.dumps(self.settings_of(host)))
        host.process = self.spawn(host.name, BIN / "chivevaned", f"--settings={path}")

    def start(self):
        self.start_store()
        for host in self.hosts:
            self.start_host(host)
        self.start_upstreams()

    def stop(self):
        for process in self.processes:
            if process.poll() is None:
                process.terminate()
        for process in self.processes:
            try:
                process.wait(timeout=15)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def call(self, host, method, path, key=None, body=None, timeout=10.0, headers=None):
        """Sends a caller's request to one host."""
        fields = dict(headers or {})
        if key:
            fields["Authorization"] = f"Bearer {key}"
        return request(method, f"http://{host.ip}:{CALLER_PORT}{path}", fields, body, timeout)

    def admin(self, host, method, path, body=None, headers=None):
        """Sends an operator's request to one host."""
        fields = {"Authorization": f"Bearer {OPERATOR_TOKEN}"} | (headers or {})
        return request(method, f"http://{host.ip}:{ADMIN_PORT}{path}", fields, body)

    def control_store(self, **command):
        return request("POST", f"http://{STORE[0]}:{STORE[1]}/control",
                       body=json.dumps(command).encode())

    def store_calls(self):
        return request("GET", f"http://{STORE[0]}:{STORE[1]}/control/calls").json()["calls"]

    def control_upstream(self, upstream, **command):
        url = f"http://{upstream['ip']}:{upstream['port']}/control"
        return request("POST", url, body=json.dumps(command).encode())

    def upstream_runs(self):
        """Returns the number of executions of each POST body over all upstreams."""
        total = {}
        for host in self.hosts:
            for upstream in host.upstreams:
                answer = request("GET", f"http://{upstream['ip']}:{upstream['port']}/control/runs")
                for body, runs in (answer.json() if answer.status == 200 else {}).items():
                    total[body] = total.get(body, 0) + runs
        return total


def run_concurrently(calls):
    """Runs the callables concurrently and returns their results in order."""
    with concurrent.futures.ThreadPoolExecutor(max_workers=32) as pool:
        return [future.result() for future in [pool.submit(call) for call in calls]]


def digest(key):
    return hashlib.sha256(key.encode()).hexdigest()
