"""Steps for the comparison of audit records with the upstreams' logs."""

import asyncio
import random

from behave import given, then, when

from jujubeglade.bench import loopback, truth
from jujubeglade.core import clock, journal
from jujubeglade.fakes import upstream
from jujubeglade.tools import client

_WAIT_MS = 10_000
_ALL_RECORDED_TIMEOUT_MS = 6000


@given("the audit records to compare")
def step_records(context):
    context.journal_clock = clock.ManualClock(0)
    agent_journal = journal.open_journal("w-1", "aa", context.journal_clock)
    for row in context.table.rows[1:]:
        context.journal_clock.advance(10)
        agent_journal.record(
            journal.Kind(row["kind"]), row["job"] or "w-1", **_detail(row)
        )
    context.records = agent_journal.pending(100, 1 << 20)


@given("the starts in the upstreams' logs")
def step_starts(context):
    context.starts = [
        upstream.Started(
            0, "j1", int(row["task"]), int(row["attempt"]), "a", row["upstream"], ""
        )
        for row in context.table
    ]


@then('the comparison finds "{found}"')
@then('the comparison finds ""')
def step_found(context, found=""):
    findings = truth.examine(context.records, context.starts)
    assert ", ".join(map(str, findings)) == found, list(map(str, findings))


@when(
    "its clients submit {count:d} jobs by seed {seed:d}, cancelling some, while a zone "
    "is drained"
)
def step_run_jobs(context, count, seed):
    context.runner.run(_run_jobs(context.cluster, count, random.Random(seed)))


@then("the site's records report every start, and no false one")
def step_site(context):
    context.runner.run(_compare(context.cluster))


def _detail(row):
    """Parse a detail written as `name=value name=value`."""
    detail = {}
    for pair in row["detail"].split():
        name, value = pair.split("=")
        if name == "ends":
            detail |= journal.pack_ends(map(journal.TaskEnd, value.split(",")))
        else:
            detail[name] = int(value) if value.isdigit() else value.replace(",", " ")
    return detail


async def _run_jobs(cluster, count, rng):
    caller_token = loopback.CALLER_TOKENS["workshop"]
    operator_token = loopback.OPERATOR_TOKENS["duty"]
    async with (
        client.open_client(cluster.entry_urls, caller_token) as caller,
        client.open_client(cluster.entry_urls, operator_token) as operator,
    ):
        jobs = [asyncio.create_task(_run_job(caller, rng)) for _ in range(count)]
        (await operator.command("drain-1", "drain zone north")).unwrap()
        (await operator.command("restore-1", "restore zone north")).unwrap()
        await asyncio.gather(*jobs)


async def _run_job(caller, rng):
    await asyncio.sleep(rng.random())
    (ticket,) = (await caller.tickets()).unwrap()
    task = {
        "service": "parts",
        "payload": {"ms": rng.randrange(20, 400)},
        "repeatable": rng.random() < 0.5,
    }
    job = {"id": ticket, "tasks": [task] * rng.randrange(1, 20)}
    if rng.random() < 0.3:
        await caller.submit(job)
        await asyncio.sleep(rng.random() / 5)
        await caller.cancel(ticket)
    else:
        (await caller.submit(job, _WAIT_MS)).unwrap()


async def _compare(cluster):
    """Read the records until they have every start, then compare them."""
    token = loopback.OPERATOR_TOKENS["duty"]
    key = loopback.CLUSTER_KEY.encode("utf-8")
    starts = [start for fake in cluster.upstreams for start in fake.started]
    assert starts
    async with client.open_client(cluster.entry_urls, token) as operator:
        async with asyncio.timeout(clock.seconds(_ALL_RECORDED_TIMEOUT_MS)):
            while not _have_all_starts(records := await _records(operator), starts):
                await asyncio.sleep(clock.seconds(200))
    assert truth.examine(records, starts, key) == ()


async def _records(operator):
    audit = (await operator.audit()).unwrap()
    return journal.unpack(audit.records).unwrap()


def _have_all_starts(records, starts):
    recorded = {
        (record.subject, *pair)
        for record in records
        if record.kind is journal.Kind.STARTED
        for pair in journal.unpack_attempts(record.detail["attempts"])
    }
    return recorded >= {(start.key, start.index, start.attempt) for start in starts}
