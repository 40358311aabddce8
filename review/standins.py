"""Stand-ins of the users' platform, its endpoints and its clients, and the processes under review.

Everything runs in one asyncio loop on loopback addresses. The store follows PROTOCOL.md, "The platform's
metadata store" and "The operator's API"; endpoints follow "Endpoints" and "Service discovery".
"""
import asyncio
import base64
import contextlib
import itertools
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROGRAM = ROOT / "target" / "bin" / "chivevaned_on_platform"
TEMPLATE = ROOT / "platform" / "settings.yaml.template"
HEARTBEAT_MS = 1500
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Bounds of a small deployment, as DEPLOY.md and SYSTEM.md (Magnolia) give them.
BOUNDS = {"grace-s": 6, "cold-over": 1.5, "cold-slack": 5, "quota-slack": 20, "retry-budget-slack": 58}
DRAIN_MS = 2000
STABLE_WINDOW_MS = 3000
MEMORY_MB = 260


class CannotRun(Exception):
    """The case could not be played, which says nothing about the rule."""


def find_network():
    """Returns the first three numbers of a loopback network whose ports are free."""
    for _ in range(200):
        network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for host in range(1, 12):
                for port in (7000, 7001, 7002, 8540, 8543, 8545, 8546, 8547, 8548):
                    with socket.socket() as probe:
                        probe.bind((f"{network}.{host}", port))
            return network
        except OSError:
            continue
    raise CannotRun("no free loopback network")


class Record:
    """The record of what was sent, answered and run, with seconds since the start of the case."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


# HTTP/1.1 messages


async def read_head(reader):
    """Returns the first line and the fields of a message; raises EOFError at an orderly end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as problem:
        if not problem.partial:
            raise EOFError from problem
        raise ConnectionError("the head broke off") from problem
    lines = data.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields, until_close=False):
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    return await reader.read() if until_close else b""


