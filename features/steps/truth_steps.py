"""Steps for the truth of the records."""

import asyncio
import random

from behave import given, then, when

from jujubeglade.bench import loopback, truth
from jujubeglade.core import clock, journal
from jujubeglade.fakes import upstream
from jujubeglade.tools import client

_WAIT_MS = 10_000
_RECORDED_MS = 6000


@given("the truth's records")
def step_records(context):
    context.journal_clock = clock.ManualClock(0)
    a_journal = journal.open_journal("w-1", "aa", context.journal_clock)
    for row in context.table.rows[1:]:
        context.journal_clock.advance(10)
        a_journal.record(journal.Kind(row["kind"]), row["job"] or "w-1", **_detail(row))
    context.records = a_journal.pending(100, 1 << 20)


@given("the upstreams' log of starts")
def step_starts(context):
    context.starts = [
        upstream.Started(
            0, "j1", int(row["task"]), int(row["attempt"]), "a", row["upstream"], ""
        )
        for row in context.table
    ]


@then('the truth finds "{found}"')
@then('the truth finds ""')
def step_found(context, found=""):
    falsehoods = truth.examine(context.records, context.starts)
    assert ", ".join(map(str, falsehoods)) == found, list(map(str, falsehoods))


@when(
    "its clients submit {count:d} jobs by seed {seed:d}, cancelling some, while a zone "
    "is drained"
)
def step_load(context, count, seed):
    context.runner.run(_load(context.cluster, count, random.Random(seed)))


@then("the site's records tell of every start, and nothing that is false")
def step_site(context):
    context.runner.run(_compare(context.cluster))


def _detail(row):
    """Read a detail written as `name=value name=value`."""
    detail = {}
    for pair in row["detail"].split():
        name, value = pair.split("=")
        if name == "ends":
            detail |= journal.pack_ends(map(journal.TaskEnd, value.split(",")))
        else:
            detail[name] = int(value) if value.isdigit() else value.replace(",", " ")
    return detail


async def _load(cluster, count, chance):
    caller_token = loopback.CALLER_TOKENS["workshop"]
    operator_token = loopback.OPERATOR_TOKENS["duty"]
    async with (
        client.open_client(cluster.entry_urls, caller_token) as caller,
        client.open_client(cluster.entry_urls, operator_token) as operator,
    ):
        jobs = [asyncio.create_task(_job(caller, chance)) for _ in range(count)]
        (await operator.command("drain-1", "drain zone north")).unwrap()
        (await operator.command("restore-1", "restore zone north")).unwrap()
        await asyncio.gather(*jobs)


async def _job(caller, chance):
    await asyncio.sleep(chance.random())
    (ticket,) = (await caller.tickets()).unwrap()
    task = {
        "service": "parts",
        "payload": {"ms": chance.randrange(20, 400)},
        "repeatable": chance.random() < 0.5,
    }
    job = {"id": ticket, "tasks": [task] * chance.randrange(1, 20)}
    if chance.random() < 0.3:
        await caller.submit(job)
        await asyncio.sleep(chance.random() / 5)
        await caller.cancel(ticket)
    else:
        (await caller.submit(job, _WAIT_MS)).unwrap()


async def _compare(cluster):
    """Read the records until they tell of every start."""
    token = loopback.OPERATOR_TOKENS["duty"]
    key = loopback.CLUSTER_KEY.encode("utf-8")
    starts = [start for fake in cluster.upstreams for start in fake.started]
    assert starts
    async with client.open_client(cluster.entry_urls, token) as operator:
        async with asyncio.timeout(clock.seconds(_RECORDED_MS)):
            while not _are_told(records := await _records(operator), starts):
                await asyncio.sleep(clock.seconds(200))
    assert truth.examine(records, starts, key) == ()


async def _records(operator):
    audit = (await operator.audit()).unwrap()
    return journal.unpack(audit.records).unwrap()


def _are_told(records, starts):
    told = {
        (record.subject, *pair)
        for record in records
        if record.kind is journal.Kind.STARTED
        for pair in journal.unpack_attempts(record.detail["attempts"])
    }
    return told >= {(start.key, start.index, start.attempt) for start in starts}
