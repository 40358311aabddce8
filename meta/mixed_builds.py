"""Runs hosts of two builds in one fleet and checks that they work together.

Usage: meta/mixed-builds FOLDER   (the folder with the programs of the other build)

Half of the hosts run the other build. The checks cover documents, requests, rate limits with tokens
that one host borrows from others, ejections, and the restart of each host with the other build
during a load of POST requests. The store, the upstreams and the command line are this build's.
"""
import concurrent.futures
import json
import pathlib
import subprocess
import sys
import time

import fleet as fleet_module
from fleet import Fleet, digest, run_concurrently, wait_until

THIS_BUILD = fleet_module.BIN
KEY, LIMITED_KEY = "clerk-key", "limited-key"
RATE, BURST, LIMIT_SECONDS = 40, 40, 6
LAYOUT = {name: [[("permits", {"slots": 8, "service_time_ms": 20})] for _ in range(2)]
          for name in ("north", "middle", "south")}


class MixedFleet(Fleet):
    """A fleet whose hosts run the build in the folder that `folders` names for each of them."""

    def __init__(self, layout, other_build):
        super().__init__(layout)
        self.folders = {host.name: other_build if number % 2 else THIS_BUILD
                        for number, host in enumerate(self.hosts)}

    def start_host(self, host):
        path = self.folder / f"{host.name}.yaml"
        path.write_text(json.dumps(self.settings_of(host)))
        host.process = self.spawn(host.name, self.folders[host.name] / "chivevaned",
                                  f"--settings={path}")


class Checks:
    """Prints the result of each check and counts the failures."""

    def __init__(self):
        self.failed = 0

    def check(self, name, is_right, seen):
        self.failed += not is_right
        print(f"{'ok  ' if is_right else 'FAIL'} {name}: {seen}", flush=True)


def document(marker):
    return json.dumps({
        "document": "trial",
        "organisations": [
            {"name": "clerks", "rate": 5000, "burst": 5000 + marker,
             "keys": [{"name": "key", "digest": digest(KEY)}]},
            {"name": "limited", "rate": RATE, "burst": BURST,
             "keys": [{"name": "key", "digest": digest(LIMITED_KEY)}]}],
        "services": [{"name": "permits", "floor": 0.5}],
        "routes": [{"name": "permits", "path_prefix": "/permits", "service": "permits",
                    "timeout_ms": 2500}]}).encode()


def put(fleet, host, marker, revision):
    condition = {"If-Match": f'"{revision}"'} if revision else {"If-None-Match": "*"}
    return fleet.admin(host, "PUT", "/v1/documents/trial", document(marker), condition).status


def revisions(fleet):
    answers = [fleet.admin(host, "GET", "/v1/documents/trial") for host in fleet.hosts]
    return [int(answer.headers["ETag"].strip('"')) if answer.status == 200 else 0
            for answer in answers]


def agree_on_documents(fleet, checks):
    for number, name in ((0, "this build"), (1, "the other build")):
        host = fleet.hosts[number]
        before = max(revisions(fleet))
        accepted = wait_until(lambda: put(fleet, host, number, before) in (200, 412), 20, 0.5)
        agreed = wait_until(lambda: set(revisions(fleet)) == {before + 1}, 10)
        checks.check(f"a document written through {name} is in force on every host",
                     accepted and agreed, revisions(fleet))


def see_each_other_alive(fleet):
    names = {host.name for host in fleet.hosts}
    for host in fleet.hosts:
        answer = fleet.admin(host, "GET", "/v1/hosts")
        rows = answer.json()["hosts"] if answer.status == 200 else []
        if {row["host"] for row in rows if row["status"] == "alive"} != names:
            return False
    return True


def all_serve(fleet):
    answers = run_concurrently([lambda host=host: fleet.call(host, "GET", "/permits/1", KEY).status
                                for host in fleet.hosts])
    return set(answers) == {200}


def limit_rate(fleet, checks):
    """A single host takes the whole rate of an organisation, so it borrows from the brokers."""
    for number, name in ((0, "this build"), (1, "the other build")):
        host = fleet.hosts[number]
        time.sleep(2 * BURST / RATE)
        start = time.monotonic()

        def call_once(_):
            return fleet.call(host, "GET", "/permits/1", LIMITED_KEY).status

        statuses = []
        with concurrent.futures.ThreadPoolExecutor(max_workers=8) as pool:
            while time.monotonic() - start < LIMIT_SECONDS:
                statuses += pool.map(call_once, range(8))
        elapsed = time.monotonic() - start
        served, bound = statuses.count(200), BURST + RATE * elapsed
        checks.check(f"a host of {name} serves no more than the rate of the fleet",
                     served <= bound, f"{served} of {len(statuses)}, bound {bound:.0f}")
        checks.check(f"a host of {name} borrows the rate of the others", served >= 0.8 * bound,
                     f"{served} of {len(statuses)}, bound {bound:.0f}, "
                     f"{bound / len(fleet.hosts):.0f} without loans")