def format_answer(status, fields, body):
    lines = [f"HTTP/1.1 {status} -"] + [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Store:
    """The platform's key-value store."""

    def __init__(self, address):
        self.address = address
        self.revision = 100
        self.items = {}
        self.events = []
        self.leases = {}
        self.changed = asyncio.Condition()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    def stop(self):
        self.server.close()

    def change(self, puts, deletes=()):
        self.revision += 1
        for key in deletes:
            if self.items.pop(key, None) is not None:
                self.events.append({"key": key, "rev": self.revision, "removed": True})
        for key, value, lease in puts:
            created = self.items.get(key, {}).get("created-rev", self.revision)
            item = {"key": key, "value": value, "rev": self.revision, "created-rev": created,
                    "lease": lease}
            self.items[key] = item
            self.events.append(item)
        return self.revision

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def operator_put(self, key, value):
        """A change by the operator."""
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        revision = self.change([(key, encoded, 0)])
        await self.notify()
        return revision

    async def expire(self):
        now = time.monotonic()
        ended = [lease for lease, (until, _) in self.leases.items() if until <= now]
        for lease in ended:
            await self.end_lease(lease)

    async def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.change([], keys)
            await self.notify()

    async def serve(self, reader, writer):
        try:
            while True:
                line, fields = await read_head(reader)
                body = await read_body(reader, fields)
                method, target, _ = line.split(" ")
                status, answer = await self.handle(method, target, body)
                writer.write(format_answer(status, {"Content-Type": "application/json"},
                                           json.dumps(answer).encode()))
                await writer.drain()
        except (EOFError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def handle(self, method, target, body):
        path, _, query = target.partition("?")
        arguments = dict(urllib.parse.parse_qsl(query))
        await self.expire()
        if path == "/chivevane/kv-key":
            item = self.items.get(arguments["key"])
            return (200, item | {"as-of": self.revision}) if item else (404, {"as-of": self.revision})
        if path == "/chivevane/kv-range":
            after = arguments.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(arguments["prefix"]) and key > after)
            return 200, {"items": [self.items[key] for key in keys[:500]], "has-more": len(keys) > 500,
                         "as-of": self.revision}
        if path == "/chivevane/kv-watch":
            return 200, await self.watch(arguments)
        if path == "/chivevane/kv-txn":
            return await self.transact(json.loads(body))
        if path == "/chivevane/kv-lease":
            lease, length = random.randint(1, 2**40), json.loads(body)["ttl-ms"]
            self.leases[lease] = (time.monotonic() + length / 1000, length)
            return 200, {"lease": lease, "ttl-ms": length}
        name, _, number = path.removeprefix("/chivevane/").partition("/")
        lease = int(number) if number.isdigit() else 0
        if lease not in self.leases:
            return 404, {}
        length = self.leases[lease][1]
        if name == "kv-keep":
            self.leases[lease] = (time.monotonic() + length / 1000, length)
            return 200, {"ttl-ms": length}
        await self.end_lease(lease)
        return 200, {}

    async def watch(self, arguments):
        prefix, after = arguments["prefix"], int(arguments["after"])
        until = time.monotonic() + min(int(arguments["wait-ms"]), 30000) / 1000
        while True:
            found = [event for event in self.events if event["rev"] > after and event["key"].startswith(prefix)]
            left = until - time.monotonic()
            if found or left <= 0:
                return {"events": found, "as-of": self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)

    async def transact(self, call):
        for row in call["expect"]:
            if self.items.get(row["key"], {"rev": 0})["rev"] != row["rev"]:
                items = [self.items.get(each["key"], {"key": each["key"], "rev": 0}) for each in call["expect"]]
                return 412, {"items": items}
        for put in call["puts"]:
            if put["key"].startswith(("op/", "servers/")):
                return 403, {}
            if put["lease"] and put["lease"] not in self.leases:
                return 404, {}
        revision = self.change([(put["key"], put["value"], put["lease"]) for put in call["puts"]], call["deletes"])
        await self.notify()
        return 200, {"rev": revision}


class Endpoint:
    """One endpoint beside a machine. `work` makes the answer of a request that it runs."""

    def __init__(self, record, machine, service, name, slots=4):
        self.record, self.machine, self.service, self.name, self.slots = record, machine, service, name, slots
        self.born = int(time.time() * 1000)
        self.sequence = itertools.count(1)
        self.state = "ready"
        self.beating = None
        self.server = None
        self.writers = set()
        self.arrivals = []  # Seconds and attempt id of each request that reached it.
        self.runs = {}      # Number of runs by attempt id.
        self.work = self.quick_work
        self.work_on_request = None  # In place of `work`, if it has to know the fields of the request.

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.machine.ip, 8547, limit=2**20)

    def start_beats(self):
        self.beating = asyncio.create_task(self.beat_regularly())

    def stop_beats(self):
        if self.beating:
            self.beating.cancel()

    def stop(self):
        """The endpoint exits."""
        self.stop_beats()
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def make_beat(self, state=None):
        return json.dumps({
            "address": f"{self.machine.ip}:8547", "born": self.born,
            "info": {"service": self.service, "version": "v1", "zone": self.machine.zone, "slots": self.slots},
            "status": {"state": state or self.state, "sequence": next(self.sequence), "cold-left-ms": 0}})

    async def send_beat(self, body):
        return await self.call(f"/chivevane/Instances.Heartbeat/{self.name}", body)

    async def deregister(self):
        return await self.call(f"/chivevane/Instances.Deregister/{self.name}", json.dumps({"born": self.born}))

    async def call(self, target, body):
        """Calls the control address of the own machine; returns the status, or 0 without an answer."""
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.machine.ip, 8540), 1)
            writer.write(f"POST {target} HTTP/1.1\r\nHost: {self.machine.ip}:8540\r\n"
                         f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
            line, _ = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return int(line.split(" ")[1])
        except (OSError, EOFError, asyncio.TimeoutError):
            return 0

    async def beat_regularly(self):
        while True:
            await self.send_beat(self.make_beat())
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, fields = await read_head(reader)
                body = await read_body(reader, fields)
                method, target, _ = line.split(" ")
                if target == "/healthz":
                    writer.write(format_answer(200 if self.state == "ready" else 503,
                                               {"Chivevane-Instance-Id": self.name, "Chivevane-Cold-Ms": 0}, b""))
                    continue
                expected = fields.get("chivevane-expect-instance", self.name)
                if expected != self.name:
                    writer.write(format_answer(421, {"Chivevane-Instance-Id": self.name}, b""))
                    continue
                attempt = fields.get("chivevane-attempt-id", "")
                self.arrivals.append((self.record.now(), attempt))
                self.runs[attempt] = self.runs.get(attempt, 0) + 1
                self.record.write(f"run {attempt} by {self.name}: {method} {target}, {len(body)} bytes")
                if self.work_on_request:
                    await self.work_on_request(writer, attempt, target, fields)
                else:
                    await self.work(writer, attempt, method, target)
                await writer.drain()
        except (EOFError, OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    def answer_fields(self, attempt):
        return {"Chivevane-Attempt-Id": attempt, "Chivevane-Server-Signature": f"{self.name}.{attempt}"}

    async def quick_work(self, writer, attempt, _method, _target):
        await asyncio.sleep(0.02)
        writer.write(format_answer(200, self.answer_fields(attempt), f"answer to {attempt}".encode()))


class Machine:
    """A machine with one process of the system, started as the deploy file says."""

    def __init__(self, record, folder, network, number, zone, service):
        self.record, self.folder, self.zone, self.service = record, folder, zone, service
        self.ip, self.name = f"{network}.{number}", f"sidecar-{zone}-{number}"
        self.store = f"{network}.11:8545"
        self.process = None
        self.log = open(folder / f"{self.name}.log", "ab")

    def render_settings(self):
        fields = {"node": self.name, "zone": self.zone, "ip": self.ip, "service": self.service,
                  "listen.outbound": f"{self.ip}:8548", "listen.inbound": f"{self.ip}:8543",
                  "listen.control": f"{self.ip}:8540", "listen.ready": f"{self.ip}:8546",
                  "port-range.0": "7000", "platform.address": self.store}
        fields |= {f"bounds.{name}": str(value) for name, value in BOUNDS.items()}
        path = self.folder / f"{self.name}.conf"
        path.write_text(re.sub(r"\{\{([^}]+)\}\}", lambda match: fields[match[1]], TEMPLATE.read_text()))
        return path

    async def start(self):
        path = self.render_settings()
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        self.process = await asyncio.create_subprocess_exec(
            str(PROGRAM), f"--settings={path}", f"--upstream_address={self.ip}:8547",
            f"--heartbeat_ms={HEARTBEAT_MS}", cwd=ROOT, env=environment | {"CHIVEVANE_BOOT": str(path)},
            stdin=asyncio.subprocess.DEVNULL, stdout=self.log, stderr=self.log)
        self.record.write(f"process of {self.name} started, pid {self.process.pid}")

    def signal(self, number):
        self.record.write(f"{signal.Signals(number).name} to the process of {self.name}")
        self.process.send_signal(number)

    async def kill(self):
        if self.process and self.process.returncode is None:
            self.signal(signal.SIGKILL)
            await self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip, 8546), 1)
            writer.write(f"GET /chivevane/ready HTTP/1.1\r\nHost: {self.ip}\r\nConnection: close\r\n\r\n".encode())
            line, _ = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return line.split(" ")[1] == "200"
        except (OSError, EOFError, asyncio.TimeoutError):
            return False

    async def wait_until_ready(self, seconds=15):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.process.returncode is None and await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} is not ready")


