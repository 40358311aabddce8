"""An endpoint leaves, the process beside it is killed, and a heartbeat arrives late."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from fleet_2 import DRAIN_S, Fleet, configuration, route, run_case  # noqa: E402

KILLED_AFTER_S = 0.3
BACK_AFTER_S = 0.5
LATE_BY_S = 2.5  # How late the last heartbeat arrives.
SERVES_ON_S = 9.0  # How long the endpoint serves after its deregistration.
PERIOD_S = 0.1


async def case(folder, trouble):
    fleet = Fleet(folder, ["desk", "ledger", "ledger"])
    desk, leaving, other = fleet.machines
    try:
        await fleet.start(configuration(
            {"a": route("ledger", "non_idempotent", "/ledger/")}, ["desk", "ledger"]))
        await asyncio.sleep(5)
        for number in range(10):
            _, status, _, _ = await fleet.send(desk, "POST", f"/ledger/{number}", b"x")
            if status != 200:
                raise RuntimeError("the deployment does not serve")
        endpoint = leaving.endpoint
        endpoint.work_s = other.endpoint.work_s = 0.3
        endpoint.stop_beats()
        late_beat = endpoint.heartbeat()
        beat_sent_at = time.monotonic()
        fleet.record.write(f"{endpoint.name} sends a heartbeat, which is held up on its way")
        await asyncio.sleep(0.2)
        status = await endpoint.call_control(f"/chivevane/Instances.Deregister/{endpoint.name}",
                                             b"")
        if status != 200:
            raise RuntimeError("the deregistration was not acknowledged")
        left_at = time.monotonic()
        fleet.record.write(f"{endpoint.name} sends Deregister and gets {status}")
        sends = []

        async def send_requests():
            number = 0
            while time.monotonic() < left_at + SERVES_ON_S + 1:
                number += 1
                sends.append(asyncio.create_task(
                    fleet.send(desk, "POST", f"/ledger/after{number}", b"x")))
                await asyncio.sleep(PERIOD_S)
        requests = asyncio.create_task(send_requests())
        if trouble:
            await asyncio.sleep(KILLED_AFTER_S)
            leaving.kill()
            await asyncio.sleep(BACK_AFTER_S)
            leaving.start()
        await asyncio.sleep(beat_sent_at + LATE_BY_S - time.monotonic())
        status = await endpoint.beat(late_beat)
        fleet.record.write(f"the heartbeat of {endpoint.name} arrives {LATE_BY_S} s late and "
                           f"gets {status}")
        late = []
        while time.monotonic() < left_at + SERVES_ON_S:
            seen = len(endpoint.runs)
            in_touch = leaving.in_touch()
            await asyncio.sleep(0.05)
            late += [run for run in endpoint.runs[seen:]
                     if in_touch and run[0] > left_at + DRAIN_S]
        fleet.record.write(f"{endpoint.name} exits")
        endpoint.close()
        await requests
        statuses = [status for _, status, _, _ in await asyncio.gather(*sends)]
    finally:
        await fleet.stop()
    failed = sum(status != 200 for status in statuses)
    summary = (f"requests that reached the endpoint later than {DRAIN_S} s after its "
               f"deregistration was acknowledged, sent on by machines in touch: {len(late)}; "
               f"allowed: 0; of {len(statuses)} requests in all, not served: {failed}")
    fleet.record.write(summary)
    print(summary)
    return not late


if __name__ == "__main__":
    run_case(case, FOLDER)
