"""Steps for the log lines of entries and agents on a simulated site."""

import asyncio

import logbook
from behave import given, then, when

from jujubeglade.core import log
from jujubeglade.fakes import direct_site


@given("the log is recorded")
def step_record(context):
    handler = logbook.TestHandler(level=logbook.INFO)
    handler.push_application()
    log.set_level("info")
    context.log_records = handler.records
    context.closers.append(lambda: log.set_level("warning"))
    context.closers.append(handler.pop_application)


@when("workers lose stops for {ms:d} ms while {event}")
def step_lose_stops(context, ms, event):
    context.runner.run(_lose_stops(context, ms, event))


@when("worker {index:d} is silent for {ms:d} ms")
def step_silence(context, index, ms):
    context.runner.run(_silence(context.site.nodes[index].worker, ms))


@when("worker {index:d} crashes and is back after {ms:d} ms")
def step_crash_and_return(context, index, ms):
    context.runner.run(_crash(context.site.nodes[index].worker, ms))


@when("worker {index:d} shrinks to {cores:d} cores")
def step_shrink(context, index, cores):
    context.runner.run(_resize(context.site.nodes[index].worker, cores * 1000))


@when("the links of entry {entry:d} break while the client of job {index:d} leaves")
def step_break_links(context, entry, index):
    context.runner.run(_break_links(context, entry, index))


@when("the last message of entry {entry:d} to agent {index:d} is {ms:d} ms old")
def step_old_message(context, entry, index, ms):
    identity, _ = context.site.entries[entry]
    owner = context.site.nodes[index].owners[identity.incarnation]
    owner.last_received_ms = context.site.clock.elapsed_ms() - ms


@when("{ms:d} ms pass on the site")
def step_pass(context, ms):
    context.runner.run(asyncio.sleep(ms / 1000))


@when("agent {index:d} is cut off for {ms:d} ms")
def step_cut(context, index, ms):
    context.runner.run(_cut(context.site.nodes[index], ms))


@then('the log has "{event}" with {field} "{value}"')
def step_line(context, event, field, value):
    lines = [
        record.kwargs
        for record in context.log_records
        if record.msg == event and str(record.kwargs.get(field)) == value
    ]
    assert lines, sorted({record.msg for record in context.log_records})
    context.log_line = lines[0]


@then("its {first} is at least {low:d} and its {second} at least {other_low:d}")
def step_fields(context, first, low, second, other_low):
    assert context.log_line[first] >= low, context.log_line
    assert context.log_line[second] >= other_low, context.log_line


@then('its attempts are "{text}" and were {low:d} to {high:d} ms old')
def step_attempts(context, text, low, high):
    listed = context.log_line["attempts"].split()
    assert [entry.rpartition("/")[0] for entry in listed] == text.split(), listed
    ages_ms = [int(entry.rpartition("/")[2]) for entry in listed]
    assert all(low <= age_ms <= high for age_ms in ages_ms), ages_ms


@then('the log has no "{event}"')
def step_no_line(context, event):
    assert event not in {record.msg for record in context.log_records}


async def _lose_stops(context, ms, event):
    workers = [node.worker for node in context.site.nodes]
    await asyncio.sleep(0.1)
    _set_lost_stops(workers, 1.0)
    if event == "the client of job 0 leaves":
        context.jobs[0][1].cancel()
    elif event == "entry 0 is lost":
        context.site.lose_entry(0)
        await asyncio.sleep(0.65)
    else:
        await _submit_to_all(context)
    await asyncio.sleep(ms / 1000)
    _set_lost_stops(workers, 0.0)
    await asyncio.sleep(0.3)


def _set_lost_stops(workers, share):
    for worker in workers:
        worker.lost_stop_share = share


async def _submit_to_all(context):
    """Submit the first job again at another entry; one agent has both of its tasks."""
    submission, _ = context.jobs[0]
    context.site.nodes[1].worker.draining = True
    context.site.nodes[1].worker.report()
    await asyncio.sleep(0.05)
    _, dispatcher = context.site.entries[1]
    answer = asyncio.create_task(dispatcher.submit(submission, direct_site.ROUTE))
    context.jobs.append((submission, answer))


async def _silence(worker, ms):
    await asyncio.sleep(0.1)
    worker.silent = True
    await asyncio.sleep(ms / 1000)
    worker.silent = False


async def _crash(worker, ms):
    """Crash a worker that is away for some time."""
    await asyncio.sleep(0.3)
    worker.crash(reports=False)
    worker.silent = True
    await asyncio.sleep(ms / 1000)
    worker.silent = False
    worker.report()
    await asyncio.sleep(0.5)


async def _resize(worker, cpu):
    worker.resize(cpu)
    await asyncio.sleep(0)


async def _break_links(context, entry, index):
    site = context.site
    await asyncio.sleep(0.1)
    identity, dispatcher = site.entries[entry]
    for node in site.nodes:
        node.owners[identity.incarnation].link.abort()
    context.jobs[index][1].cancel()
    await asyncio.sleep(0.06)
    for node in site.nodes:
        site.connect(node, identity, dispatcher)
    await asyncio.sleep(0.1)


async def _cut(node, ms):
    await asyncio.sleep(0.1)
    for owner in node.owners.values():
        owner.link.abort()
    await asyncio.sleep(ms / 1000)