def statuses_of(fleet, endpoint):
    """The health status of an upstream on each host that knows it."""
    found = []
    for host in fleet.hosts:
        rows = fleet.admin(host, "GET", "/v1/upstreams").json()["upstreams"]
        found += [row["standing"] for row in rows if row["endpoint"] == endpoint]
    return found


def agree_on_ejections(fleet, checks):
    for number, name in ((0, "this build"), (1, "the other build")):
        upstream = fleet.hosts[number].upstreams[0]
        fleet.control_upstream(upstream, errors=1.0)

        def is_ejected():
            run_concurrently([lambda host=host: fleet.call(host, "GET", "/permits/1", KEY).status
                              for host in fleet.hosts for _ in range(4)])
            return statuses_of(fleet, upstream["endpoint"]) == ["ejected"] * len(fleet.hosts)

        ejected = wait_until(is_ejected, 20)
        checks.check(f"every host ejects a failing upstream behind {name}", ejected,
                     statuses_of(fleet, upstream["endpoint"]))
        fleet.control_upstream(upstream)

        def is_back():
            run_concurrently([lambda host=host: fleet.call(host, "GET", "/permits/1", KEY).status
                              for host in fleet.hosts for _ in range(4)])
            return "ejected" not in statuses_of(fleet, upstream["endpoint"])

        back = wait_until(is_back, 30)
        checks.check(f"the upstream behind {name} returns", back,
                     statuses_of(fleet, upstream["endpoint"]))


def restart_with_other_build(fleet, checks, other_build):
    """Each host is stopped and started with the other build while POST requests go on."""
    before = revisions(fleet)
    is_done = [False]
    outcomes = {}

    def post_until_done():
        number = 0
        while not is_done[0]:
            host = fleet.hosts[number % len(fleet.hosts)]
            body = f"restart-{number}"
            answer = fleet.call(host, "POST", "/permits", KEY, body.encode(), timeout=6)
            if 200 <= answer.status < 300:
                outcomes[body] = "run"
            elif answer.status and b"not-run" in answer.body:
                outcomes[body] = "not-run"
            else:
                outcomes[body] = "unknown"
            number += 1

    with concurrent.futures.ThreadPoolExecutor(max_workers=1) as pool:
        posting = pool.submit(post_until_done)
        for host in fleet.hosts:
            is_other = fleet.folders[host.name] != THIS_BUILD
            fleet.folders[host.name] = THIS_BUILD if is_other else other_build
            host.process.terminate()
            host.process.wait(timeout=15)
            checks.check(f"{host.name} stops gracefully", host.process.returncode == 0,
                         host.process.returncode)
            fleet.start_host(host)
            served = wait_until(
                lambda: fleet.call(host, "GET", "/permits/1", KEY).status == 200, 20)
            checks.check(f"{host.name} serves as {'this' if is_other else 'the other'} build", served,
                         served)
        is_done[0] = True
        posting.result()
    runs = fleet.upstream_runs()
    counts = {name: list(outcomes.values()).count(name) for name in ("run", "not-run", "unknown")}
    checks.check("no POST runs twice", all(runs.get(body, 0) <= 1 for body in outcomes), counts)
    checks.check("every successful POST runs once, none that is reported as not run does",
                 all(runs.get(body, 0) == (outcome == "run") for body, outcome in outcomes.items()
                     if outcome != "unknown"), counts)
    kept = revisions(fleet)
    checks.check("every host keeps the document", kept == before, kept)


def check_settings(fleet, checks, other_build):
    for host in fleet.hosts[:2]:
        for folder in (THIS_BUILD, other_build):
            code = subprocess.run([folder / "chivevaned", "--check_settings",
                                   f"--settings={fleet.folder / (host.name + '.yaml')}"],
                                  capture_output=True, check=False).returncode
            checks.check("both builds accept the settings", code == 0, code)


def main():
    other_build = pathlib.Path(sys.argv[1]).resolve()
    checks = Checks()
    with MixedFleet(LAYOUT, other_build) as fleet:
        fleet.start()
        check_settings(fleet, checks, other_build)
        wait_until(lambda: put(fleet, fleet.hosts[0], 9, 0) in (200, 412), 20, 0.5)
        checks.check("all hosts see each other alive", wait_until(lambda: see_each_other_alive(fleet), 20),
                     len(fleet.hosts))
        checks.check("all hosts serve", wait_until(lambda: all_serve(fleet), 20), len(fleet.hosts))
        for round_name in ("half of each build", "each half restarted as the other"):
            print(f"-- {round_name}", flush=True)
            agree_on_documents(fleet, checks)
            time.sleep(10)  # A restarted host waits until its units are free in the roster.
            limit_rate(fleet, checks)
            agree_on_ejections(fleet, checks)
            if round_name == "half of each build":
                restart_with_other_build(fleet, checks, other_build)
                alive = wait_until(lambda: see_each_other_alive(fleet), 20)
                checks.check("all hosts see each other alive", alive, len(fleet.hosts))
        if checks.failed:
            print(f"logs: {fleet.folder}")
    print("mixed builds passed" if checks.failed == 0 else f"mixed builds: {checks.failed} failed")
    return 1 if checks.failed else 0


sys.exit(main())
