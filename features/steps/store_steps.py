"""Steps for the store: a stand-in with faults, and a driver that is connected to it."""

import asyncio
import json
import subprocess
import sys

import aiohttp
from behave import given, then, when

from jujubeglade.core import store
from jujubeglade.fakes import store as fake_store

_STORE_TIMEOUT_MS = 300
_STEP_TIMEOUT_S = 10


def run(context, coroutine):
    return context.runner.run(asyncio.wait_for(coroutine, _STEP_TIMEOUT_S))


def connect(context, address):
    settings = store.Settings(address, timeout_ms=_STORE_TIMEOUT_MS)
    context.store = store.connect(settings).unwrap()
    context.closers.append(
        lambda opened_store=context.store: run(context, opened_store.close())
    )


async def send_to_control(url, body):
    async with aiohttp.ClientSession() as session:
        async with session.post(url, json=body) as answer:
            assert answer.status == 200, await answer.text()
        async with session.get(url) as answer:
            return await answer.json()


def describe(answer):
    if answer.is_ok():
        return "ok"
    return f"{answer.err_value.kind}, {answer.err_value.outcome}"


@given("a stand-in store")
def step_stand_in(context):
    context.runner = asyncio.Runner()
    context.closers = [context.runner.close]
    context.fake = run(context, fake_store.start())
    context.control_url = f"{context.fake.control_address}/control"
    context.closers.append(lambda: run(context, context.fake.close()))
    connect(context, context.fake.address)


@given("a stand-in store process")
def step_process(context):
    command = [sys.executable, "-m", "jujubeglade.fakes.store", "--port", "0"]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    context.closers.append(process.stdout.close)
    context.closers.append(process.wait)
    context.closers.append(process.terminate)
    urls = json.loads(process.stdout.readline())
    context.control_url = urls["control"]
    connect(context, urls["address"])


@when("its control endpoint receives {body}")
@given("the stand-in store is set to {body}")
@when("the stand-in store is set to {body}")
def step_set(context, body):
    run(context, send_to_control(context.control_url, json.loads(body)))


@then('its control endpoint counts {count:d} "{kind}"')
@then('the stand-in store counted {count:d} "{kind}"')
def step_counted(context, count, kind):
    state = run(context, send_to_control(context.control_url, {}))
    assert state["counts"].get(kind, 0) == count, state


@when('the store key "{key}" is swapped to "{value}" at revision {revision:d}')
def step_swap(context, key, value, revision):
    swap = context.store.compare_and_swap(key, value.encode(), revision)
    context.answer = run(context, swap)


@when("a store value of {size:d} bytes is swapped")
def step_swap_size(context, size):
    swap = context.store.compare_and_swap("big", b"x" * size, 0)
    context.answer = run(context, swap)


@when('the store keys "{keys}" are written')
def step_write_all(context, keys):
    for key in keys.split():
        run(context, context.store.compare_and_swap(key, b"v", 0)).unwrap()


@then('the store answered "{expected}"')
def step_answered(context, expected):
    assert describe(context.answer) == expected, context.answer


@then('the store remedy is "{expected}"')
def step_remedy(context, expected):
    assert context.answer.err_value.remedy == expected


@then('the store key "{key}" has the value "{value}"')
def step_value(context, key, value):
    entry = run(context, context.store.get(key)).unwrap()
    assert entry.value.decode() == value, entry


@then('after the faults the store key "{key}" has the value "{value}"')
@then('after the faults the store key "{key}" has the value ""')
def step_value_after_faults(context, key, value=""):
    body = {"down": False, "hang": False, "delay_ms": 0}
    run(context, send_to_control(context.control_url, body))
    run(context, wait_for_value(context, key, value))


async def wait_for_value(context, key, value):
    # A delayed call takes effect some time after its caller has timed out.
    while (await context.store.get(key)).unwrap().value.decode() != value:
        await asyncio.sleep(0.02)


@then('the store key "{key}" is at revision {revision:d}')
def step_revision(context, key, revision):
    entry = run(context, context.store.get(key)).unwrap()
    assert entry.mod_revision == revision, entry


@then('the store prefix "{prefix}" has the keys "{keys}"')
def step_prefix(context, prefix, keys):
    entries = run(context, context.store.get_prefix(prefix)).unwrap()
    assert [entry.key for entry in entries] == keys.split()


@given('a store lease of {ttl_ms:d} ms with the key "{key}"')
def step_lease(context, ttl_ms, key):
    context.lease = run(context, context.store.grant(ttl_ms)).unwrap()
    lease_id = context.lease.lease_id
    swap = context.store.compare_and_swap(key, b"v", 0, lease_id)
    run(context, swap).unwrap()


@when("the store lease is renewed")
def step_renew(context):
    context.answer = run(context, context.store.keepalive(context.lease.lease_id))


@when("the store lease is revoked")
def step_revoke(context):
    run(context, context.store.revoke(context.lease.lease_id)).unwrap()


@given('a store watch of "{prefix}"')
def step_watch(context, prefix):
    start_watch(context, prefix, 0)


@when('a store watch of "{prefix}" begins at revision {revision:d}')
def step_watch_from(context, prefix, revision):
    start_watch(context, prefix, revision)


def start_watch(context, prefix, revision):
    context.watch = context.store.watch(prefix, revision)
    context.closers.append(lambda: run(context, context.watch.aclose()))
    context.event = context.runner.get_loop().create_task(anext(context.watch))
    run(context, wait_for_watcher(context.fake))


async def wait_for_watcher(fake):
    while not fake.watchers:
        await asyncio.sleep(0.01)


@then("the store watch reports {size:d} bytes")
def step_reports(context, size):
    event = run(context, context.event).unwrap()
    assert len(event.entry.value) == size, event


@then('the store watch reports a deletion of "{key}"')
def step_deletion(context, key):
    event = run(context, context.event).unwrap()
    assert event.deleted, event
    assert event.entry.key == key, event


@then('the store watch ends with "{expected}"')
def step_watch_ends(context, expected):
    assert describe(run(context, context.event)) == expected


@when('a store is connected with the driver "{name}"')
def step_connect(context, name):
    context.answer = store.connect(store.Settings("http://127.0.0.1:1", name))
