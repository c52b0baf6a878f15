"""Steps for the timeline of a request."""

import asyncio
import io
import subprocess
import sys

from behave import given, then, when
from features.steps import platform_steps

from jujubeglade.core import log
from jujubeglade.fakes import platform_site
from jujubeglade.tools import explain


@given("a platform site of {entries:d} entries and {workers:d} workers that logs")
def step_logging_site(context, entries, workers):
    context.stream = io.StringIO()
    log.setup("info", context.stream, "site", "site", "json")
    platform_steps.open_site(context, entries, workers, configured=True)
    context.closers.append(lambda: log.setup("error", sys.stderr, "test", "test"))


@given("worker {index:d} of the platform takes {factor:d} times as long for its tasks")
def step_slow(context, index, factor):
    context.site.workers[index].inner.slowdown = factor


@given("worker {index:d} of the platform fails all its tasks")
def step_failing(context, index):
    context.site.workers[index].inner.failure_share = 1.0


@given("the log lines")
def step_lines(context):
    context.lines = context.text.splitlines()


@when(
    "a client submits {count:d} tasks of {cores:d} cores for {ms:d} ms to entry {n:d} "
    "in the background"
)
def step_background(context, count, cores, ms, n):
    path = f"{platform_site.PREFIX}{'f' * 16}"
    body = platform_site.job(count, cores, ms)
    context.runner.run(_start(context.site.request(n, "POST", path, body)))


@when("the request {job_id} is explained")
def step_explain(context, job_id):
    context.timeline = explain.build_timeline(job_id, context.lines)


@then('the timeline of the last request has "{event}" with "{detail}"')
def step_timeline_has(context, event, detail):
    context.runner.run(asyncio.sleep(0.3))
    log.flush()
    context.timeline = explain.build_timeline(
        f"{context.ids:016x}", context.stream.getvalue().splitlines()
    )
    matches = [line.details for line in context.timeline.lines if line.event == event]
    assert any(detail in details for details in matches), context.timeline


@then("the timeline has no gaps")
def step_no_gaps(context):
    assert not context.timeline.gaps, context.timeline.gaps


@then("the gaps of the timeline are")
def step_gaps(context):
    assert list(context.timeline.gaps) == context.text.splitlines(), (
        context.timeline.gaps
    )
    assert context.timeline.lines


@then("the command explains it from its standard input")
def step_command(context):
    process = subprocess.run(
        [sys.executable, "-m", "jujubeglade.tools.main", "explain", "00000000000000ab"],
        input="\n".join(context.lines),
        capture_output=True,
        text=True,
        check=False,
    )
    assert process.returncode == 0, process
    assert "attempt sent" in process.stdout, process.stdout


async def _start(coroutine):
    asyncio.create_task(coroutine)
    await asyncio.sleep(0.1)
