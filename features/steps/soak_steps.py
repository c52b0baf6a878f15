"""Steps for soaks: random faults by seed over real processes."""

import asyncio

from behave import then, when

from jujubeglade.bench import soak


@when("a soak of {seconds:d} s runs with seed {seed:d}")
def _when_soak(context, seconds, seed):
    context.report = asyncio.run(soak.run(seconds, seed))


@then("the soak has no findings")
def _then_no_findings(context):
    report = context.report
    details = (report.faults, report.findings, report.reverts, report.discrepancies)
    assert report.is_clean, details
