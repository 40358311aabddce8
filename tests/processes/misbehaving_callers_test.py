"""Lets small crowds of misbehaving callers act on real processes on loopback addresses.

Each case guards against one way in which callers that nobody controls end a process, fill its memory or
take all its file descriptors. It checks that each host still runs, that its peak resident set is at most
`memory_limit_mb`, that its descriptors stay under a bound, and that one ordinary request is answered with
200 while the crowd is connected and after it has left. No time and no share of served requests is checked;
a crowd that is refused or closed is fine. The crowds and bounds are fixed and don't follow the product.
CTest runs each case alone; `python3 misbehaving_callers_test.py [CASE...]` runs them by hand.
"""
import json
import os
import pathlib
import resource
import selectors
import shutil
import socket
import subprocess
import sys
import threading
import time
import unittest

os.environ["CHIVEVANE_NETWORK"] = "120"
sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "meta"))
import fleet  # noqa: E402  The network number must be set before the import.

READY_PORT, METRICS_PORT = 17085, 17086
HELD_PORT = 18900
KEY = "crowd-key"

MEMORY_LIMIT_MB = 64
MAX_HEAD, MAX_BODY = 16_384, 1_048_576
DESCRIPTOR_LIMIT = 512
DESCRIPTOR_BOUND = DESCRIPTOR_LIMIT - 64

BODY_CROWD = 100  # 100 bodies of 1 MiB exceed the memory limit.
READER_CROWD = 150  # 150 large answers in progress exceed it on both hosts.
IDLE_CROWD = 600  # More than there are descriptors.
WIDE_CROWD = 300
PIPELINED = 4_000  # More than fits the buffers of the kernel together with the answers.
DOWNLOAD_SIZE = 32 * 1024 * 1024
SMALL_RECEIVE_BUFFER = 4_096
ANNOUNCED_SECONDS = 4  # An announcement of upstream_standin lasts 3 s.

# Limits against a test that never ends. They are generous and no part of what is checked.
STALL_SECONDS, ACT_SECONDS, ANSWER_SECONDS, START_SECONDS = 2, 40, 20, 30


def document():
    return json.dumps({
        "document": "crowds",
        "organisations": [{"name": "clerks", "rate": 100_000, "burst": 100_000,
                           "keys": [{"name": "key", "digest": fleet.digest(KEY)}]}],
        # A stated cold rate keeps the learned concurrency limit out of these cases.
        "services": [{"name": name, "floor": 0.5, "cold_rate": 100_000}
                     for name in ("permits", "tides", "held")],
        "routes": [
            {"name": "permits", "path_prefix": "/permits", "service": "permits", "timeout_ms": 10_000},
            {"name": "tides", "path_prefix": "/tides", "service": "tides", "timeout_ms": 10_000,
             "open_to_all": True},
            {"name": "held", "path_prefix": "/held", "service": "held", "timeout_ms": 60_000,
             "attempts": 1}]}).encode()


class LimitedFleet(fleet.Fleet):
    """A fleet whose hosts have low limits of memory, bodies and descriptors."""

    def settings_of(self, host):
        settings = super().settings_of(host)
        settings["ports"] |= {"ready": READY_PORT, "metrics": METRICS_PORT}
        return settings | {"memory_limit_mb": MEMORY_LIMIT_MB, "shutdown_limit_ms": 500,
                           "limits": {"head_bytes": MAX_HEAD, "body_bytes": MAX_BODY}}

    def start_host(self, host):
        path = self.folder / f"{host.name}.yaml"
        path.write_text(json.dumps(self.settings_of(host)))
        limits = (DESCRIPTOR_LIMIT, DESCRIPTOR_LIMIT)
        with open(self.folder / f"{host.name}.log", "ab") as log:
            host.process = subprocess.Popen(
                [str(fleet.BIN / "chivevaned"), f"--settings={path}"], stdout=log, stderr=log,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, limits))
        self.processes.append(host.process)


class Client:
    """One caller of a crowd: the pieces it sends, and what it does with its connection."""

    def __init__(self, pieces, reads=True, shuts_down=False):
        self.pieces = pieces
        self.reads = reads
        self.shuts_down = shuts_down
        self.rest = b""
        self.has_sent_all = False
        self.socket = None

    def connect(self, address):
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if not self.reads:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER)
        self.socket.connect_ex(address)

    def send(self):
        """Sends the next piece. Returns whether there is more to send."""
        self.rest = self.rest or next(self.pieces, b"")
        if not self.rest:
            if self.shuts_down:
                self.socket.shutdown(socket.SHUT_WR)
            self.has_sent_all = True
            return False
        self.rest = self.rest[self.socket.send(self.rest):]
        return True


