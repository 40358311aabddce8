"""Measures a fleet of real processes over loopback: outlier detection, fairness between
organisations, refusals, data centre changes, overhead and idle cost.

Prints key=value lines; writes samples and plots below build/measure. No measured time makes a run
fail. CHIVEVANE_BIN names the program directory of another build, for comparison with an earlier
version.
"""
import argparse
import collections
import csv
import json
import os
import pathlib
import shutil
import statistics
import subprocess
import time

from fleet import CALLER_PORT, Fleet, LOAD_TOOL, ROOT, digest, wait_until

OUT = ROOT / "build" / "measure"

# Number of endpoints of each service over three data centres, as in the users' present fleets.
BLACKMORASS = {"herdbook": 10, "permits": 12, "surveys": 6, "tides": 6}
MAGNOLIA = {"enrollbook": 10, "benchdesk": 6, "imagevault": 6, "rosterhall": 6}
DATACENTRES = ("north", "middle", "south")
ORGANISATIONS = [(f"org{number}", 200 if number <= 2 else 20 if number <= 6 else 5)
                 for number in range(1, 9)]
FAULT_AT_S = 4.0


def layout_of(services, options):
    """Places one endpoint on each host and distributes the hosts evenly over the data centres."""
    layout = {datacentre: [] for datacentre in DATACENTRES}
    hosts = [service for service, count in services.items() for _ in range(count)]
    for number, service in enumerate(hosts):
        layout[DATACENTRES[number % len(DATACENTRES)]].append([(service, options)])
    return layout


def document_of(services, rate_factor=1.0, out=()):
    organisations = [{"name": name, "rate": rate * rate_factor, "burst": rate * rate_factor,
                      "keys": [{"name": "key", "digest": digest(f"{name}-key")}]}
                     for name, rate in ORGANISATIONS]
    routes = [{"name": service, "path_prefix": f"/{service}", "service": service, "timeout_ms": 3000}
              for service in services]
    routes.append({"name": "open", "path_prefix": "/open", "service": next(iter(services)),
                   "open_to_all": True, "timeout_ms": 3000})
    return json.dumps({"document": "measured", "organisations": organisations,
                       "services": [{"name": service, "floor": 0.5} for service in services],
                       "routes": routes, "datacentres_out": list(out)}).encode()


def apply(fleet, text):
    host = fleet.hosts[0]
    current = fleet.admin(host, "GET", "/v1/documents/measured")
    condition = {"If-Match": current.headers["ETag"]} if current.status == 200 else {"If-None-Match": "*"}
    return fleet.admin(host, "PUT", "/v1/documents/measured", text, condition).status == 200


def start_fleet(services, options, rate_factor=1.0):
    """Starts a fleet and waits until every host serves every service of the document."""
    fleet = Fleet(layout_of(services, options))
    fleet.start()
    if not wait_until(lambda: apply(fleet, document_of(services, rate_factor)), 20):
        fleet.stop()
        raise RuntimeError("the fleet accepted no document")
    pending = {(host.name, service): host for host in fleet.hosts for service in services}

    def all_answered():
        for (name, service), host in list(pending.items()):
            if fleet.call(host, "GET", f"/{service}/x", "org1-key").status in (200, 429):
                del pending[(name, service)]
        return not pending

    if not wait_until(all_answered, 30):
        print(f"event=warning detail=fleet-not-ready folder={fleet.folder}")
    time.sleep(3)
    return fleet


def run_load(fleet, name, streams, seconds, seed, during=lambda: None, targets=None):
    """Runs the load tool with a plan; calls `during` while it runs. Returns its samples."""
    targets = targets or [f"{host.ip}:{CALLER_PORT}" for host in fleet.hosts]
    plan = {"targets": targets, "seconds": seconds, "seed": seed, "streams": streams}
    path = OUT / f"{name}.plan.yaml"
    path.write_text(json.dumps(plan))
    samples = OUT / f"{name}.csv"
    process = subprocess.Popen([LOAD_TOOL, f"--plan={path}", f"--samples={samples}"],
                               stdout=subprocess.PIPE, text=True)
    during()
    process.wait()
    with open(samples) as file:
        return [{"at": float(row["scheduled_ms"]) / 1000, "stream": row["stream"],
                 "status": int(row["status"]), "latency": float(row["latency_ms"]),
                 "inside": row["inside_rate"] == "1", "endpoint": row["endpoint"]}
                for row in csv.DictReader(file)]


