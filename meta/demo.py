"""Shows the main job: callers with keys, three data centres, an operator who changes the document.

Prints one line for each step with what was expected and seen; exits non-zero on any mismatch.
"""
import hashlib
import sys
import time

import fleet as fleet_module
from fleet import Fleet, digest, holds_for, together, wait_until

KEY, WITHDRAWN_KEY = "parish-office-key", "ranger-phone-key"
DOWNLOAD_SIZE = 64 * 1024 * 1024

LAYOUT = {
    "blackriver": [[("tides", {"slots": 8})], [("permits", {"slots": 8})]],
    "marshgate": [[("tides", {"slots": 8})], [("permits", {"slots": 8})]],
    "saltpan": [[("tides", {"slots": 8})], [("permits", {"slots": 8})]],
}

DOCUMENT = f"""document: blackmorass
organisations:
  - name: parish
    rate: 200
    burst: 200
    keys:
      - {{name: office, digest: {digest(KEY)}}}
  - name: rangers
    rate: 100
    burst: 100
    keys:
      - {{name: phone, digest: {digest(WITHDRAWN_KEY)}}}
services:
  - {{name: tides, floor: 0.5}}
  - {{name: permits, floor: 0.5}}
routes:
  - {{name: tide-notes, path_prefix: /tides, service: tides, open_to_all: true, timeout_ms: 3000}}
  - {{name: permits, path_prefix: /permits, service: permits, timeout_ms: 20000}}
datacentres_out: [@OUT@]
"""


class Steps:
    """Counts and prints the steps."""

    def __init__(self):
        self.failed = 0

    def check(self, name, expected, seen):
        is_right = expected == seen
        self.failed += not is_right
        print(f"{'ok  ' if is_right else 'FAIL'} {name}: expected {expected}, saw {seen}", flush=True)


def document(out="", without_key=None):
    text = DOCUMENT.replace("@OUT@", out)
    if without_key:
        lines = [line for line in text.splitlines() if digest(without_key) not in line]
        text = "\n".join(lines).replace("    keys:\nservices", "    keys: []\nservices") + "\n"
    return text.encode()


def apply(fleet, text):
    """Writes the document over whichever revision is in force; returns the status."""
    host = fleet.hosts[0]
    current = fleet.admin(host, "GET", "/v1/documents/blackmorass")
    condition = {"If-Match": current.headers["ETag"]} if current.status == 200 else {"If-None-Match": "*"}
    return fleet.admin(host, "PUT", "/v1/documents/blackmorass", text, condition).status


def statuses(fleet, method, path, key=None, body=None):
    calls = [lambda host=host: fleet.call(host, method, path, key, body).status for host in fleet.hosts]
    return together(calls)


def endpoints_serving(fleet, path, count):
    """The endpoints that answered `count` requests spread over all hosts, and the worst status."""
    hosts = fleet.hosts
    answers = together([lambda n=n: fleet.call(hosts[n % len(hosts)], "GET", path) for n in range(count)])
    names = {answer.body.split()[0].decode().removeprefix("endpoint=") for answer in answers
             if answer.status == 200}
    return names, max(answer.status or 999 for answer in answers)


def upstreams_in(fleet, datacentre, service):
    return {upstream["endpoint"] for host in fleet.hosts if host.datacentre == datacentre
            for upstream in host.upstreams if upstream["service"] == service}


def serve_requests(fleet, steps):
    everywhere = [200] * len(fleet.hosts)
    steps.check("open route on every host", everywhere, statuses(fleet, "GET", "/tides/today"))
    steps.check("keyed route on every host", everywhere, statuses(fleet, "GET", "/permits/7", KEY))
    steps.check("no key", 401, fleet.call(fleet.hosts[1], "GET", "/permits/7").status)
    posted = fleet.call(fleet.hosts[2], "POST", "/permits", KEY, b"permit-1")
    steps.check("POST", 200, posted.status)
    steps.check("POST ran once", 1, fleet.upstream_runs().get("permit-1"))


