"""Injects crashes, pauses and store outages into real processes and checks invariants.

Each check is a safety property (execution at most once, correct "not-run" answers, complete
answers, one winner of a race), so the result does not depend on the speed of the machine.
"""
import collections
import concurrent.futures
import hashlib
import json
import signal
import sys
import time

from fleet import Fleet, digest, request, run_concurrently, wait_until

KEY = "clerk-key"
LAYOUT = {name: [[("permits", {"slots": 8, "service_time_ms": 20})] for _ in range(2)]
          for name in ("north", "middle", "south")}
POSTS, POSTS_AT_ONCE = 240, 24
DOWNLOADS, DOWNLOAD_SIZE = 24, 32 * 1024 * 1024


def document(marker=0):
    return json.dumps({
        "document": "trial",
        "organisations": [{"name": "clerks", "rate": 5000, "burst": 5000 + marker,
                           "keys": [{"name": "key", "digest": digest(KEY)}]}],
        "services": [{"name": "permits", "floor": 0.5}],
        "routes": [{"name": "permits", "path_prefix": "/permits", "service": "permits",
                    "timeout_ms": 2500}]}).encode()


class Checks:
    """Prints the result of each check and counts the failures."""

    def __init__(self):
        self.failed = 0

    def check(self, name, is_right, seen):
        self.failed += not is_right
        print(f"{'ok  ' if is_right else 'FAIL'} {name}: {seen}", flush=True)


def put(fleet, host, text, revision):
    condition = {"If-Match": f'"{revision}"'} if revision else {"If-None-Match": "*"}
    return fleet.admin(host, "PUT", "/v1/documents/trial", text, condition)


def revision_on(fleet, host):
    answer = fleet.admin(host, "GET", "/v1/documents/trial")
    return int(answer.headers["ETag"].strip('"')) if answer.status == 200 else 0


def outcome_of(answer):
    """Returns run, not-run or unknown: what the answer tells the caller about the execution."""
    if 200 <= answer.status < 300:
        return "run"
    try:
        return json.loads(answer.body).get("outcome", "unknown")
    except ValueError:
        return "unknown"


