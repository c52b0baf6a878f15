"""Steps for links of direct jobs that break and are replaced on a simulated site."""

import asyncio
import dataclasses

from behave import given, then, when

from jujubeglade.direct import worker
from jujubeglade.fakes import direct_site

#: The names and start times of incarnations that do not run; "" is the worker's name.
_FOREIGN_INSTANCES = {
    "a report of another worker": ("other", 99),
    "a report without a start time": ("other", 0),
    "a report of a later start of its worker": ("", 99),
}
#: The shortest and the longest delay of late calls.
_LATE_MS = (2000, 12_000)


@when("the client of job {index:d} submits it again to entry {entry:d} after {ms:d} ms")
def step_submit_again(context, index, entry, ms):
    context.runner.run(_submit_again(context, index, entry, ms))


@when(
    "the client of job {index:d} leaves and submits it to entry {entry:d} after "
    "{ms:d} ms"
)
def step_leave_and_submit(context, index, entry, ms):
    context.jobs[index][1].cancel()
    context.runner.run(_submit_again(context, index, entry, ms))


@when("agent {index:d} gets {message}")
def step_message(context, index, message):
    context.runner.run(_receive(context.site.nodes[index], message))


@when("agent {index:d} is lost")
def step_lose_agent(context, index):
    context.runner.run(context.site.lose_agent(index))


@when("worker {index:d} reports that it drains")
def step_drain(context, index):
    context.runner.run(_report_draining(context.site.nodes[index].worker, True))


@when("worker {index:d} reports that it takes work again")
def step_undrain(context, index):
    context.runner.run(_report_draining(context.site.nodes[index].worker, False))


@given("all workers lose {share:d} % of the stops")
def step_losing_stops(context, share):
    for node in context.site.nodes:
        node.worker.lost_stop_share = share / 100


@given(
    "worker {index:d} executes {share:d} % of the polls late, which extends its lease "
    "then"
)
def step_late_polls(context, index, share):
    worker = context.site.nodes[index].worker
    worker.late_poll_share = share / 100
    worker.late_lease_shifts = True
    worker.late_ms = _LATE_MS


@when("worker {index:d} executes all polls late from now on")
def step_all_late(context, index):
    context.site.nodes[index].worker.late_poll_share = 1.0


@when(
    "entry {entry:d} gets a job of {count:d} tasks of {cores:d} cores for {ms:d} ms, "
    "whose client waits {timeout_ms:d} ms"
)
def step_patient_job(context, entry, count, cores, ms, timeout_ms):
    submission = context.site.submission(count, cores * 1000, ms, timeout_ms)
    context.runner.run(_submit(context, submission, entry))


@when("entry {entry:d} is lost")
def step_lose_entry(context, entry):
    context.runner.run(_lose_entry(context.site, entry))


@when("worker {index:d} loses all stops for {ms:d} ms")
def step_lose_stops(context, index, ms):
    context.runner.run(_lose_stops(context.site.nodes[index].worker, ms))


@when("the last echo of entry {entry:d} at agent {index:d} is {ms:d} ms old")
def step_old_echo(context, entry, index, ms):
    identity, _ = context.site.entries[entry]
    owner = context.site.nodes[index].owners[identity.incarnation]
    owner.alive_ms = context.site.clock.elapsed_ms() - ms


@when(
    "the messages of agent {index:d} to entry {entry:d} slow down by {step_ms:d} ms "
    "every {interval_ms:d} ms up to {last_ms:d} ms"
)
def step_slow_down(context, index, entry, step_ms, interval_ms, last_ms):
    identity, _ = context.site.entries[entry]
    agent_end = context.site.nodes[index].owners[identity.incarnation].link
    delays_ms = range(step_ms, last_ms + 1, step_ms)
    context.runner.run(_slow_down(agent_end, delays_ms, interval_ms))


@then("agent {index:d} offers entry {entry:d} no room")
def step_no_room(context, index, entry):
    identity, _ = context.site.entries[entry]
    node = context.site.nodes[index]
    owner = node.owners[identity.incarnation]
    node.announcer.send_room(owner)
    assert not owner.link.last_sent.accepting


@when("agent {index:d} reaches entry {entry:d} again")
def step_reach_again(context, index, entry):
    context.runner.run(_reach_again(context.site, index, entry))


async def _slow_down(agent_end, delays_ms, interval_ms):
    for delay_ms in delays_ms:
        agent_end.delay_ms = delay_ms
        await asyncio.sleep(interval_ms / 1000)


async def _reach_again(site, index, entry):
    identity, dispatcher = site.entries[entry]
    site.connect(site.nodes[index], identity, dispatcher)


async def _report_draining(worker, draining):
    worker.draining = draining
    worker.report()
    await asyncio.sleep(0.05)


def _dispatcher(site, entry):
    """Return the Dispatcher of an entry; earlier ones may have been lost."""
    (dispatcher,) = (
        dispatcher
        for identity, dispatcher in site.entries
        if identity.name == f"entry-{entry}"
    )
    return dispatcher


async def _timed(context, dispatcher, submission):
    started_ms = context.site.clock.now_ms()
    outcome = await dispatcher.submit(submission, direct_site.ROUTE)
    return outcome, context.site.clock.now_ms() - started_ms


async def _lose_entry(site, entry):
    site.lose_entry(entry)
    await asyncio.sleep(0)


async def _receive(node, message):
    if message == "a leave of its worker":
        node.runner.on_left(node.worker.name)
        return
    name, started_ms = _FOREIGN_INSTANCES[message]
    instance = worker.Instance(name or node.worker.name, started_ms)
    node.runner.on_report(dataclasses.replace(node.runner.report, instance=instance))


async def _lose_stops(worker, ms):
    worker.lost_stop_share = 1.0
    loop = asyncio.get_running_loop()
    loop.call_later(ms / 1000, setattr, worker, "lost_stop_share", 0.0)


async def _submit_again(context, index, entry, ms):
    await asyncio.sleep(ms / 1000)
    submission, _ = context.jobs[index]
    await _submit(context, submission, entry)


async def _submit(context, submission, entry):
    dispatcher = _dispatcher(context.site, entry)
    answer = asyncio.create_task(_timed(context, dispatcher, submission))
    context.jobs.append((submission, answer))
    await asyncio.sleep(0)