class Crowd:
    """Lets clients send in a thread of its own. They stay connected until the end of the context."""

    def __init__(self, address, clients):
        self.address = address
        self.clients = clients
        self.sending = len(clients)
        self.closed = 0  # by the host
        self.last_progress = time.monotonic()
        self.is_ending = False
        self.selector = selectors.DefaultSelector()
        self.thread = threading.Thread(target=self.run)

    def __enter__(self):
        for client in self.clients:
            client.connect(self.address)
            self.selector.register(client.socket, selectors.EVENT_WRITE, client)
        self.thread.start()
        return self

    def __exit__(self, *unused):
        self.is_ending = True
        self.thread.join()
        for client in self.clients:
            client.socket.close()
        self.selector.close()

    def run(self):
        while not self.is_ending:
            if not self.selector.get_map():
                time.sleep(0.05)
                continue
            for key, events in self.selector.select(0.05):
                self.serve(key.data, events)

    def serve(self, client, events):
        try:
            if events & selectors.EVENT_READ and not client.socket.recv(65_536):
                raise ConnectionError
            if events & selectors.EVENT_WRITE:
                self.last_progress = time.monotonic()
                if not client.send():
                    self.sending -= 1
                    if client.reads:
                        self.selector.modify(client.socket, selectors.EVENT_READ, client)
                    else:
                        self.selector.unregister(client.socket)
        except BlockingIOError:
            pass
        except OSError:
            self.closed += 1
            self.sending -= not client.has_sent_all
            self.selector.unregister(client.socket)

    def has_acted(self):
        """Returns whether all has been sent, or nothing could be sent for some time."""
        return self.sending == 0 or time.monotonic() - self.last_progress > STALL_SECONDS


class Watch:
    """Samples the resident set and the descriptors of a process in a thread of its own."""

    def __init__(self, process):
        self.process = process
        self.resident_mb = self.peak_mb = 0.0
        self.descriptors = 0
        self.last_change = time.monotonic()
        self.is_ending = False
        self.thread = threading.Thread(target=self.run)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *unused):
        self.is_ending = True
        self.thread.join()

    def run(self):
        while not self.is_ending:
            self.sample()
            time.sleep(0.02)

    def is_changing(self):
        """Returns whether the resident set has changed within the last second."""
        return time.monotonic() - self.last_change < 1

    def sample(self):
        folder = pathlib.Path(f"/proc/{self.process.pid}")
        try:
            fields = dict(line.split(":", 1) for line in (folder / "status").read_text().splitlines())
            if "VmHWM" in fields:
                before = self.resident_mb
                self.resident_mb = int(fields["VmRSS"].split()[0]) * 1024 / 1e6
                # The kernel may count the peak a little behind the present value.
                self.peak_mb = max(int(fields["VmHWM"].split()[0]) * 1024 / 1e6, self.resident_mb)
                if abs(self.resident_mb - before) > 0.1:
                    self.last_change = time.monotonic()
            self.descriptors = max(self.descriptors, len(os.listdir(folder / "fd")))
        except OSError:
            pass  # The process has ended, which the case itself checks.


def head(method, path, *fields):
    """Returns the head of a request without its last, empty line."""
    return "".join(f"{line}\r\n" for line in (f"{method} {path} HTTP/1.1", "Host: crowd", *fields)).encode()


def in_pieces(size, piece):
    """Returns pieces of `piece` bytes with `size` bytes in total."""
    whole, rest = divmod(size, piece)
    block = b"x" * piece
    for _ in range(whole):
        yield block
    if rest:
        yield block[:rest]