def quantile(values, fraction):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else 0.0


def print_event(event, **fields):
    text = " ".join(f"{key}={value:.3f}" if isinstance(value, float) else f"{key}={value}"
                    for key, value in fields.items())
    print(f"event={event} {text}", flush=True)


def share_of(samples, endpoint, begin, end):
    window = [sample for sample in samples if begin <= sample["at"] < end and sample["endpoint"]]
    hits = sum(sample["endpoint"] == endpoint for sample in window)
    return hits / len(window) if window else 0.0


def detection_seconds(samples, faulty, until):
    """Returns the seconds from the fault to the first second in which the faulty endpoint gets less
    than a quarter of its own earlier share. Its own share is the reference because an upstream that
    is still warming up gets less than others."""
    ordinary = share_of(samples, faulty, FAULT_AT_S - 2, FAULT_AT_S)
    moment = FAULT_AT_S
    while moment + 1 <= until:
        if share_of(samples, faulty, moment, moment + 1) < 0.25 * ordinary:
            return moment - FAULT_AT_S
        moment += 0.1
    return float("inf")


def false_ejections(samples, faulty, endpoints, until):
    """Counts the healthy endpoints that get under a tenth of their fair share for two seconds."""
    fair = 1.0 / len(endpoints)
    return sum(any(share_of(samples, endpoint, begin, begin + 2) < 0.1 * fair
                   for begin in range(1, int(until) - 2))
               for endpoint in endpoints if endpoint != faulty)


def measure_detection(services, seeds):
    service, count = next(iter(services.items()))
    endpoints = [f"{service}-{number}" for number in range(1, count + 1)]
    faults = {"slow": {"slow": 5}, "errors100": {"errors": 1}, "errors30": {"errors": 0.3},
              "errors10": {"errors": 0.1}}
    for fault, command in faults.items():
        times, false_ejection_count, failed, total = [], 0, 0, 0
        for seed in range(1, seeds + 1):
            with start_fleet(services, {"service_time_ms": 10}) as fleet:
                faulty = fleet.hosts[0].upstreams[0]
                endpoints = [upstream["endpoint"] for host in fleet.hosts
                             for upstream in host.upstreams if upstream["service"] == service]
                streams = [{"name": "open", "path": "/open", "rate": 300}]

                def inject_fault():
                    time.sleep(FAULT_AT_S)
                    fleet.control_upstream(faulty, **command)

                samples = run_load(fleet, f"detection-{fault}-{seed}", streams, 14, seed, inject_fault)
                times.append(detection_seconds(samples, faulty["endpoint"], 14))
                false_ejection_count += false_ejections(samples, faulty["endpoint"], endpoints, 14)
                after = [sample for sample in samples if sample["at"] >= FAULT_AT_S]
                failed += sum(sample["status"] != 200 for sample in after)
                total += len(after)
        print_event("detection", fault=fault, runs=seeds, median_s=statistics.median(times),
                    worst_s=max(times), false_ejections=false_ejection_count,
                    failed_share=failed / max(total, 1))


def organisation_streams(services, factor, names=None):
    service = next(iter(services))
    return [{"name": name, "key": f"{name}-key", "path": f"/{service}", "rate": rate * factor,
             "limit_rate": rate, "limit_burst": rate}
            for name, rate in ORGANISATIONS if names is None or name in names]


def summary_by_stream(samples):
    grouped = collections.defaultdict(list)
    for sample in samples:
        grouped[sample["stream"]].append(sample)
    return {name: {"served": sum(s["status"] == 200 for s in each) / len(each),
                   "p99": quantile([s["latency"] for s in each if s["status"] == 200], 0.99)}
            for name, each in grouped.items()}


