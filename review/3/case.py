"""Once the last tenant is taken away, requests run with any key, with a withdrawn key and without one."""
import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from standins import TROUBLE, CannotRun, make_config, make_route, run_case, send_request, wait_until_served

HOST, PATH = "permits.example", "/issue/1"
CONFIG_APPLY_S = 2.0
LAYOUT = [("south-a", "front"), ("south-a", "permits"), ("south-b", "permits"), ("south-c", "permits")]
KEYS = {"schools": "6wsjnbanfqasnmgkcuyj", "districts": "8pjbvk9m68k7b2ex5wa5"}
NEVER_HELD = "0000000000000000unknown"


def config_with(version, tenants):
    route = make_route(HOST, "/issue/", "permits", "non_idempotent") | {"public": False}
    read = make_route(HOST, "/read/", "permits")
    return make_config(version, {"issue": route, "read": read}, ["front", "permits"],
                       tenants={name: {"api-keys": [KEYS[name]], "priority": 1, "rate-per-s": 24, "burst": 24}
                                for name in tenants})


async def issue(record, machine, kind, key):
    answer = await send_request(record, machine, "POST", HOST, PATH, 2500, b"a permit", key)
    record.write(f"  {answer.attempt} had {kind}")
    return kind, answer


async def issue_with_each_key(record, machine, rounds):
    """Sends one request with each kind of key in each round, 0.2 s apart."""
    kinds = {f"the key of {name}": key for name, key in KEYS.items()} | {
        "a key that no configuration held": NEVER_HELD, "no key": None}
    answers = []
    for _ in range(rounds):
        answers += [await issue(record, machine, kind, key) for kind, key in kinds.items()]
        await asyncio.sleep(0.2)
    return answers


async def play(record, deployment):
    machine, store = deployment.machines[0], deployment.store
    await wait_until_served(record, machine, HOST, "/read/1")
    before = await issue_with_each_key(record, machine, 3)
    if any(answer.status != 200 for kind, answer in before if kind.startswith("the key of")):
        raise CannotRun("a tenant's key is not accepted at the beginning")
    allowed = set(KEYS)

    async def put(version, tenants):
        await store.operator_put("op/config", config_with(version, tenants))
        record.write(f"configuration {version} with the tenants {tenants} acknowledged")
        allowed.intersection_update(tenants)
        await asyncio.sleep(CONFIG_APPLY_S + 0.5)
        return [(kind, answer) for kind, answer in await issue_with_each_key(record, machine, 8)
                if kind not in {f"the key of {name}" for name in allowed}]

    forbidden = [(kind, answer) for kind, answer in before if not kind.startswith("the key of")]
    forbidden += await put("r5", ["schools"])  # One of two tenants is taken away.
    if TROUBLE:
        forbidden += await put("r9", [])       # So is the last one.
    ran = {attempt: endpoint.name for endpoint in deployment.endpoints for attempt in endpoint.runs}
    return [f"request {answer.attempt} with {kind} got {answer.status} and was run by {ran[answer.attempt]}"
            for kind, answer in forbidden if answer.attempt in ran]


run_case(HERE, LAYOUT, config_with("r1", list(KEYS)), play)
