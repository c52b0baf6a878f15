"""Steps for the load of the users' counters on a simulated site in virtual time."""

import asyncio
import subprocess
import sys
import types

from behave import given, then, when

from jujubeglade.bench import counter_load
from jujubeglade.direct import job, sharing
from jujubeglade.fakes import direct_site, virtual

_ZONES = ("zone-0", "zone-1", "zone-2", "zone-3")
_WORKERS = 11
_WORKER_CPU = 32_000
_TASK_CPU = 3100


@given("the counters' site")
def step_site(context):
    open_site(context, 1)


@given("the counters' site, with seed {seed:d}")
def step_seeded_site(context, seed):
    open_site(context, seed)


@when("the counters' load runs for {seconds:d} s")
def step_load(context, seconds):
    play(context, counter_load.Load(_TASK_CPU, seconds))


@when(
    "the counters' load runs for {seconds:d} s, {factor:f} times as high "
    "from {begin:d} s to {end:d} s"
)
def step_burst(context, seconds, factor, begin, end):
    play(context, counter_load.Load(_TASK_CPU, seconds, 1.0, factor, (begin, end)))


@when("the counters' load runs at {factor:f} times its rate for {seconds:d} s")
def step_overload(context, factor, seconds):
    play(context, counter_load.Load(_TASK_CPU, seconds, factor))


@then("at least {share:g} % of the counters' requests are served")
def step_served(context, share):
    assert counter_load.tally(context.answers).served * 100 >= share


@then("none of the counters' requests is refused")
def step_none_refused(context):
    assert counter_load.tally(context.answers).refused == 0


@then(
    "at least {share:g} % of the counters' requests that arrive after {seconds:d} s "
    "are served"
)
def step_served_after(context, share, seconds):
    later = [answer for answer in context.answers if answer.at_s >= seconds]
    assert counter_load.tally(later).served * 100 >= share


@then("each kind and each entry is served at least half as often as all are")
def step_fair(context):
    served = counter_load.tally(context.answers).served
    for group in (lambda answer: answer.kind.name, lambda answer: answer.entry):
        for name, answers in counter_load.split(context.answers, group).items():
            share = counter_load.tally(answers).served
            assert share >= served / 2, (name, share, served)


@then("at least {share:d} % of the counters' refusals arrive before the objective")
def step_refusals(context, share):
    refused = [
        answer for answer in context.answers if answer.state is job.State.REFUSED
    ]
    early = sum(answer.took_ms < answer.objective_ms for answer in refused)
    assert refused
    assert early >= len(refused) * share / 100, f"{early} of {len(refused)}"


@when("the counters' command runs a load of {seconds:d} s without a burst")
def step_command(context, seconds):
    options = ["--seconds", str(seconds), "--burst", "1"]
    context.process = subprocess.run(
        [sys.executable, "-m", "jujubeglade.bench.counters", *options],
        capture_output=True,
        text=True,
        check=False,
    )


@then("it prints a line for all, check, issue, hold and each window")
def step_printed(context):
    assert context.process.returncode == 0, context.process
    names = {line.split("  ")[0] for line in context.process.stdout.splitlines()}
    assert names == {"all", "check", "issue", "hold", "0 s", "2 s"}, names


@given("owners that need room by")
def step_owners(context):
    context.owners = {
        row["owner"]: types.SimpleNamespace(room_needed_by_ms=float(row["ms"]))
        for row in context.table
    }


@then("room that {owner} freed is announced first to {first}")
def step_first(context, owner, first):
    owners = context.owners
    chosen = sharing.most_urgent_owner(owners[owner], list(owners.values()))
    assert chosen is owners[first], chosen


def open_site(context, seed):
    context.runner = asyncio.Runner(loop_factory=virtual.VirtualLoop)
    context.seed = seed
    context.site = context.runner.run(
        direct_site.open_site(_ZONES, _WORKERS, _WORKER_CPU, seed)
    )
    context.closers = [context.runner.close]


def play(context, load):
    context.answers = context.runner.run(
        counter_load.play(context.site, load, context.seed)
    )
