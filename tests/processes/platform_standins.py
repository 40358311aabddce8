"""Stand-ins for the platform around real hosts on loopback addresses: store, operator, endpoints, callers.

They follow the platform's protocol as far as hosts and the cases beside this file use it. Each machine has an
address of its own, so that all use the same ports.
"""
import base64
import contextlib
import copy
import http.server
import itertools
import json
import pathlib
import re
import shutil
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "meta"))
import fleet  # noqa: E402  The path must be set before the import.

NETWORK = "127.0.130"
STORE_IP = f"{NETWORK}.250"
STORE_PORT, APP_PORT = 18545, 18547
CALLER_PORT, GATE_PORT, READY_PORT, ANNOUNCE_PORT, CONTROL_PORT = 18548, 18543, 18546, 18540, 18500
HEARTBEAT_SECONDS = 1.5
BOUNDS = {"grace-s": 6, "config-apply-ms": 2000, "cold-over": 1.5, "cold-slack": 5, "quota-slack": 20,
          "retry-budget-slack": 62}
ANSWER_SECONDS = 4


class Server(http.server.ThreadingHTTPServer):
    """Serves a stand-in, whose `answer` returns the status, the fields and the body for a call."""

    request_queue_size = 128

    def __init__(self, address, standin):
        self.standin = standin
        self.connections = set()
        super().__init__(address, Handler)
        self.thread = threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True)
        self.thread.start()

    def process_request(self, request, client_address):
        self.connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        self.connections.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request, client_address):
        if not isinstance(sys.exc_info()[1], OSError):  # A lost connection is part of the cases.
            super().handle_error(request, client_address)

    def end(self):
        """Stops listening and cuts all connections."""
        self.shutdown()
        self.socket.close()
        for connection in list(self.connections):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)


class Handler(http.server.BaseHTTPRequestHandler):
    """Reads calls and writes the answers of the server's stand-in."""

    protocol_version = "HTTP/1.1"
    wbufsize = -1
    disable_nagle_algorithm = True

    def handle_call(self):
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        status, fields, text = self.server.standin.answer(self.command, self.path, self.headers, body)
        self.send_response_only(status)
        for name, value in (fields | {"Content-Length": len(text)}).items():
            self.send_header(name, value)
        self.end_headers()
        self.wfile.write(text)

    do_GET = do_POST = do_DELETE = handle_call


