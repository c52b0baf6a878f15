"""Steps for faults of the field on a site of direct jobs in virtual time."""

import asyncio

from behave import given, when
from features import direct_faults

from jujubeglade.fakes import direct_field, direct_random_faults, virtual_process


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
    context.runner.run(
        direct_random_faults.random_faults(context.site, context.seed, seconds)
    )


@when('the fault "{name}" occurs')
def step_fault(context, name):
    context.runner.run(direct_faults.find(name)(context.site))


def _open_field(context, entries, workers, cores, seed):
    context.runner = asyncio.Runner(loop_factory=virtual_process.ProcessLoop)
    context.seed = seed
    zones = tuple(f"zone-{index}" for index in range(entries))
    context.site = context.runner.run(
        direct_field.open_field(zones, workers, cores * 1000, seed)
    )
    context.closers = [*getattr(context, "closers", ()), context.runner.close]
    context.closers.append(lambda: context.runner.run(context.site.close()))
