"""Steps for permits: entries in one process, on links that can be cut."""

import asyncio

import result
from behave import given, then, when

from jujubeglade.core import clock, configuration, problem
from jujubeglade.entry import acceptance, freshness, latest, vote

_STEP_TIMEOUT_S = 10
_PERMIT_MS = 2000
_DRAIN_REVISION = 5


class _Entry:
    """The part of an entry that grants permits; a restart loses all its state."""

    def __init__(self, cluster, name):
        others = [peer for peer in cluster.names if peer != name]
        self.latest = latest.LatestDocument()
        self.voter = vote.Voter(name, others, self.latest)

        async def ask(peer, message):
            return await cluster.ask(name, peer, message)

        fetch = vote.fetcher(name, ask)
        self.freshness = freshness.Freshness(
            self.voter, self.latest, cluster.clock, ask, fetch, _PERMIT_MS
        )
        self.acceptance = acceptance.Acceptance(
            self.voter, self.latest, cluster.clock, ask, _PERMIT_MS
        )

    def read_store(self, revision, started_ms):
        self.latest.offer(configuration.Document(revision))
        self.freshness.on_store_read(started_ms)


class _Cluster:
    """The entries, and the links between them that are cut."""

    def __init__(self, names):
        self.names = names
        self.clock = clock.ManualClock()
        self.entries = {name: _Entry(self, name) for name in names}
        self.cut_pairs = set()
        self.hanging = set()
        self.failing_fetches = set()

    def isolate(self, name):
        self.cut_pairs |= {frozenset((name, peer)) for peer in self.names}

    def connect(self, name, peers):
        self.cut_pairs -= {frozenset((name, peer)) for peer in peers}

    async def ask(self, name, peer, message):
        if peer in self.hanging:
            await asyncio.Event().wait()
        if frozenset((name, peer)) in self.cut_pairs:
            return no_link_error()
        if name in self.failing_fetches and isinstance(message, vote.Fetch):
            return no_link_error()
        return result.Ok(self.entries[peer].voter.answer(message))


def no_link_error():
    return result.Err(problem.Problem(problem.Kind.FRAME, "no link", "wait"))


def run(coroutine):
    return asyncio.run(asyncio.wait_for(coroutine, _STEP_TIMEOUT_S))


@given("the permit entries {names}")
def step_entries(context, names):
    context.cluster = _Cluster(names.split())


@given("all permit entries read the store at revision {revision:d}")
def step_all_read(context, revision):
    for entry in context.cluster.entries.values():
        entry.read_store(revision, context.cluster.clock.now_ms())


@given("the permit entry {name} reads the store at revision {revision:d}")
@when("the permit entry {name} reads the store at revision {revision:d}")
def step_read(context, name, revision):
    now_ms = context.cluster.clock.now_ms()
    context.cluster.entries[name].read_store(revision, now_ms)


@when(
    "the permit entry {name} reads the store at revision {revision:d}, "
    "started {ago_ms:d} ms ago"
)
def step_read_slowly(context, name, revision, ago_ms):
    started_ms = context.cluster.clock.now_ms() - ago_ms
    context.cluster.entries[name].read_store(revision, started_ms)


@given("{duration_ms:d} ms pass for the permit entries")
@when("{duration_ms:d} ms pass for the permit entries")
def step_pass(context, duration_ms):
    context.cluster.clock.advance(duration_ms)


@given("the permit entry {name} is cut off")
@when("the permit entry {name} is cut off")
def step_cut(context, name):
    context.cluster.isolate(name)


@when("the permit entry {name} is connected to {peer} only")
def step_connect(context, name, peer):
    context.cluster.connect(name, [peer])


@when("the permit entry {name} is connected to {peer} only, and its fetches fail")
def step_connect_without_fetch(context, name, peer):
    context.cluster.connect(name, [peer])
    context.cluster.failing_fetches.add(name)


@when("the permit entry {name} is connected to all")
def step_connect_all(context, name):
    context.cluster.connect(name, context.cluster.names)


@when("the permit entry {name} hangs")
def step_hang(context, name):
    context.cluster.hanging.add(name)


@when("the permit entry {name} restarts")
def step_restart(context, name):
    context.cluster.entries[name] = _Entry(context.cluster, name)


@given("a drain of revision 5 is recorded by {name}")
@when("a drain of revision 5 is recorded by {name}")
def step_drain(context, name):
    context.cluster.entries[name].latest.offer(configuration.Document(_DRAIN_REVISION))
    spread(context, name)


@when("{name} spreads the drain again")
def step_spread(context, name):
    spread(context, name)


def spread(context, name):
    run(context.cluster.entries[name].acceptance.spread())


@when("the permit entry {name} offers its document to {peer}")
def step_offer(context, name, peer):
    entries = context.cluster.entries
    offer = vote.Offer(name, configuration.dump(entries[name].latest.document))
    entries[peer].voter.answer(offer)


@when("the permit entry {name} is offered {data}")
def step_offer_bytes(context, name, data):
    context.cluster.entries[name].voter.answer(vote.Offer("X", data.encode()))


@when("the permit entries run until each has a permit and the drain is accepted")
def step_run(context):
    run(run_until_settled(context.cluster))


async def run_until_settled(cluster):
    entries = cluster.entries.values()
    async with asyncio.TaskGroup() as group:
        loops = [group.create_task(entry.freshness.run()) for entry in entries]
        loops += [group.create_task(entry.acceptance.run()) for entry in entries]
        while not all(settled(cluster, entry) for entry in entries):
            await asyncio.sleep(0.01)
        for loop in loops:
            loop.cancel()


def settled(cluster, entry):
    permit = entry.freshness.permit(cluster.clock.now_ms())
    return (
        permit.remaining_ms > 0
        and entry.acceptance.stage(_DRAIN_REVISION) == "accepted"
    )


@when("the permit entry {name} has votes from all of its zero peers")
def step_no_peers(context, name):
    context.cluster.entries[name].voter.record_votes([])


@then('the drain is "{stage}" at {name}')
def step_stage(context, stage, name):
    actual = context.cluster.entries[name].acceptance.stage(_DRAIN_REVISION)
    assert actual == stage, actual


@then("a majority confirms the permit entries {names}")
def step_confirmed(context, names):
    for name in names.split():
        assert run(context.cluster.entries[name].freshness.confirm_by_majority()), name


@then("no majority confirms the permit entry {name}")
def step_not_confirmed(context, name):
    assert not run(context.cluster.entries[name].freshness.confirm_by_majority())


@then("the permit of {name} is revision {revision:d} for {remaining_ms:d} ms")
def step_permit(context, name, revision, remaining_ms):
    now_ms = context.cluster.clock.now_ms()
    actual = context.cluster.entries[name].freshness.permit(now_ms)
    assert actual == freshness.Permit(revision, remaining_ms), actual


@then("the permit entry {name} has revision {revision:d}")
def step_has_revision(context, name, revision):
    assert context.cluster.entries[name].latest.revision == revision


@then("the confirmation of the permit entry {name} is current")
def step_current(context, name):
    assert not context.cluster.entries[name].freshness.confirmation_is_stale()


@then("the confirmation of the permit entry {name} is stale")
def step_stale(context, name):
    assert context.cluster.entries[name].freshness.confirmation_is_stale()