class Store:
    """The platform's key-value store, which can go away and come back as it was or from a copy."""

    def __init__(self, names_era):
        self.era = 1 if names_era else None
        self.changed = threading.Condition()
        self.state = {"revision": 10, "items": {}, "history": [], "leases": {}}
        self.server = None

    def start(self):
        self.server = Server((STORE_IP, STORE_PORT), self)

    def copy(self):
        """Returns a copy from which it can come back."""
        with self.changed:
            return copy.deepcopy(self.state)

    def go_away(self):
        """Cuts all calls and listens no more."""
        self.server.end()

    def come_back(self, earlier=None):
        """Serves again what it held, or else the copy `earlier`, which begins a new era."""
        with self.changed:
            if earlier is not None:
                self.state = copy.deepcopy(earlier)
                self.era = self.era and self.era + 1
        self.start()

    def put(self, key, value, lease=0):
        """Writes an item as the operator does."""
        with self.changed:
            items, revision = self.state["items"], self.next_revision()
            created = items[key]["created-rev"] if key in items else revision
            items[key] = {"key": key, "value": base64.b64encode(value).decode(), "rev": revision,
                          "created-rev": created, "lease": lease}
            self.note(items[key])

    def remove(self, key):
        if self.state["items"].pop(key, None):
            self.note({"key": key, "rev": self.next_revision(), "removed": True})

    def next_revision(self):
        self.state["revision"] += 1
        return self.state["revision"]

    def note(self, event):
        self.state["history"].append(event)
        self.changed.notify_all()

    def end_lease(self, lease):
        del self.state["leases"][lease]
        for key in [key for key, item in self.state["items"].items() if item["lease"] == lease]:
            self.remove(key)

    def answer(self, method, target, unused_fields, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        with self.changed:
            for lease, (_, end) in list(self.state["leases"].items()):
                if end <= time.monotonic():
                    self.end_lease(lease)
            status, answer = self.answer_call(method, url.path.removeprefix("/chivevane/"), query,
                                              json.loads(body or b"{}"))
            fields = {"Content-Type": "application/json"}
            if self.era is not None:
                fields["Store-Era"] = self.era
            return status, fields, json.dumps(answer).encode()

    def answer_call(self, method, call, query, data):
        items, leases = self.state["items"], self.state["leases"]
        if call == "kv-key":
            item = items.get(query["key"])
            return (200, item | {"as-of": self.state["revision"]}) if item else (404, {})
        if call == "kv-range":
            found = [items[key] for key in sorted(items)
                     if key.startswith(query["prefix"]) and key > query.get("after", "")]
            return 200, {"items": found, "has-more": False, "as-of": self.state["revision"]}
        if call == "kv-watch":
            return self.watch(query["prefix"], int(query["after"]), int(query["wait-ms"]) / 1000)
        if call == "kv-txn":
            return self.transact(data)
        if call == "kv-lease":
            lease = self.next_revision()
            leases[lease] = (data["ttl-ms"], time.monotonic() + data["ttl-ms"] / 1000)
            return 200, {"lease": lease, "ttl-ms": data["ttl-ms"]}
        lease = int(call.rsplit("/", 1)[1])
        if lease not in leases:
            return 404, {}
        if method == "DELETE":
            self.end_lease(lease)
            return 200, {}
        length = leases[lease][0]
        leases[lease] = (length, time.monotonic() + length / 1000)
        return 200, {"ttl-ms": length}

    def watch(self, prefix, after, seconds):
        if after > self.state["revision"]:
            return 410, {}

        def events():
            return [event for event in self.state["history"]
                    if event["rev"] > after and event["key"].startswith(prefix)]

        self.changed.wait_for(events, seconds)
        return 200, {"events": events(), "as-of": self.state["revision"]}

    def transact(self, data):
        items = self.state["items"]
        rows = data.get("expect", [])
        current = [items.get(row["key"], {"key": row["key"], "rev": 0}) for row in rows]
        if any(item["rev"] != row["rev"] for item, row in zip(current, rows)):
            return 412, {"items": current}
        puts = data.get("puts", [])
        if any(put.get("lease", 0) not in {0, *self.state["leases"]} for put in puts):
            return 404, {}
        for put in puts:
            self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in data.get("deletes", []):
            self.remove(key)
        return 200, {"rev": self.state["revision"]}


class Operator:
    """Writes configurations whose versions rise in uneven steps."""

    def __init__(self, store, keys=None):
        self.store = store
        self.keys = keys  # Without keys, requests need none.
        self.version = 4
        self.prefixes = ["/route0/", "/route1/"]
        self.dropped = None
        self.document = None

    def write(self):
        """Writes the present configuration as a new version."""
        self.version += 1 + self.version % 3
        routes = {prefix.strip("/"): {
            "host": "shop.example", "prefix": prefix, "kind": "idempotent", "timeout-ms": 4000,
            "target-latency-ms": 1200, "priority": 1, "service": "ledger", "public": False,
            "max-attempts": 2} for prefix in self.prefixes}
        services = {name: {"health-path": "/healthz", "max-connections": 390, "protocol": "h1",
                           "tls": False} for name in ("desk", "ledger")}
        limits = {"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-ms": 3000,
                  "idle-timeout-ms": 15000}
        document = {"version": f"r{self.version}", "routes": routes, "services": services,
                    "limits": limits}
        if self.keys is not None:
            document["tenants"] = {"readers": {"api-keys": self.keys, "priority": 1}}
        self.document = json.dumps(document, separators=(",", ":")).encode()
        self.write_again()

    def write_again(self):
        """Writes the newest configuration once more, as it was."""
        self.store.put("op/config", self.document)

    def change(self):
        """Drops the oldest route and adds one."""
        self.dropped = self.prefixes.pop(0)
        self.prefixes.append(f"/route{int(self.prefixes[-1].strip('/route')) + 1}/")
        self.write()


class Host:
    """A host with the endpoint beside it."""

    def __init__(self, number, service, folder):
        self.ip = f"{NETWORK}.{number}"
        self.name = f"sidecar-{number}"
        self.service = service
        self.folder = folder
        self.sequence = itertools.count(1)
        self.born = int(time.time() * 1000)
        self.process = None
        self.server = Server((self.ip, APP_PORT), self)
        self.is_ending = threading.Event()
        self.beats = threading.Thread(target=self.beat)
        self.start()
        self.beats.start()

    def start(self):
        """Starts the host's process; its endpoint runs all the time."""
        settings = {
            "node": self.name, "zone": "south-a", "ip": self.ip, "service": self.service,
            "port-range": [CONTROL_PORT], "platform": {"address": f"{STORE_IP}:{STORE_PORT}"},
            "listen": {"outbound": f"{self.ip}:{CALLER_PORT}", "inbound": f"{self.ip}:{GATE_PORT}",
                       "ready": f"{self.ip}:{READY_PORT}", "control": f"{self.ip}:{ANNOUNCE_PORT}"},
            "bounds": BOUNDS}

        def value(match):
            found = settings
            for part in match[1].split("."):
                found = found[int(part) if isinstance(found, list) else part]
            return str(found)

        template = (ROOT / "platform" / "settings.yaml.template").read_text()
        path = self.folder / f"{self.name}.yaml"
        path.write_text(re.sub(r"\{\{([\w.-]+)\}\}", value, template))
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                [str(fleet.BIN / "chivevaned_on_platform"), f"--settings={path}",
                 f"--upstream_address={self.ip}:{APP_PORT}",
                 f"--heartbeat_ms={int(HEARTBEAT_SECONDS * 1000)}"], stdout=log, stderr=log)

    def kill(self):
        self.process.kill()
        self.process.wait()

    def end(self):
        self.is_ending.set()
        self.beats.join()
        self.kill()
        self.server.end()

    def answer(self, unused_method, target, fields, unused_body):
        if target == "/healthz":
            return 200, {"Chivevane-Instance-Id": f"i-{self.name}"}, b""
        attempt = fields.get("Chivevane-Attempt-Id", "")
        return 200, {"Chivevane-Attempt-Id": attempt,
                     "Chivevane-Server-Signature": f"sig.{self.name}.{attempt}"}, b"done"

    def beat(self):
        url = f"http://{self.ip}:{ANNOUNCE_PORT}/chivevane/Instances.Heartbeat/i-{self.name}"
        while not self.is_ending.is_set():
            body = {"address": f"{self.ip}:{APP_PORT}", "born": self.born,
                    "info": {"service": self.service, "version": "v1", "zone": "south-a", "slots": 4},
                    "status": {"state": "ready", "sequence": next(self.sequence), "cold-left-ms": 0}}
            answer = fleet.request("POST", url, {"Content-Type": "application/json"},
                                   json.dumps(body).encode(), timeout=1)
            self.is_ending.wait(HEARTBEAT_SECONDS if answer.status == 200 else 0.2)

    def is_ready(self):
        url = f"http://{self.ip}:{READY_PORT}/chivevane/ready"
        return fleet.request("GET", url, timeout=1).status == 200

    def call(self, prefix, key=None):
        """Returns the status of a request to a route; 0 if there is no answer."""
        fields = {"Host": "shop.example", "Chivevane-Attempt-Id": f"{time.monotonic_ns():016x}",
                  "Chivevane-Deadline-Ms": str(ANSWER_SECONDS * 1000)}
        if key is not None:
            fields["Authorization"] = f"Bearer {key}"
        return fleet.request("GET", f"http://{self.ip}:{CALLER_PORT}{prefix}x", fields,
                             timeout=ANSWER_SECONDS).status


