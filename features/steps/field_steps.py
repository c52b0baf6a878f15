"""Steps for a field of many entries and agents of direct jobs, in virtual time."""

import asyncio
import collections
from unittest import mock

from behave import given, then, when

from jujubeglade.direct import contract, job
from jujubeglade.fakes import direct_clients

_CORES = 1000
_SETTLING_S = 0.3
_JOB_INTERVAL_S = 0.1
_CHANGE_INTERVAL_S = 1.0
_RUN_MS = 400
#: Time for all entries to hear of a new worker, and for an agent to dial again.
_GOSSIP_MS = 2500
_RELINK_MS = 500
#: When a cut is healed after the job has been submitted.
_HEAL_S = 0.1
#: The entries that stay while others come and go.
_STAYING = 8


@when("the messages to the agents are counted for {ms:d} ms")
def step_count_messages(context, ms):
    context.received = collections.Counter()
    for host in context.site.agents:
        _count_messages(host, context.received)
    _wait(context, ms)


@when(
    "jobs of {count:d} tasks for {ms:d} ms are sent to entry 0 each {gap_ms:d} ms for "
    "{duration_ms:d} ms"
)
def step_overload(context, count, ms, gap_ms, duration_ms):
    context.received = collections.Counter()
    context.duration_ms = duration_ms
    for host in context.site.agents:
        _count_messages(host, context.received, contract.Beat)
    load = _load(context.site, (count, ms), gap_ms, duration_ms)
    context.runner.run(load)


@then("the agents got at most {most:d} heartbeats a second")
def step_heartbeats(context, most):
    total = sum(context.received.values())
    assert 0 < total <= most * context.duration_ms / 1000, total


@given("a worker of {cores:d} cores in the field")
def step_large_worker(context, cores):
    context.runner.run(context.site.add_agent("zone-0", cores * _CORES))
    _wait(context, _GOSSIP_MS)


@given("the entries of the field are behind {rate:d} bytes a second")
def step_limit(context, rate):
    for host in context.site.entries:
        context.site.network.limit(host.name, rate)
    context.runner.run(_reset_links(context.site, context.site.entries))
    _wait(context, _RELINK_MS)


@when("all links of entry {index:d} are reset")
def step_reset_all(context, index):
    context.runner.run(_reset_links(context.site, [context.site.entries[index]]))


@when("all processes of the field are killed and started again at once")
def step_restart_all(context):
    context.runner.run(_restart_all(context.site))


@then("no link of the field is lost in the next {ms:d} ms")
def step_no_link_lost(context, ms):
    assert _count_lost(context, ms) == 0


@then("some links of the field are lost in the next {ms:d} ms")
def step_links_lost(context, ms):
    assert _count_lost(context, ms) > 0


@when("each entry of the field gets a job of a task of {cores:d} cores")
def step_large_jobs(context, cores):
    site = context.site
    context.requests = [
        context.runner.run(_request(host, site.submission(1, cores * _CORES, _RUN_MS)))
        for host in site.entries
    ]


@when("the link of worker {worker:d} to entry {entry:d} is reset")
def step_reset(context, worker, entry):
    dispatcher = context.site.entries[entry].entry._dispatcher
    handle = dispatcher._handle_roster
    context.rosters = []

    def record(fleet_worker, roster):
        context.rosters.append(roster)
        handle(fleet_worker, roster)

    with mock.patch.object(type(dispatcher), "_handle_roster", _ignoring_self(record)):
        _pair(context, entry, worker).reset()
        _wait(context, _RELINK_MS)


@then(
    "the {count:d} entries with a large worker complete theirs, and the others refuse "
    "within {ms:d} ms"
)
def step_completed_or_refused(context, count, ms):
    _wait(context, ms)
    refused = [request for request in context.requests if request.is_answered]
    assert len(context.requests) - len(refused) == count, len(refused)
    states = {_state(context, request) for request in refused}
    assert states == {job.State.REFUSED}, states
    states = {_state(context, request) for request in context.requests}
    assert states == {job.State.REFUSED, job.State.COMPLETED}, states


@then("each entry of the field answers that the job has failed")
def step_all_failed(context):
    states = {_state(context, request) for request in context.requests}
    assert states == {job.State.FAILED}, states


@then("the roster on the next link repeats at most {most:d} ends")
def step_repeated(context, most):
    assert [len(roster.ended) <= most for roster in context.rosters] == [True], [
        len(roster.ended) for roster in context.rosters
    ]


@when("entries {first:d} to {last:d} of the field are killed")
def step_kill(context, first, last):
    hosts = context.site.entries[first : last + 1]
    context.runner.run(_kill(context.site, hosts))


@when("the links of entry {entry:d} to workers {first:d} to {last:d} go silent")
def step_silence(context, entry, first, last):
    for index in range(first, last + 1):
        _pair(context, entry, index).silence()


@when(
    "the links of entry {entry:d} to workers {first:d} to {last:d} are held for "
    "{ms:d} ms"
)
def step_hold(context, entry, first, last, ms):
    context.runner.run(_hold(context, entry, range(first, last + 1), ms))


@when("{ms:d} ms pass in the field")
def step_pass(context, ms):
    _wait(context, ms)


@when("entry {index:d} of the field gets a job of {count:d} tasks for {ms:d} ms")
def step_job(context, index, count, ms):
    context.requests = [_submit(context, index, count, ms)]


@when("each entry of the field gets a job of {count:d} tasks for {ms:d} ms")
def step_jobs(context, count, ms):
    indexes = range(len(context.site.entries))
    context.requests = [_submit(context, index, count, ms) for index in indexes]
    _wait(context, 1000 * _SETTLING_S)


