"""A request that crashes endpoints, before and after rolling restarts of the system's machines."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from fleet_2 import STABLE_WINDOW_S, Fleet, configuration, route, run_case  # noqa: E402

BACK_AFTER_S = 2.0
ROLLS = 5
AT_A_TIME = 2
GRACE_S = 6


async def crash(endpoint, _writer, target, _attempt):
    """Crashes the endpoint that begins to run the poisonous request; it is back soon."""
    if not target.startswith("/ledger/poison"):
        return False
    endpoint.crash()

    async def come_back():
        await asyncio.sleep(BACK_AFTER_S)
        await endpoint.start()
    endpoint.coming_back = asyncio.create_task(come_back())
    return True


async def restart(machine):
    """SIGTERM, SIGKILL after the grace period if it is still running, then a new start."""
    machine.fleet.record.write(f"{machine.name} gets SIGTERM")
    machine.process.send_signal(signal.SIGTERM)
    end = time.monotonic() + GRACE_S
    while machine.process.poll() is None and time.monotonic() < end:
        await asyncio.sleep(0.05)
    if machine.process.poll() is None:
        machine.kill()
    await asyncio.sleep(0.5)
    machine.start()
    await machine.wait_ready()


async def roll(fleet):
    machines = list(fleet.machines)
    while machines:
        group, machines = machines[:AT_A_TIME], machines[AT_A_TIME:]
        await asyncio.gather(*(restart(machine) for machine in group))


async def send_poison(fleet, crashes):
    """Sends the same request a few times, as its client tries again. Notes which runs began while
    all machines were in touch."""
    for _ in range(3):
        in_touch = all(machine.in_touch() for machine in fleet.machines)
        before = {id(machine): len(machine.endpoint.runs) for machine in fleet.machines}
        await fleet.send(fleet.machines[0], "GET", "/ledger/poison")
        for machine in fleet.machines:
            for at, attempt, target in machine.endpoint.runs[before[id(machine)]:]:
                if target.startswith("/ledger/poison"):
                    crashes.append((at, attempt, in_touch))
        await asyncio.sleep(0.5)


async def case(folder, trouble):
    fleet = Fleet(folder, ["desk", "ledger", "ledger", "ledger"])
    crashes = []
    try:
        await fleet.start(configuration(
            {"a": route("ledger", "idempotent", "/ledger/")}, ["desk", "ledger"]))
        for machine in fleet.machines[1:]:
            machine.endpoint.on_run = crash
        await asyncio.sleep(STABLE_WINDOW_S + 1)
        for _ in range(5):
            _, status, _, _ = await fleet.send(fleet.machines[0], "GET", "/ledger/plain")
            if status != 200:
                raise RuntimeError("the deployment does not serve")
        await send_poison(fleet, crashes)
        for _ in range(ROLLS):
            await asyncio.sleep(BACK_AFTER_S)
            if trouble:
                await roll(fleet)
            await asyncio.sleep(STABLE_WINDOW_S + 1.5)
            await send_poison(fleet, crashes)
    finally:
        await fleet.stop()
    crashes.sort()
    third = crashes[2][0] if len(crashes) > 2 else float("inf")
    late = {attempt for at, attempt, in_touch in crashes
            if in_touch and at > third + STABLE_WINDOW_S}
    summary = (f"crashed runs: {len(crashes)}; retries of the client that reached endpoints later "
               f"than {STABLE_WINDOW_S} s after the third, from machines in touch: {len(late)}; "
               "allowed: 3")
    fleet.record.write(summary)
    print(summary)
    return len(late) <= 3


if __name__ == "__main__":
    run_case(case, FOLDER)