def measure_worst_served(services, seeds):
    """Measures the other organisations while one sends ten times the capacity of the service.

    The rate limits are too high to apply.
    """
    for seed in range(1, seeds + 1):
        with start_fleet(services, {"service_time_ms": 40}, rate_factor=100) as fleet:
            baseline = [dict(stream, rate=min(stream["rate"], 40), limit_rate=0)
                    for stream in organisation_streams(services, 0.8)]
            overloaded = [dict(stream, rate=1500 if stream["name"] == "org1" else stream["rate"])
                          for stream in baseline]
            before = summary_by_stream(run_load(fleet, f"calm-{seed}", baseline, 8, seed))
            during = summary_by_stream(run_load(fleet, f"flood-{seed}", overloaded, 8, seed))
        others = [name for name in during if name != "org1"]
        worst = min(others, key=lambda name: during[name]["served"])
        slowest = max(others, key=lambda name: during[name]["p99"] / max(before[name]["p99"], 0.1))
        print_event("worst_served", seed=seed, organisation=worst,
                    served_before=before[worst]["served"],
                    served_in_flood=during[worst]["served"], slowest=slowest,
                    p99_before_ms=before[slowest]["p99"], p99_in_flood_ms=during[slowest]["p99"],
                    flooder_served=during["org1"]["served"])


def measure_refusals(services, seeds):
    for targets in ("spread", "single", "moving"):
        for factor in (0.5, 0.9):
            inside = refused = over = 0
            worst = 0.0
            for seed in range(1, seeds + 1):
                with start_fleet(services, {"service_time_ms": 2, "slots": 32}) as fleet:
                    streams = [dict(stream, targets=targets)
                               for stream in organisation_streams(services, factor)]
                    samples = run_load(fleet, f"refusals-{targets}-{factor}-{seed}", streams, 12, seed)
                for name, _ in ORGANISATIONS:
                    own = [sample for sample in samples if sample["stream"] == name and sample["inside"]]
                    bad = sum(sample["status"] == 429 for sample in own)
                    worst = max(worst, bad / max(len(own), 1))
                    inside, refused = inside + len(own), refused + bad
                over += sum(not s["inside"] and s["status"] == 200 for s in samples)
            print_event("refused_inside_rate", targets=targets, load=factor, requests=inside,
                        share=refused / max(inside, 1), worst_organisation_share=worst,
                        served_outside_rate=over)


def measure_datacentre(services, seeds):
    """Takes a data centre out at 3 s and brings it back at 10 s."""
    for seed in range(1, seeds + 1):
        with start_fleet(services, {"service_time_ms": 10}) as fleet:
            service = next(iter(services))
            leaving = {upstream["endpoint"] for host in fleet.hosts if host.datacentre == "south"
                       for upstream in host.upstreams}

            def take_out_and_back():
                time.sleep(3)
                apply(fleet, document_of(services, out=["south"]))
                time.sleep(7)
                apply(fleet, document_of(services))

            streams = [{"name": "open", "path": "/open", "rate": 300}]
            samples = run_load(fleet, f"datacentre-{seed}", streams, 18, seed, take_out_and_back)
        late = [sample["at"] - 3 for sample in samples
                if sample["endpoint"] in leaving and 3 <= sample["at"] < 10]
        back = [sample["at"] - 10 for sample in samples
                if sample["endpoint"] in leaving and sample["at"] >= 10]
        print_event("datacentre", service=service, seed=seed, requests=len(samples),
                    not_served=sum(sample["status"] != 200 for sample in samples),
                    last_work_after_out_s=max(late, default=0.0),
                    first_work_after_back_s=min(back, default=-1.0),
                    p99_ms=quantile([sample["latency"] for sample in samples], 0.99))
        plot_shares(f"datacentre-{seed}", samples, leaving)