@when("{count:d} entries are added to the field")
def step_add(context, count):
    for index in range(count):
        context.runner.run(context.site.add_entry(f"zone-{index}"))


@when("entries of the field are killed, restarted and added for {ms:d} ms under load")
def step_churn(context, ms):
    context.outcomes = context.runner.run(_churn(context.site, ms))


@then("each agent is linked to {count:d} entries")
def step_agent_links(context, count):
    links = collections.Counter(agent for agent, _ in _links(context.site))
    assert {links[host.name] for host in context.site.agents} == {count}, links


@then("each entry is linked to {least:d} to {most:d} agents")
def step_entry_links(context, least, most):
    links = collections.Counter(entry for _, entry in _links(context.site))
    for host in context.site.entries:
        assert least <= links[host.name] <= most, links


@then("each agent got at most {most:d} messages")
def step_received(context, most):
    assert len(context.received) == len(context.site.agents)
    assert max(context.received.values()) <= most, context.received


@then("all jobs of the field are completed within {ms:d} ms")
def step_completed(context, ms):
    outcomes = context.runner.run(_outcomes(context.requests, ms))
    assert all(_is_completed(outcome) for outcome in outcomes), outcomes


@then("no task of the field was started twice")
def step_started_once(context):
    witness = context.site.witness
    assert witness.starts == len(witness.done), (witness.starts, len(witness.done))


@then("some task of the field was started twice")
def step_started_twice(context):
    witness = context.site.witness
    assert witness.starts > len(witness.done), (witness.starts, len(witness.done))


@then("at least {share:d} % of the jobs at entries that stayed are completed")
def step_share(context, share):
    completed = sum(_is_completed(outcome) for outcome in context.outcomes)
    assert completed >= len(context.outcomes) * share / 100, (
        completed,
        len(context.outcomes),
    )


def _pair(context, entry, worker):
    site = context.site
    return site.network.pair(site.agents[worker].name, site.entries[entry].name)


async def _hold(context, entry, workers, ms):
    """Hold the messages of some agents to an entry; those of the entry pass."""
    network = context.site.network
    entry_name = context.site.entries[entry].name
    names = [context.site.agents[index].name for index in workers]
    for name in names:
        network.cut(name, entry_name, from_entry=False)
    await asyncio.sleep(ms / 1000)
    for name in names:
        asyncio.get_running_loop().call_later(_HEAL_S, network.heal, name, entry_name)


def _count_lost(context, ms):
    """Count the links that are open now and not after a while."""
    pairs = context.site.network._pairs
    open_now = [pair for pair in pairs.values() if pair.is_open]
    assert open_now
    _wait(context, ms)
    return sum(not pair.is_open for pair in open_now)


async def _reset_links(site, hosts):
    for host in hosts:
        for pair in site.network.pairs_of(host.name):
            pair.reset()


async def _restart_all(site):
    for host in (*site.entries, *site.agents):
        site.kill(host)
    for host in site.entries:
        await site.start_entry(host)
    for host in site.agents:
        await site.start_agent(host)


async def _kill(site, hosts):
    for host in hosts:
        site.kill(host)


def _links(site):
    """Yield the names of the agent and the entry of each open link."""
    for (agent, entry), pair in site.network._pairs.items():
        if pair.agent_end.is_open and pair.entry_end.is_open:
            yield agent, entry


def _count_messages(host, received, kind=object):
    handle = host.agent.on_message

    def count(link, body):
        received[host.name] += isinstance(body, kind)
        handle(link, body)

    host.agent.on_message = count


def _submit(context, index, count, ms):
    site = context.site
    submission = site.submission(count, _CORES, ms)
    return context.runner.run(_request(site.entries[index], submission))


def _ignoring_self(function):
    return lambda _, *arguments: function(*arguments)


def _state(context, request):
    outcome = context.runner.run(request.outcome())
    return None if outcome is None else outcome.state


async def _load(site, shape, gap_ms, duration_ms):
    end_s = site.loop.time() + duration_ms / 1000
    while site.loop.time() < end_s:
        submission = site.submission(shape[0], _CORES, shape[1])
        direct_clients.Request(site.entries[0], submission)
        await asyncio.sleep(gap_ms / 1000)


async def _request(host, submission):
    return direct_clients.Request(host, submission)


async def _outcomes(requests, ms):
    async with asyncio.timeout(ms / 1000):
        return [await request.outcome() for request in requests]


async def _churn(site, ms):
    """Change the entries but the first ones each second, and load these all the time.

    Returns:
      A list of the outcomes at the entries that stayed.
    """
    end_s = site.loop.time() + ms / 1000
    changing = asyncio.create_task(_change_entries(site, end_s))
    requests = []
    while site.loop.time() < end_s:
        for host in site.entries[:_STAYING]:
            submission = site.submission(3, _CORES, _RUN_MS)
            requests.append(direct_clients.Request(host, submission))
        await asyncio.sleep(_JOB_INTERVAL_S)
    await changing
    return [await request.outcome() for request in requests]


async def _change_entries(site, end_s):
    while site.loop.time() < end_s:
        host = site.rng.choice(site.entries[_STAYING:])
        if host.process.is_killed:
            await site.start_entry(host)
        elif site.rng.random() < 0.5:
            site.kill(host)
        else:
            await site.add_entry(f"zone-{len(site.entries)}")
        await asyncio.sleep(_CHANGE_INTERVAL_S)


def _is_completed(outcome):
    return outcome is not None and outcome.state is job.State.COMPLETED


def _wait(context, ms):
    context.runner.run(asyncio.sleep(ms / 1000))
