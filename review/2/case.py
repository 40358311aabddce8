"""An endpoint that has deregistered gets requests again after its machine's process was killed."""
import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from standins import DRAIN_MS, STABLE_WINDOW_MS, TROUBLE, make_config, make_route, run_case, send_request, wait_until_served

HOST, PATH = "shop.example", "/items/1"
LAYOUT = [("south-a", "front"), ("south-a", "shop"), ("south-a", "shop")]
CONFIG = make_config("r1", {"items": make_route(HOST, "/items/", "shop")}, ["front", "shop"])


async def send_regularly(record, machine, seconds):
    """Ten idempotent requests a second, each on a connection of its own."""
    until = record.now() + seconds
    running = []
    while record.now() < until:
        running.append(asyncio.create_task(send_request(record, machine, "GET", HOST, PATH, 2000)))
        await asyncio.sleep(0.1)
    return await asyncio.gather(*running)


async def play(record, deployment):
    client_machine, machine, _ = deployment.machines
    endpoint = deployment.endpoints[1]
    await wait_until_served(record, client_machine, HOST, PATH)
    traffic = asyncio.create_task(send_regularly(record, client_machine, 16))
    await asyncio.sleep(3)

    # The endpoint sends its next heartbeat now, which arrives seconds late. The one after it is not due
    # before the endpoint leaves.
    endpoint.stop_beats()
    late_beat = endpoint.make_beat()
    record.write(f"{endpoint.name} sends a heartbeat, which is held up")
    if TROUBLE:
        await machine.kill()
        await machine.start()
        await machine.wait_until_ready()
    running_since = record.now()
    status = 0
    while status != 200:  # It leaves without reporting `draining` first.
        status = await endpoint.deregister()
        record.write(f"Deregister of {endpoint.name}: {status}")
        await asyncio.sleep(0.05)
    acknowledged = record.now()
    endpoint.state = "draining"
    await asyncio.sleep(2)
    record.write(f"the late heartbeat of {endpoint.name} arrives: {await endpoint.send_beat(late_beat)}")
    await traffic

    # Only what reached the endpoint after drain-ms, and once its machine was in touch again.
    bound = max(acknowledged + DRAIN_MS / 1000, running_since + STABLE_WINDOW_MS / 1000)
    late = [(at, attempt) for at, attempt in endpoint.arrivals if at > bound]
    record.write(f"acknowledged at {acknowledged:.3f}, bound {bound:.3f}, {len(late)} requests after it")
    return [f"request {attempt} reached {endpoint.name} {at - acknowledged:.3f} s after its Deregister was "
            "acknowledged" for at, attempt in late]


run_case(HERE, LAYOUT, CONFIG, play)