class Answer:
    """What a client got: status 0 if the connection ended without a complete answer."""

    def __init__(self, attempt):
        self.attempt, self.status, self.fields, self.body = attempt, 0, {}, b""
        self.end = "no answer"
        self.sent_at = self.ended_at = 0.0


def new_attempt():
    return f"{random.getrandbits(64):016x}"


def format_request(attempt, method, host, path, deadline_ms, body=b"", key=None):
    head = (f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nChivevane-Attempt-Id: {attempt}\r\n"
            f"Chivevane-Deadline-Ms: {deadline_ms}\r\n")
    if key:
        head += f"Authorization: Bearer {key}\r\n"
    if body or method == "POST":
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


async def exchange(answer, machine, request):
    """Sends a request on a new connection and reads the answer as far as it comes."""
    writer = None
    try:
        reader, writer = await asyncio.open_connection(machine.ip, 8548, limit=2**20)
        writer.write(request)
        await writer.drain()
        line, answer.fields = await read_head(reader)
        status = int(line.split(" ")[1])
        answer.end = f"{status}, incomplete"
        answer.body = await read_body(reader, answer.fields, True)
        answer.status, answer.end = status, str(status)
    finally:
        if writer:
            writer.close()


async def send_request(record, machine, method, host, path, deadline_ms, body=b"", key=None):
    """Sends one request on a new connection and waits for the whole answer until the deadline."""
    answer = Answer(new_attempt())
    answer.sent_at = record.now()
    request = format_request(answer.attempt, method, host, path, deadline_ms, body, key)
    try:
        await asyncio.wait_for(exchange(answer, machine, request), deadline_ms / 1000)
    except asyncio.TimeoutError:
        answer.end += ", deadline passed"
    except (OSError, EOFError, asyncio.IncompleteReadError) as problem:
        answer.end += f", connection ended ({type(problem).__name__})"
    answer.ended_at = record.now()
    record.write(f"request {answer.attempt} by way of {machine.name}: {answer.end} "
                 f"after {answer.ended_at - answer.sent_at:.3f} s")
    return answer


