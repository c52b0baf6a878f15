"""Steps for faults of the field on a site of direct jobs in virtual time."""

import asyncio

from behave import given, then, when
from features import direct_faults

from jujubeglade.fakes import (
    direct_field,
    direct_random_faults,
    direct_rare_faults,
    direct_worker_faults,
    virtual_process,
)


@given("a field of {entries:d} entries and {workers:d} workers of {cores:d} cores")
def step_field(context, entries, workers, cores):
    _open_field(context, entries, workers, cores, 1)


@given(
    "a field of {entries:d} entries and {workers:d} workers of {cores:d} cores "
    "with seed {seed:d}"
)
def step_seeded_field(context, entries, workers, cores, seed):
    _open_field(context, entries, workers, cores, seed)


@when("random faults occur for {seconds:d} s")
def step_random_faults(context, seconds):
    context.played = context.runner.run(
        direct_random_faults.random_faults(context.site, context.seed, seconds)
    )


@when("random and rare faults occur for {seconds:d} s")
def step_rare_faults(context, seconds):
    context.played = context.runner.run(
        direct_random_faults.random_faults(
            context.site, context.seed, seconds, direct_rare_faults.RareFaults
        )
    )


@when("random faults, crashing tasks and shrinking workers occur for {seconds:d} s")
def step_worker_faults(context, seconds):
    context.played = context.runner.run(
        direct_random_faults.random_faults(
            context.site,
            context.seed,
            seconds,
            direct_worker_faults.new_worker_faults,
        )
    )


@then("at least {faults:d} faults were played and {jobs:d} jobs were completed")
def step_played(context, faults, jobs):
    assert len(context.played.faults) >= faults, len(context.played.faults)
    assert context.played.completed >= jobs, context.played


@when('the fault "{name}" occurs')
def step_fault(context, name):
    context.runner.run(direct_faults.find(name)(context.site))


@then("{count:d} jobs are completed")
def step_completed(context, count):
    assert len(context.site.witness.done) == count, context.site.witness.done


@then("{count:d} tasks of the field were started")
def step_started(context, count):
    assert context.site.witness.starts == count, context.site.witness.started


@then("worker {index:d} got {least:d} to {most:d} stops")
def step_stops(context, index, least, most):
    stops = context.site.agents[index].worker.stop_calls
    assert least <= stops <= most, stops


def _open_field(context, entries, workers, cores, seed):
    context.runner = asyncio.Runner(loop_factory=virtual_process.ProcessLoop)
    context.seed = seed
    zones = tuple(f"zone-{index}" for index in range(entries))
    context.site = context.runner.run(
        direct_field.open_field(zones, workers, cores * 1000, seed)
    )
    context.closers = [*getattr(context, "closers", ()), context.runner.close]
    context.closers.append(lambda: context.runner.run(context.site.close()))
