"""Steps for the ledger; the stand-in store is the one of the store steps."""

import asyncio

import result
from behave import given, then, when

from jujubeglade.core import clock, configuration, problem, store
from jujubeglade.entry import latest, ledger

_STEP_TIMEOUT_S = 10
_SUBMIT_TIMEOUT_MS = 700
_RETRY_INTERVAL_MS = 10
_LONG_POLL_INTERVAL_MS = 60000


def run(context, coroutine):
    return context.runner.run(asyncio.wait_for(coroutine, _STEP_TIMEOUT_S))


class _WithoutWatch:
    """A store whose watches end at once."""

    def __init__(self, wrapped_store):
        self._store = wrapped_store

    def __getattr__(self, name):
        return getattr(self._store, name)

    async def watch(self, prefix):
        return
        yield prefix


class _Interrupted:
    """A store that awaits a coroutine function just before its next write."""

    def __init__(self, wrapped_store, interrupt):
        self._store = wrapped_store
        self._interrupt = interrupt

    def __getattr__(self, name):
        return getattr(self._store, name)

    async def compare_and_swap(self, *arguments):
        interrupt, self._interrupt = self._interrupt, None
        if interrupt is not None:
            await interrupt()
        return await self._store.compare_and_swap(*arguments)


class _Overtaken(_Interrupted):
    """A store that loses a write, awaits another one, then fails all writes."""

    async def compare_and_swap(self, *_):
        if self._interrupt is None:
            return result.Err(store.not_applied("refused"))
        interrupt, self._interrupt = self._interrupt, None
        await interrupt()
        return result.Err(store.unknown("lost on the way"))


def make_ledger(ledger_store, poll_ms=_LONG_POLL_INTERVAL_MS):
    settings = ledger.Settings(
        poll_interval_ms=poll_ms,
        submit_timeout_ms=_SUBMIT_TIMEOUT_MS,
        retry_interval_ms=_RETRY_INTERVAL_MS,
    )
    document = latest.LatestDocument()
    return ledger.Ledger(
        ledger_store, document, clock.system_clock(), settings
    ), document


async def submit(target_ledger, command_id, change, revision=None):
    text = configuration.describe(change)
    command = configuration.Command(command_id, text, "ana", 0, revision)
    return await target_ledger.submit(change, command)


def change_of(verb, zone):
    kinds = {
        "drain": configuration.DrainZone,
        "restore": configuration.RestoreZone,
    }
    return kinds[verb.rstrip("s")](zone)


@given("the ledgers A and B on the stand-in store")
def step_ledgers(context):
    context.ledgers = {name: make_ledger(context.store)[0] for name in "AB"}
    context.latest_documents = {}


def replace_store(context, interrupt):
    ledger_store = _Interrupted(context.store, interrupt)
    context.ledgers["A"] = make_ledger(ledger_store)[0]


@given("the stand-in store goes down after its next write without an answer")
def step_down_after_write(context):
    async def interrupt():
        # The store goes down once the watch shows that the write has taken effect.
        context.fake.lose_answers(1)
        context.down = asyncio.create_task(go_down(context))
        await wait_for_watch(context.fake)

    replace_store(context, interrupt)


async def go_down(context):
    async for _ in context.store.watch(ledger.KEY):
        await context.fake.set_down(True)
        return


async def wait_for_watch(fake):
    while not fake.watchers:
        await asyncio.sleep(0.01)


@given("the stand-in store hangs from its next write on")
def step_hang_at_write(context):
    async def interrupt():
        context.fake.set_hang(True)

    replace_store(context, interrupt)


@given("the ledger {name} loses its next write, and the store fails all later ones")
def step_overtaken(context, name):
    async def interrupt():
        other = configuration.DrainZone("west")
        (await submit(context.ledgers["B"], "c0", other)).unwrap()

    ledger_store = _Overtaken(context.store, interrupt)
    context.ledgers[name] = make_ledger(ledger_store)[0]


@given("the ledger {name} polls every {poll_ms:d} ms")
def step_polls(context, name, poll_ms):
    start_ledger(context, name, context.store, poll_ms)
    run(context, wait_for_watch(context.fake))


@given("the ledger {name} polls every {poll_ms:d} ms without a watch")
def step_polls_only(context, name, poll_ms):
    start_ledger(context, name, _WithoutWatch(context.store), poll_ms)


def start_ledger(context, name, ledger_store, poll_ms):
    polling_ledger, context.latest_documents[name] = make_ledger(ledger_store, poll_ms)
    context.ledgers[name] = polling_ledger
    task = context.runner.get_loop().create_task(polling_ledger.run())
    context.closers.append(lambda: run(context, cancel(task)))