def make_config(version, routes, services, limits=None, tenants=None):
    """A configuration. Without tenants no request needs a key."""
    return {"version": version, "routes": routes,
            "services": {name: {"health-path": "/healthz", "max-connections": 330, "cold-start-s": 3.0,
                                "cold-per-s": 12.0} for name in services},
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-ms": 3000,
                       "idle-timeout-ms": 15000} | (limits or {}),
            "tenants": tenants or {}}


def make_route(host, prefix, service, kind="idempotent", timeout_ms=2500, attempts=2):
    return {"host": host, "prefix": prefix, "kind": kind, "timeout-ms": timeout_ms, "target-latency-ms": 1000,
            "priority": 1, "service": service, "max-attempts": attempts, "public": True}


class Deployment:
    """A store, machines with their processes, and the endpoints beside them."""

    def __init__(self, record, layout):
        """`layout` lists the zone and the service of each machine."""
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="chivevane-review-"))
        network = find_network()
        self.store = Store((f"{network}.11", 8545))
        self.machines = [Machine(record, self.folder, network, number + 1, zone, service)
                         for number, (zone, service) in enumerate(layout)]
        self.endpoints = [Endpoint(record, machine, machine.service, f"i-{machine.service}-{number + 1}")
                          for number, machine in enumerate(self.machines)]

    async def start(self, config):
        await self.store.start()
        await self.store.operator_put("op/config", config)
        for machine in self.machines:
            await machine.start()
        for machine in self.machines:
            await machine.wait_until_ready()
        for endpoint in self.endpoints:
            await endpoint.start()
            endpoint.start_beats()

    async def stop(self):
        for endpoint in self.endpoints:
            endpoint.stop()
        for machine in self.machines:
            await machine.kill()
            machine.log.close()
        if self.store.server:
            self.store.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


async def wait_until_served(record, machine, host, path, seconds=20):
    """Waits until a GET is answered with 200 ten times in a row."""
    until, good = time.monotonic() + seconds, 0
    while good < 10:
        if time.monotonic() > until:
            raise CannotRun(f"{machine.name} does not serve")
        answer = await send_request(record, machine, "GET", host, path, 2000)
        good = good + 1 if answer.status == 200 else 0
        await asyncio.sleep(0.05)


def run_case(folder, layout, config, play):
    """Plays a case: `play` returns a list of breaches. Exits with 1 if there are any, 0 if not, else 2."""

    async def play_once(record, deployment):
        await deployment.start(config)
        return await play(record, deployment)

    async def run():
        record = Record(folder / "record.txt")
        record.write(f"TROUBLE={int(TROUBLE)}")
        deployment = None
        try:
            deployment = Deployment(record, layout)
            breaches = await asyncio.wait_for(play_once(record, deployment), 115)
            for breach in breaches[:20]:
                record.write(f"BROKEN: {breach}")
            record.write(f"{len(breaches)} breaches")
            with contextlib.suppress(BrokenPipeError):
                print(f"{len(breaches)} breaches", *breaches[:5], sep="\n  ", flush=True)
            return 1 if breaches else 0
        except Exception as problem:  # Any other end means that the case could not be played.
            record.write(f"could not run: {problem!r}")
            print(f"could not run: {problem!r}", file=sys.stderr)
            return 2
        finally:
            if deployment:
                await deployment.stop()

    sys.exit(asyncio.run(run()))