def download(fleet, steps):
    expected = hashlib.sha256(bytes((n * 31 + (n >> 12)) & 0xFF for n in range(1 << 20))).hexdigest()
    small = fleet.call(fleet.hosts[3], "GET", f"/permits/download/{1 << 20}", KEY, timeout=30)
    steps.check("1 MB download by hash", expected, hashlib.sha256(small.body).hexdigest())
    direct = fleet.hosts[1].upstreams[0]
    url = f"http://{direct['ip']}:{direct['port']}/download/{DOWNLOAD_SIZE}"
    wanted = hashlib.sha256(fleet_module.request("GET", url, timeout=30).body).hexdigest()
    seen = fleet.call(fleet.hosts[0], "GET", f"/permits/download/{DOWNLOAD_SIZE}", KEY, timeout=30)
    steps.check("64 MB download by hash", (DOWNLOAD_SIZE, wanted),
                (len(seen.body), hashlib.sha256(seen.body).hexdigest()))


def take_datacentre_out_and_back(fleet, steps):
    leaving = upstreams_in(fleet, "saltpan", "tides")
    steps.check("data centre saltpan out", 200, apply(fleet, document(out="saltpan")))
    time.sleep(3)
    served, worst = endpoints_serving(fleet, "/tides/today", 60)
    steps.check("no new work there, nothing refused", (set(), 200), (served & leaving, worst))
    steps.check("data centre saltpan back", 200, apply(fleet, document()))
    is_back = wait_until(lambda: leaving & endpoints_serving(fleet, "/tides/today", 60)[0], 20)
    steps.check("work there again", True, bool(is_back))


def withdraw_key(fleet, steps):
    everywhere = [200] * len(fleet.hosts)
    steps.check("key works", everywhere, statuses(fleet, "GET", "/permits/7", WITHDRAWN_KEY))
    steps.check("key withdrawn", 200, apply(fleet, document(without_key=WITHDRAWN_KEY)))
    refused = [401] * len(fleet.hosts)
    wait_until(lambda: statuses(fleet, "GET", "/permits/7", WITHDRAWN_KEY) == refused, 5)
    steps.check("refused on every host within 5 s", refused,
                statuses(fleet, "GET", "/permits/7", WITHDRAWN_KEY))
    steps.check("other keys go on", everywhere, statuses(fleet, "GET", "/permits/7", KEY))


def work_without_store(fleet, steps):
    fleet.control_store(mode="away")
    time.sleep(1)
    everywhere = [200] * len(fleet.hosts)
    steps.check("requests go on while the store is away", everywhere,
                statuses(fleet, "GET", "/permits/7", KEY))
    fleet.control_store(mode="up")


def shut_down(fleet, steps):
    host = fleet.hosts[-1]
    started = time.monotonic()
    host.process.terminate()
    host.process.wait(timeout=15)
    steps.check("graceful shutdown", (0, True), (host.process.returncode, time.monotonic() - started < 12))


def main():
    steps = Steps()
    with Fleet(LAYOUT) as fleet:
        fleet.start()
        first = wait_until(lambda: apply(fleet, document()) == 200, 10)
        steps.check("first document accepted", True, first)
        # Right after a start the members, and with them the brokers of the rates, still change.
        ready = holds_for(lambda: set(statuses(fleet, "GET", "/permits/1", KEY)) == {200}
                          and set(statuses(fleet, "GET", "/tides/1")) == {200}, 2, within=20)
        steps.check("fleet ready", True, ready)
        serve_requests(fleet, steps)
        download(fleet, steps)
        take_datacentre_out_and_back(fleet, steps)
        withdraw_key(fleet, steps)
        work_without_store(fleet, steps)
        shut_down(fleet, steps)
        if steps.failed:
            print(f"logs: {fleet.folder}")
    print("demo passed" if steps.failed == 0 else f"demo failed: {steps.failed} steps")
    return 1 if steps.failed else 0


sys.exit(main())
