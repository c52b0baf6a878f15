"""Steps for soaks of direct jobs: random faults by seed on real processes."""

import asyncio

from behave import then, when

from jujubeglade.bench import direct_soak


@when("a soak of direct jobs of {seconds:d} s runs with seed {seed:d}")
def step_soak(context, seconds, seed):
    context.report = asyncio.run(direct_soak.run(seconds, seed))


@when("a soak of direct jobs of {seconds:d} s runs with seed {seed:d} beside crowds")
def step_soak_crowds(context, seconds, seed):
    context.report = asyncio.run(direct_soak.run(seconds, seed, crowds=True))


@then("the soak of direct jobs has no findings")
def step_no_findings(context):
    report = context.report
    assert report.completed > 0, report
    assert not report.findings, report
