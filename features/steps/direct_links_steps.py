"""Steps for links of direct jobs that break and are replaced on a simulated site."""

import asyncio

from behave import when

from jujubeglade.fakes import direct_site


@when("the client of job {index:d} submits it again to entry {entry:d} after {ms:d} ms")
def step_submit_again(context, index, entry, ms):
    context.runner.run(_submit_again(context, index, entry, ms))


async def _submit_again(context, index, entry, ms):
    await asyncio.sleep(ms / 1000)
    submission, _ = context.jobs[index]
    _, dispatcher = context.site.entries[entry]
    answer = asyncio.create_task(dispatcher.submit(submission, direct_site.ROUTE))
    context.jobs.append((submission, answer))
    await asyncio.sleep(0)
