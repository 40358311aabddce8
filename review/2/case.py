"""A non-idempotent request that an endpoint has run is answered with 503, which promises that it has not."""
import asyncio
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from standins import TROUBLE, format_answer, make_config, make_route, run_case, send_request, wait_until_served

HOST = "permits.example"
LAYOUT = [("south-a", "front")] + [("south-a", "permits")] * 4 + [("south-b", "permits")] * 3
CONFIG = make_config("r1", {"issue": make_route(HOST, "/issue/", "permits", "non_idempotent"),
                            "read": make_route(HOST, "/read/", "permits")}, ["front", "permits"])
FAULTY_ENDPOINTS, FAULTY_ANSWERS = 1, 0.45  # Of seven: `srv_grey` has share 0.14 and x 0.45 in the site file.
PROMISES = (408, 421, 429, 503)


async def work(endpoint, writer, attempt, target, orders):
    """Runs the request. A faulty endpoint then fails some with a 503 that does not say `Not-Executed`."""
    await asyncio.sleep(0.05)
    if target.startswith("/issue/"):
        orders.append(target)
    if endpoint.is_faulty and target.startswith("/issue/") and random.random() < FAULTY_ANSWERS:
        endpoint.record.write(f"{endpoint.name} fails {attempt}, which it has run, with a 503")
        writer.write(format_answer(503, {"Chivevane-Attempt-Id": attempt}, b"the ledger gave no answer"))
        return
    writer.write(format_answer(200, endpoint.answer_fields(attempt), b"done"))


async def issue(record, machine, number):
    """Issues one permit, and tries again with a new id after a promise, as clients do."""
    tries = []
    while len(tries) < 3:
        tries.append(await send_request(record, machine, "POST", HOST, f"/issue/{number}", 2500, b"a permit"))
        if tries[-1].status not in PROMISES:
            break
    return tries


async def play(record, deployment):
    machine, orders = deployment.machines[0], []
    for number, endpoint in enumerate(deployment.endpoints):
        endpoint.is_faulty = TROUBLE and 1 <= number <= FAULTY_ENDPOINTS
        endpoint.work = lambda writer, attempt, method, target, endpoint=endpoint: work(
            endpoint, writer, attempt, target, orders)
    await wait_until_served(record, machine, HOST, "/read/1")
    running = []
    for number in range(300):
        running.append(asyncio.create_task(issue(record, machine, number)))
        await asyncio.sleep(0.1)
    answers = [answer for tries in await asyncio.gather(*running) for answer in tries]

    ran = {attempt: endpoint.name for endpoint in deployment.endpoints for attempt in endpoint.runs}
    false = [answer for answer in answers if answer.status in PROMISES and answer.attempt in ran]
    twice = sum(orders.count(order) > 1 for order in set(orders))
    record.write(f"{len(answers)} requests, {len(false)} answered with a promise though they ran; "
                 f"{twice} permits issued more than once")
    return [f"request {answer.attempt} got {answer.status} and was run by {ran[answer.attempt]}" for answer in false]


run_case(HERE, LAYOUT, CONFIG, play)