def post_all(fleet, name):
    """Sends POSTs with distinct bodies to all hosts and returns the outcome by body."""
    def post(number):
        body = f"{name}-{number}"
        host = fleet.hosts[number % len(fleet.hosts)]
        time.sleep((number // POSTS_AT_ONCE) * 0.01)
        return body, outcome_of(fleet.call(host, "POST", "/permits", KEY, body.encode(), timeout=6))

    with concurrent.futures.ThreadPoolExecutor(max_workers=POSTS_AT_ONCE) as pool:
        return dict(pool.map(post, range(POSTS)))


def check_posts(fleet, checks, name, outcomes):
    runs = fleet.upstream_runs()
    counts = collections.Counter(outcomes.values())
    doubled = [body for body in outcomes if runs.get(body, 0) > 1]
    false_not_run = [body for body, outcome in outcomes.items()
                     if outcome == "not-run" and runs.get(body, 0) > 0]
    lost = [body for body, outcome in outcomes.items() if outcome == "run" and runs.get(body, 0) != 1]
    checks.check(f"{name}: no POST ran twice", not doubled, f"{len(doubled)} doubled, {dict(counts)}")
    checks.check(f"{name}: no request reported as not-run was run", not false_not_run,
                 f"{len(false_not_run)} were run")
    checks.check(f"{name}: every successful POST ran exactly once", not lost,
                 f"{len(lost)} did not")


def during(action, work):
    """Runs `work`, and runs `action` 0.4 s after its start."""
    with concurrent.futures.ThreadPoolExecutor(max_workers=1) as pool:
        def act():
            time.sleep(0.4)
            action()
        acting = pool.submit(act)
        seen = work()
        acting.result()
    return seen


def kill_host(fleet, checks):
    host = fleet.hosts[-1]
    outcomes = during(host.process.kill, lambda: post_all(fleet, "kill"))
    check_posts(fleet, checks, "host killed", outcomes)
    host.process.wait()
    fleet.start_host(host)
    back = wait_until(lambda: fleet.call(host, "GET", "/permits/1", KEY).status == 200, 20)
    checks.check("killed host serves again after its start", back, back)


def freeze_host(fleet, checks):
    host = fleet.hosts[1]

    def freeze():
        host.process.send_signal(signal.SIGSTOP)
        time.sleep(4)
        host.process.send_signal(signal.SIGCONT)

    check_posts(fleet, checks, "host frozen for 4 s", during(freeze, lambda: post_all(fleet, "freeze")))
    wait_until(lambda: fleet.call(host, "GET", "/permits/1", KEY).status == 200, 20)


def break_upstream(fleet, checks):
    upstream = fleet.hosts[0].upstreams[0]
    fault = dict(stuck=0.2, truncate=0.2, errors=0.2, wrong=0.2)
    outcomes = during(lambda: fleet.control_upstream(upstream, **fault), lambda: post_all(fleet, "gray"))
    check_posts(fleet, checks, "gray upstream", outcomes)
    fleet.control_upstream(upstream)


def race_operators(fleet, checks):
    revision = revision_on(fleet, fleet.hosts[0])
    wait_until(lambda: {revision_on(fleet, host) for host in fleet.hosts} == {revision}, 20)
    answers = run_concurrently(
        [lambda host=host, n=n: put(fleet, host, document(n + 1), revision).status
         for n, host in enumerate(fleet.hosts)])
    checks.check("one operator of six wins", answers.count(200) == 1, answers)
    losers = [status for status in answers if status != 200]
    checks.check("the other operators get 412", set(losers) == {412}, losers)
    is_same_everywhere = wait_until(
        lambda: len({revision_on(fleet, host) for host in fleet.hosts}) == 1, 20)
    checks.check("one revision everywhere", is_same_everywhere,
                 [revision_on(fleet, host) for host in fleet.hosts])


def lose_store_answers(fleet, checks):
    host = fleet.hosts[2]
    before = revision_on(fleet, host)
    fleet.control_store(mode="lose_answers")
    answer = put(fleet, host, document(77), before)
    fleet.control_store(mode="up")
    wait_until(lambda: revision_on(fleet, host) == before + 1, 20)
    is_confirmed = answer.status == 200 and revision_on(fleet, host) == before + 1
    checks.check("a write whose answer was lost is confirmed by a read", is_confirmed,
                 (answer.status, before, revision_on(fleet, host)))


def serve_during_store_outage(fleet, checks):
    revisions = [revision_on(fleet, host) for host in fleet.hosts]
    fleet.control_store(mode="away")
    host = fleet.hosts[-1]
    host.process.kill()
    host.process.wait()
    fleet.start_host(host)
    served = wait_until(lambda: fleet.call(host, "GET", "/permits/1", KEY).status == 200, 20)
    checks.check("a host replaced while the store is away serves", served, served)
    kept = [revision_on(fleet, each) for each in fleet.hosts]
    checks.check("no revision went back", all(new >= old for new, old in zip(kept, revisions)), kept)
    refused = put(fleet, fleet.hosts[0], document(99), max(kept)).status
    checks.check("a write without the store is refused", refused in (503, 504), refused)
    fleet.control_store(mode="up")


def cut_downloads(fleet, checks):
    direct = fleet.hosts[0].upstreams[0]
    url = f"http://{direct['ip']}:{direct['port']}/download/{DOWNLOAD_SIZE}"
    expected = hashlib.sha256(request("GET", url, timeout=30).body).hexdigest()
    victim = fleet.hosts[-1]
    path = f"/permits/download/{DOWNLOAD_SIZE}"
    hosts = fleet.hosts[:-1]
    answers = during(victim.process.kill, lambda: run_concurrently(
        [lambda n=n: fleet.call(hosts[n % len(hosts)], "GET", path, KEY, timeout=20) for n in range(DOWNLOADS)]))
    wrong = [len(answer.body) for answer in answers
             if answer.status == 200 and hashlib.sha256(answer.body).hexdigest() != expected]
    whole = sum(answer.status == 200 for answer in answers)
    checks.check("no corrupt download gets a complete 200 answer", not wrong,
                 f"{whole} whole of {len(answers)}, {wrong}")
    victim.process.wait()
    fleet.start_host(victim)


def crash_lone_host(checks):
    """A restarted lone host has no peers that confirm the death of its earlier incarnation.

    An operator must declare it dead before its shares are reassigned.
    """
    with Fleet({"north": LAYOUT["north"][:1]}) as fleet:
        fleet.start()
        host = fleet.hosts[0]
        wait_until(lambda: put(fleet, host, document(), 0).status == 200, 20)

        def is_served():
            return fleet.call(host, "GET", "/permits/1", KEY).status == 200

        served = wait_until(is_served, 20)
        checks.check("a lone host serves", served, served)
        host.process.kill()
        host.process.wait()
        fleet.start_host(host)
        wait_until(lambda: fleet.admin(host, "GET", "/v1/documents/trial").status == 200, 20)
        answer = fleet.admin(host, "POST", f"/v1/hosts/{host.name}/declare-dead")
        checks.check("the operator's declaration of death is accepted", answer.status == 202,
                     answer.status)
        served = wait_until(is_served, 20)
        checks.check("the lone host serves again", served, served)


def main():
    checks = Checks()
    crash_lone_host(checks)
    with Fleet(LAYOUT) as fleet:
        fleet.start()
        accepted = wait_until(lambda: put(fleet, fleet.hosts[0], document(), 0).status in (200, 412), 20)
        checks.check("document accepted", accepted, accepted)
        ready = wait_until(lambda: set(run_concurrently(
            [lambda host=host: fleet.call(host, "GET", "/permits/1", KEY).status
             for host in fleet.hosts])) == {200}, 20)
        checks.check("fleet ready", ready, ready)
        for trial in (race_operators, lose_store_answers, break_upstream, freeze_host, kill_host,
                      cut_downloads, serve_during_store_outage):
            trial(fleet, checks)
        if checks.failed:
            print(f"logs: {fleet.folder}")
    print("failures passed" if checks.failed == 0 else f"failures: {checks.failed} checks failed")
    return 1 if checks.failed else 0


sys.exit(main())