async def cancel(task):
    task.cancel()
    await asyncio.wait([task])


@when('the ledger {name} submits "{command_id}" to {verb} "{zone}"')
def step_submit(context, name, command_id, verb, zone):
    change = change_of(verb, zone)
    context.answer = run(context, submit(context.ledgers[name], command_id, change))


@when(
    'the ledger {name} submits "{command_id}" to {verb} "{zone}" '
    "expecting revision {revision:d}"
)
def step_submit_expecting(context, name, command_id, verb, zone, revision):
    change = change_of(verb, zone)
    submission = submit(context.ledgers[name], command_id, change, revision)
    context.answer = run(context, submission)


@when(
    'the ledgers race: A submits "{own}" to {verb} "{zone}" while B\'s '
    '"{first}" {verb1} "{zone1}" and "{second}" {verb2} "{zone2}"'
)
def step_race(context, **arguments):
    async def interrupt():
        b = context.ledgers["B"]
        first = change_of(arguments["verb1"], arguments["zone1"])
        second = change_of(arguments["verb2"], arguments["zone2"])
        (await submit(b, arguments["first"], first)).unwrap()
        (await submit(b, arguments["second"], second)).unwrap()

    replace_store(context, interrupt)
    change = change_of(arguments["verb"], arguments["zone"])
    context.answer = run(
        context, submit(context.ledgers["A"], arguments["own"], change)
    )


@when("the ledger {name} submits {count:d} commands at once")
def step_submit_many(context, name, count):
    async def submit_all():
        target_ledger = context.ledgers[name]
        change = configuration.DrainZone("east")
        ids = [f"c{number}" for number in range(count)]
        return await asyncio.gather(*(submit(target_ledger, i, change) for i in ids))

    context.answers = run(context, submit_all())


@then('each ledger answer begins "{expected}"')
def step_each_answer(context, expected):
    assert all(describe(answer).startswith(expected) for answer in context.answers)


@when("the ledger {name} reads at {at_ms:d} ms and the answer takes {took_ms:d} ms")
def step_read_at(context, name, at_ms, took_ms):
    manual_clock = clock.ManualClock(at_ms)

    class _Slow:
        async def get(self, key):
            answer = await context.store.get(key)
            manual_clock.advance(took_ms)
            return answer

    context.confirmed_ms = getattr(context, "confirmed_ms", [])
    slow_ledger = ledger.Ledger(_Slow(), latest.LatestDocument(), manual_clock)
    slow_ledger.subscribe_reads(context.confirmed_ms.append)
    run(context, slow_ledger.refresh())


@then('the times of confirmed ledger reads are "{expected:d}"')
def step_confirmed_reads(context, expected):
    assert context.confirmed_ms == [expected], context.confirmed_ms


@when("the ledger's document in the store is emptied")
def step_emptied(context):
    entry = run(context, context.store.get(ledger.KEY)).unwrap()
    swap = context.store.compare_and_swap(ledger.KEY, b"", entry.mod_revision)
    run(context, swap).unwrap()


def describe(answer):
    if answer.is_err():
        return answer.err_value.message
    return f"{answer.ok_value.status} at revision {answer.ok_value.revision}"


@then('the ledger answer is "{expected}"')
def step_answer(context, expected):
    assert describe(context.answer) == expected, context.answer


@then('the ledger answer begins "{expected}" with the outcome "{outcome}"')
def step_answer_begins(context, expected, outcome):
    assert describe(context.answer).startswith(expected), context.answer
    assert context.answer.err_value.outcome is problem.Outcome(outcome)


@then('the ledger remedy is "{expected}"')
def step_remedy(context, expected):
    assert context.answer.err_value.remedy == expected


@then("the ledger document in the store has {count:d} outcomes")
def step_in_store(context, count):
    entry = run(context, context.store.get(ledger.KEY)).unwrap()
    document = configuration.parse(entry.value).unwrap()
    assert len(document.outcomes) == count, document


@then("the ledger {name} holds revision {revision:d}")
def step_holds(context, name, revision):
    assert context.ledgers[name].document.revision == revision


@then("the ledger {name} receives revision {revision:d}")
def step_receives(context, name, revision):
    run(context, wait_for_revision(context.latest_documents[name], revision))


async def wait_for_revision(document, revision):
    offered = asyncio.Future()
    document.subscribe(offered.set_result)
    if document.revision < revision:
        await offered
    assert document.revision == revision