def measure_overhead(services, seeds):
    """Sends the same load directly to the stand-ins and then through the same running fleet."""
    for seed in range(1, seeds + 1):
        with start_fleet(services, {"service_time_ms": 5, "slots": 64}) as fleet:
            service = next(iter(services))
            upstreams = [upstream for host in fleet.hosts for upstream in host.upstreams
                         if upstream["service"] == service]
            streams = [{"name": "open", "path": "/open", "rate": 300}]
            direct = run_load(fleet, f"direct-{seed}", streams, 8, seed,
                              targets=[f"{each['ip']}:{each['port']}" for each in upstreams])
            proxied = run_load(fleet, f"proxied-{seed}", streams, 8, seed)
        direct_latencies = [sample["latency"] for sample in direct]
        proxied_latencies = [sample["latency"] for sample in proxied]
        fields = {}
        for fraction in (0.5, 0.99):
            before, after = (quantile(direct_latencies, fraction),
                             quantile(proxied_latencies, fraction))
            name = f"p{fraction * 100:.0f}"
            fields |= {f"{name}_direct_ms": before, f"{name}_through_ms": after,
                       f"{name}_ratio": after / before, f"{name}_added_ms": after - before}
        print_event("overhead", seed=seed, requests=len(proxied_latencies), **fields)


def processor_seconds(process):
    """Returns the processor time of a process since its start, from /proc (proc(5))."""
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_megabytes(process):
    pages = int(pathlib.Path(f"/proc/{process.pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def measure_idle(services, seeds):
    """Measures processor time, memory and store calls of the hosts without requests."""
    length = 20
    for seed in range(1, seeds + 1):
        with start_fleet(services, {}) as fleet:
            time.sleep(5)
            spent = [processor_seconds(host.process) for host in fleet.hosts]
            calls = fleet.store_calls()
            time.sleep(length)
            calls = fleet.store_calls() - calls
            spent = [processor_seconds(host.process) - before
                     for host, before in zip(fleet.hosts, spent)]
            memory = max(resident_megabytes(host.process) for host in fleet.hosts)
        print_event("idle", seed=seed, hosts=len(fleet.hosts),
                    core_share=statistics.mean(spent) / length,
                    worst_core_share=max(spent) / length, worst_resident_mb=memory,
                    store_calls_per_s=calls / length)


def plot_shares(name, samples, endpoints):
    """Plots the share of the requests that `endpoints` served over time."""
    if shutil.which("gnuplot") is None:
        return
    rows = []
    for tenth in range(0, 180, 5):
        window = [s for s in samples if tenth / 10 <= s["at"] < tenth / 10 + 0.5]
        if window:
            hits = sum(s["endpoint"] in endpoints for s in window)
            rows.append(f"{tenth / 10} {hits / len(window):.4f}")
    data = OUT / f"{name}.dat"
    data.write_text("\n".join(rows) + "\n")
    script = (f"set terminal svg size 800,300\nset output '{OUT / name}.svg'\n"
              "set xlabel 'seconds'\nset ylabel 'share of requests'\nset yrange [0:1]\n"
              f"plot '{data}' with steps title '{name}'\n")
    subprocess.run(["gnuplot"], input=script, text=True, check=False)


MEASURES = {"detection": measure_detection, "worst_served": measure_worst_served,
            "refusals": measure_refusals, "datacentre": measure_datacentre,
            "overhead": measure_overhead, "idle": measure_idle}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("measures", nargs="*", choices=[*MEASURES, []], help="which ones; default all")
    parser.add_argument("--full", action="store_true", help="five seeds instead of one, both users' sizes")
    options = parser.parse_args()
    OUT.mkdir(parents=True, exist_ok=True)
    sizes = {"blackmorass": BLACKMORASS, "magnolia": MAGNOLIA} if options.full else {"blackmorass": BLACKMORASS}
    for size, services in sizes.items():
        for name in options.measures or MEASURES:
            print_event("measure", name=name, size=size, endpoints=sum(services.values()))
            MEASURES[name](services, 5 if options.full else 1)


if __name__ == "__main__":
    main()
