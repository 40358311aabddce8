"""Demonstrates callers with keys, three data centres and an operator who edits the document.

Prints one line for each step with the expected and the actual result; exits non-zero on a mismatch.
"""
import hashlib
import json
import subprocess
import sys
import time

import fleet as fleet_module
from fleet import (ADMIN_PORT, BIN, Fleet, OPERATOR_TOKEN, ROOT, holds_for, run_concurrently,
                   wait_until)

# API keys of the sample document, as samples/README.md lists them.
KEY, WITHDRAWN_KEY = "sample-blackmorass-parish-office-office", "sample-blackmorass-rangers-phones"
DOWNLOAD_SIZE = 64 * 1024 * 1024

LAYOUT = {datacentre: [[("tides", {"slots": 8})], [("permits", {"slots": 8})]]
          for datacentre in ("blackriver", "marshgate", "saltpan")}


class Steps:
    """Prints the result of each step and counts the failures."""

    def __init__(self):
        self.failed = 0

    def check(self, name, expected, seen):
        is_right = expected == seen
        self.failed += not is_right
        print(f"{'ok  ' if is_right else 'FAIL'} {name}: expected {expected}, saw {seen}", flush=True)


def run_control(fleet, *words, output="text"):
    """Runs chivevanectl against two hosts; returns its exit code and output."""
    hosts = ",".join(f"{host.ip}:{ADMIN_PORT}" for host in fleet.hosts[:2])
    completed = subprocess.run([BIN / "chivevanectl", f"--host={hosts}",
                                f"--token={OPERATOR_TOKEN}",
                                f"--output={output}", *words],
                               capture_output=True, text=True, check=False)
    return completed.returncode, completed.stdout


def statuses(fleet, method, path, key=None, body=None):
    calls = [lambda host=host: fleet.call(host, method, path, key, body).status for host in fleet.hosts]
    return run_concurrently(calls)


def endpoints_serving(fleet, path, count):
    """Returns the endpoints that answered `count` requests to all hosts, and the highest status."""
    hosts = fleet.hosts
    answers = run_concurrently(
        [lambda n=n: fleet.call(hosts[n % len(hosts)], "GET", path) for n in range(count)])
    names = {answer.body.split()[0].decode().removeprefix("endpoint=") for answer in answers
             if answer.status == 200}
    return names, max(answer.status or 999 for answer in answers)


def upstreams_in(fleet, datacentre, service):
    return {upstream["endpoint"] for host in fleet.hosts if host.datacentre == datacentre
            for upstream in host.upstreams if upstream["service"] == service}


def apply_document(fleet, steps):
    sample = ROOT / "samples" / "blackmorass.yaml"
    steps.check("chivevanectl check", 0, run_control(fleet, "check", sample)[0])
    accepted = wait_until(lambda: run_control(fleet, "apply", sample)[0] == 0, 10)
    steps.check("chivevanectl apply", True, accepted)
    steps.check("in force everywhere", 0,
                run_control(fleet, "--wait=18", "rollout", "blackmorass")[0])


def serve_requests(fleet, steps):
    everywhere = [200] * len(fleet.hosts)
    # Membership changes right after a start, and with it the hosts that broker rate limit tokens.
    ready = holds_for(lambda: statuses(fleet, "GET", "/permits/1", KEY) == everywhere
                      and statuses(fleet, "GET", "/tides/1") == everywhere, 2, within=30)
    steps.check("fleet ready", True, ready)
    steps.check("open route on every host", everywhere, statuses(fleet, "GET", "/tides/today"))
    steps.check("keyed route on every host", everywhere, statuses(fleet, "GET", "/permits/7", KEY))
    steps.check("no key", 401, fleet.call(fleet.hosts[1], "GET", "/permits/7").status)
    steps.check("no such route", 404, fleet.call(fleet.hosts[1], "GET", "/nothing").status)
    posted = fleet.call(fleet.hosts[2], "POST", "/permits", KEY, b"permit-1")
    steps.check("POST", 200, posted.status)
    steps.check("POST ran once", 1, fleet.upstream_runs().get("permit-1"))


def download(fleet, steps):
    direct = fleet.hosts[1].upstreams[0]
    url = f"http://{direct['ip']}:{direct['port']}/download/{DOWNLOAD_SIZE}"
    expected = hashlib.sha256(fleet_module.request("GET", url, timeout=30).body).hexdigest()
    seen = fleet.call(fleet.hosts[0], "GET", f"/permits/download/{DOWNLOAD_SIZE}", KEY, timeout=30)
    steps.check("64 MB download by hash", (DOWNLOAD_SIZE, expected),
                (len(seen.body), hashlib.sha256(seen.body).hexdigest()))


def take_datacentre_out_and_back(fleet, steps):
    leaving = upstreams_in(fleet, "saltpan", "tides")
    out = run_control(fleet, "datacentre", "out", "blackmorass", "saltpan")[0]
    steps.check("chivevanectl datacentre out", 0, out)
    time.sleep(3)
    served, worst = endpoints_serving(fleet, "/tides/today", 60)
    steps.check("no new work there, nothing refused", (set(), 200), (served & leaving, worst))
    back = run_control(fleet, "datacentre", "in", "blackmorass", "saltpan")[0]
    steps.check("chivevanectl datacentre in", 0, back)
    is_back = wait_until(lambda: leaving & endpoints_serving(fleet, "/tides/today", 60)[0], 20)
    steps.check("work there again", True, bool(is_back))


def withdraw_key(fleet, steps):
    everywhere = [200] * len(fleet.hosts)
    steps.check("key works", everywhere, statuses(fleet, "GET", "/permits/7", WITHDRAWN_KEY))
    withdrawn = run_control(fleet, "key", "withdraw", "blackmorass", "rangers", "phones")[0]
    steps.check("chivevanectl key withdraw", 0, withdrawn)
    refused = [401] * len(fleet.hosts)
    wait_until(lambda: statuses(fleet, "GET", "/permits/7", WITHDRAWN_KEY) == refused, 5)
    steps.check("refused on every host within 5 s", refused,
                statuses(fleet, "GET", "/permits/7", WITHDRAWN_KEY))
    steps.check("other keys go on", everywhere, statuses(fleet, "GET", "/permits/7", KEY))


def serve_without_store(fleet, steps):
    fleet.control_store(mode="away")
    time.sleep(1)
    everywhere = [200] * len(fleet.hosts)
    steps.check("requests go on while the store is away", everywhere,
                statuses(fleet, "GET", "/permits/7", KEY))
    fleet.control_store(mode="up")


def read_timeline(fleet, steps):
    code, text = run_control(fleet, "--limit=200", "timeline", output="json")
    steps.check("chivevanectl timeline", 0, code)
    entries = json.loads(text)
    entries = entries["entries"] if isinstance(entries, dict) else entries
    steps.check("entries of every host", {host.name for host in fleet.hosts},
                {entry["host"] for entry in entries})


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
        for part in (apply_document, serve_requests, download, take_datacentre_out_and_back,
                     withdraw_key, serve_without_store, read_timeline, shut_down):
            part(fleet, steps)
        if steps.failed:
            print(f"logs: {fleet.folder}")
    print("demo passed" if steps.failed == 0 else f"demo failed: {steps.failed} steps")
    return 1 if steps.failed else 0


sys.exit(main())