class Platform:
    """Three hosts with their endpoints, the store and the operator. `keys` are those of one tenant."""

    def __init__(self, names_era=True, keys=None):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="chivevane-"))
        self.store = Store(names_era)
        self.operator = Operator(self.store, keys)
        self.key = keys and keys[0]
        self.hosts = []

    def __enter__(self):
        self.store.start()
        self.operator.write()
        try:
            for number, service in enumerate(("desk", "ledger", "ledger"), 1):
                self.hosts.append(Host(number, service, self.folder))
        except BaseException:
            self.__exit__(*sys.exc_info())
            raise
        return self

    def __exit__(self, problem, *unused):
        for host in self.hosts:
            host.end()
        self.store.go_away()
        if problem is None:
            shutil.rmtree(self.folder)
        else:
            print(f"the logs are in {self.folder}", flush=True)

    def is_ready(self):
        """Returns whether all hosts are ready and serve the oldest route of the configuration."""
        return all(host.is_ready() and host.call(self.operator.prefixes[0], self.key) == 200
                   for host in self.hosts)

    def wrong_answers(self):
        """Returns the answers that don't belong to the newest configuration."""
        expected = dict.fromkeys(self.operator.prefixes, 200) | {self.operator.dropped: 404}
        answers = [(host.name, prefix, host.call(prefix, self.key), status)
                   for host in self.hosts for prefix, status in expected.items()]
        return [f"{name}: {prefix} answers {status} instead of {right}"
                for name, prefix, status, right in answers if status != right]