def short_fields(size):
    """Returns fields of five bytes each, which fill `size` bytes at most."""
    return b"a:b\r\n" * (size // 5)


AUTHORISED = f"Authorization: Bearer {KEY}"
# Where a crowd sends: the port and the request line with its fields.
PLACES = {
    "keyed_route": (fleet.CALLER_PORT, ("POST", "/permits/1", AUTHORISED)),
    "open_route": (fleet.CALLER_PORT, ("POST", "/tides/1")),
    "no_route": (fleet.CALLER_PORT, ("POST", "/nowhere")),
    "wrong_key": (fleet.CALLER_PORT, ("POST", "/permits/1", "Authorization: Bearer wrong-key")),
    "gate": (fleet.GATE_PORT, ("POST", "/permits/1", AUTHORISED)),
    "readiness": (READY_PORT, ("POST", "/")),
    "announcement": (fleet.ANNOUNCE_PORT, ("POST", "/announce")),
    "administration": (fleet.ADMIN_PORT, ("PUT", "/v1/documents/crowds")),
    "metrics": (METRICS_PORT, ("POST", "/metrics")),
}


def unfinished_body(place, length, sent, piece):
    """Sends a head with a length and the first `sent` bytes of the body in pieces."""
    yield head(*PLACES[place][1], f"Content-Length: {length}") + b"\r\n"
    yield from in_pieces(sent, piece)


def unfinished_chunks(place, size, chunk):
    """Sends `size` bytes in chunks, but no last chunk."""
    yield head(*PLACES[place][1], "Transfer-Encoding: chunked") + b"\r\n"
    for piece in in_pieces(size, chunk):
        yield f"{len(piece):x}\r\n".encode() + piece + b"\r\n"


class MisbehavingCallers(unittest.TestCase):
    """See the description of this file."""

    def run_crowd(self, place, clients, hosts=1):
        """Starts a fleet, lets `clients` act on the first host and checks all hosts."""
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
        options = {"slots": 1_000, "service_time_ms": 5}
        services = [("permits", options), ("tides", options)]
        with LimitedFleet({"crowds": [[]] * (hosts - 1) + [services]}) as started:
            with socket.create_server((started.hosts[-1].ip, HELD_PORT), backlog=1_024) as held:
                self.start(started, held)
                self.act(started, place, clients)
        shutil.rmtree(started.folder)  # The logs stay where the case fails.

    def start(self, started, held):
        started.start()
        first, last = started.hosts[0], started.hosts[-1]
        written = fleet.wait_until(
            lambda: started.admin(first, "PUT", "/v1/documents/crowds", document(),
                                  {"If-None-Match": "*"}).status in (200, 412), START_SECONDS)
        self.assertTrue(written, "the document is not accepted")
        # `held` accepts no connection, so its requests stay in progress.
        announcement = {"endpoint": "held", "service": "held", "ip": last.ip, "port": held.getsockname()[1],
                        "slots": 1_000, "warmth": "warm", "time_to_live_ms": 60_000}
        url = f"http://{last.ip}:{fleet.ANNOUNCE_PORT}/announce"
        answer = fleet.request("POST", url, body=json.dumps(announcement).encode())
        self.assertEqual(answer.status // 100, 2, "the silent upstream is not accepted")
        for path in ("/permits/1", "/tides/1"):
            served = fleet.wait_until(
                lambda: started.call(first, "GET", path, KEY).status == 200, START_SECONDS)
            self.assertTrue(served, f"{path} is not served before the crowd acts")

    def act(self, started, place, clients):
        first = started.hosts[0]
        problems = []

        def ask(when):
            calls = {"ordinary request": lambda: started.call(first, "GET", "/permits/1", KEY, timeout=5)}
            if place == "readiness":
                url = f"http://{first.ip}:{READY_PORT}/"
                calls["readiness"] = lambda: fleet.request("GET", url, timeout=5)
            for name, call in calls.items():
                if not fleet.wait_until(lambda: call().status == 200, ANSWER_SECONDS, 0.2):
                    problems.append(f"no 200 for the {name} {when}")

        watches = [Watch(host.process) for host in started.hosts]
        for watch in watches:
            watch.__enter__()
        try:
            with Crowd((first.ip, PLACES[place][0]), clients) as crowd:
                fleet.wait_until(crowd.has_acted, ACT_SECONDS)
                # What has been sent may not have been read yet.
                fleet.wait_until(lambda: not any(watch.is_changing() for watch in watches), ACT_SECONDS)
                if place == "announcement":
                    time.sleep(ANNOUNCED_SECONDS)  # The upstreams must be able to announce themselves again.
                resident = [watch.resident_mb for watch in watches]
                ask("while the crowd is connected")
                sent = sum(client.has_sent_all for client in clients)
            ask("after the crowd has left")
        finally:
            for watch in watches:
                watch.__exit__()
        for host, watch, with_crowd in zip(started.hosts, watches, resident):
            watch.sample()
            if host.process.poll() is not None:
                problems.append(f"{host.name} has ended with {host.process.returncode}")
            if watch.peak_mb > MEMORY_LIMIT_MB:
                problems.append(f"{host.name} has a peak of {watch.peak_mb:.0f} MB")
            if watch.descriptors >= DESCRIPTOR_BOUND:
                problems.append(f"{host.name} has {watch.descriptors} descriptors open")
            print(f"{self._testMethodName[5:]}: {host.name} peak {watch.peak_mb:.1f} MB, "
                  f"{with_crowd:.1f} MB with the crowd, descriptors {watch.descriptors}; "
                  f"crowd {len(clients)}, sent all {sent}, closed {crowd.closed}", flush=True)
        self.assertEqual(problems, [])

    # Bodies of legal size that stop one byte short of their end.

    def body_in_one_piece(self, place):
        self.run_crowd(place, [Client(unfinished_body(place, MAX_BODY, MAX_BODY - 1, MAX_BODY - 1))
                               for _ in range(BODY_CROWD)])

    def body_in_small_pieces(self, place):
        self.run_crowd(place, [Client(unfinished_body(place, MAX_BODY, MAX_BODY - 1, 2_048))
                               for _ in range(BODY_CROWD)])

    def body_in_chunks(self, place):
        self.run_crowd(place, [Client(unfinished_chunks(place, MAX_BODY - 1, 1_024))
                               for _ in range(BODY_CROWD)])

    def test_body_in_one_piece_at_keyed_route(self):
        self.body_in_one_piece("keyed_route")

    def test_body_in_one_piece_at_open_route(self):
        self.body_in_one_piece("open_route")

    def test_body_in_one_piece_at_no_route(self):
        self.body_in_one_piece("no_route")

    def test_body_in_one_piece_at_wrong_key(self):
        self.body_in_one_piece("wrong_key")

    def test_body_in_one_piece_at_gate(self):
        self.body_in_one_piece("gate")

    def test_body_in_one_piece_at_readiness(self):
        self.body_in_one_piece("readiness")

    def test_body_in_one_piece_at_announcement(self):
        self.body_in_one_piece("announcement")

    def test_body_in_one_piece_at_administration(self):
        self.body_in_one_piece("administration")

    def test_body_in_one_piece_at_metrics(self):
        self.body_in_one_piece("metrics")

    def test_body_in_small_pieces_at_keyed_route(self):
        self.body_in_small_pieces("keyed_route")

    def test_body_in_small_pieces_at_open_route(self):
        self.body_in_small_pieces("open_route")

    def test_body_in_small_pieces_at_no_route(self):
        self.body_in_small_pieces("no_route")

    def test_body_in_small_pieces_at_wrong_key(self):
        self.body_in_small_pieces("wrong_key")

    def test_body_in_small_pieces_at_gate(self):
        self.body_in_small_pieces("gate")

    def test_body_in_small_pieces_at_readiness(self):
        self.body_in_small_pieces("readiness")

    def test_body_in_small_pieces_at_announcement(self):
        self.body_in_small_pieces("announcement")

    def test_body_in_small_pieces_at_administration(self):
        self.body_in_small_pieces("administration")

    def test_body_in_small_pieces_at_metrics(self):
        self.body_in_small_pieces("metrics")

    def test_body_in_chunks_at_keyed_route(self):
        self.body_in_chunks("keyed_route")

    def test_body_in_chunks_at_open_route(self):
        self.body_in_chunks("open_route")

    def test_body_in_chunks_at_no_route(self):
        self.body_in_chunks("no_route")

    def test_body_in_chunks_at_wrong_key(self):
        self.body_in_chunks("wrong_key")

    def test_body_in_chunks_at_gate(self):
        self.body_in_chunks("gate")

    def test_body_in_chunks_at_readiness(self):
        self.body_in_chunks("readiness")

    def test_body_in_chunks_at_announcement(self):
        self.body_in_chunks("announcement")

    def test_body_in_chunks_at_administration(self):
        self.body_in_chunks("administration")

    def test_body_in_chunks_at_metrics(self):
        self.body_in_chunks("metrics")

    # Bodies far over the limit.

    def body_over_the_limit(self, place):
        self.run_crowd(place, [Client(unfinished_body(place, 1024 * MAX_BODY, 4 * MAX_BODY, 65_536))
                               for _ in range(BODY_CROWD)])

    def endless_chunks(self, place):
        self.run_crowd(place, [Client(unfinished_chunks(place, 4 * MAX_BODY, 16_384))
                               for _ in range(BODY_CROWD)])

    def test_body_over_the_limit_at_keyed_route(self):
        self.body_over_the_limit("keyed_route")

    def test_body_over_the_limit_at_readiness(self):
        self.body_over_the_limit("readiness")

    def test_endless_chunks_at_keyed_route(self):
        self.endless_chunks("keyed_route")

    def test_endless_chunks_at_readiness(self):
        self.endless_chunks("readiness")

    # Heads and trailers of very many short fields.

    def test_short_fields_of_requests_in_progress(self):
        # The host writes a space after each colon and adds fields of its own. The head that its own gate
        # receives must stay inside the limit as well, or the request is not in progress for long.
        request = head("GET", "/held/1", AUTHORISED) + b"a: b\r\n" * ((MAX_HEAD - 1_500) // 6) + b"\r\n"
        self.run_crowd("keyed_route", [Client(iter([request])) for _ in range(BODY_CROWD)])

    def test_short_fields_before_unfinished_bodies(self):
        begun = head("POST", "/permits/1", AUTHORISED, "Content-Length: 100")
        begun += short_fields(MAX_HEAD - 200) + b"\r\n" + b"x" * 99
        self.run_crowd("keyed_route", [Client(iter([begun])) for _ in range(WIDE_CROWD)])

    def test_short_fields_of_pipelined_requests(self):
        request = head("GET", "/nowhere") + short_fields(MAX_HEAD - 200) + b"\r\n"
        self.run_crowd("no_route", [Client(iter([request] * 200), reads=False) for _ in range(WIDE_CROWD)])

    def short_trailer_fields(self, place):
        begun = head(*PLACES[place][1], "Transfer-Encoding: chunked") + b"\r\n1\r\nx\r\n0\r\n"
        self.run_crowd(place, [Client(iter([begun] + [short_fields(16_384)] * 64))
                               for _ in range(WIDE_CROWD)])

    def test_short_trailer_fields_at_keyed_route(self):
        self.short_trailer_fields("keyed_route")

    def test_short_trailer_fields_at_readiness(self):
        self.short_trailer_fields("readiness")

    # Pipelined requests whose answers are not read.

    def pipelined_requests(self, place, count, *line):
        requests = (head(*line) + b"\r\n") * 100
        self.run_crowd(place, [Client(iter([requests] * (PIPELINED // 100)), reads=False)
                               for _ in range(count)])

    def test_pipelined_requests_at_keyed_route(self):
        self.pipelined_requests("keyed_route", BODY_CROWD, "GET", "/permits/1", AUTHORISED)

    def test_pipelined_requests_at_no_route(self):
        self.pipelined_requests("no_route", WIDE_CROWD, "GET", "/nowhere")

    def test_pipelined_requests_at_readiness(self):
        self.pipelined_requests("readiness", WIDE_CROWD, "GET", "/")

    # Large answers that are not read.

    def test_large_answers_not_read(self):
        request = head("GET", f"/permits/download/{DOWNLOAD_SIZE}", AUTHORISED) + b"\r\n"
        self.run_crowd("keyed_route", [Client(iter([request]), reads=False) for _ in range(READER_CROWD)],
                       hosts=2)

    # Heads that come byte by byte.

    def head_byte_by_byte(self, place):
        text = head(*PLACES[place][1]) + b"X-Long: " + b"x" * 3_000
        self.run_crowd(place, [Client(bytes([byte]) for byte in text) for _ in range(BODY_CROWD)])

    def test_head_byte_by_byte_at_keyed_route(self):
        self.head_byte_by_byte("keyed_route")

    def test_head_byte_by_byte_at_readiness(self):
        self.head_byte_by_byte("readiness")

    # Clients that shut down their writing side in the middle of a body.

    def half_closed(self, place):
        self.run_crowd(place, [Client(unfinished_body(place, MAX_BODY, MAX_BODY // 2, 65_536),
                                      shuts_down=True) for _ in range(WIDE_CROWD)])

    def test_half_closed_at_keyed_route(self):
        self.half_closed("keyed_route")

    def test_half_closed_at_readiness(self):
        self.half_closed("readiness")

    # More idle connections than there are descriptors.

    def idle(self, place):
        self.run_crowd(place, [Client(iter([])) for _ in range(IDLE_CROWD)])

    def test_idle_at_caller_port(self):
        self.idle("keyed_route")

    def test_idle_at_gate(self):
        self.idle("gate")

    def test_idle_at_readiness(self):
        self.idle("readiness")

    def test_idle_at_announcement(self):
        self.idle("announcement")

    def test_idle_at_administration(self):
        self.idle("administration")

    def test_idle_at_metrics(self):
        self.idle("metrics")

if __name__ == "__main__":
    names = [f"MisbehavingCallers.test_{name}" for name in sys.argv[1:]]
    unittest.main(argv=sys.argv[:1] + names, verbosity=0)
