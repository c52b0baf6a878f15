"""Steps for shedding load by what a delay costs callers."""

import asyncio
import dataclasses
import time
import types
from unittest import mock

from behave import given, then, when

from jujubeglade.bench import counter_load, counters
from jujubeglade.direct import (
    acceptance,
    admission,
    delay_cost,
    dispatcher,
    job,
    lateness,
    options,
    owned_job,
    policy,
    queueing,
    shedding,
)
from jujubeglade.fakes import direct_site, virtual

_CORE = 1000
_NEWCOMER = "newcomer"


@given("{cores:d} free cores and these jobs that wait")
def step_waiting(context, cores):
    context.free_cpu = cores * _CORE
    context.waiting = [
        _claim(
            row["job"],
            *(int(row[name]) for name in ("priority", "tasks", "ms", "due")),
            number,
            row.get("sent") == "yes",
        )
        for number, row in enumerate(context.table)
    ]


@when(
    "a job of priority {priority:d} with {tasks:d} tasks of {ms:d} ms, "
    "due in {due:d} ms, arrives"
)
def step_newcomer(context, priority, tasks, ms, due):
    newcomer = _claim(_NEWCOMER, priority, tasks, ms, due, 100)
    plan = shedding.Plan(context.free_cpu, (), (), tuple(context.waiting), newcomer)
    deal = shedding._ends_ms
    with mock.patch.object(shedding, "_ends_ms", side_effect=deal) as dealings:
        begin_s = time.monotonic()
        verdict = policy.find("admission", "least_cost")(plan)
        context.took_ms = (time.monotonic() - begin_s) * 1000
    context.dealt_tasks = sum(
        len(claim.loads) for call in dealings.call_args_list for claim in call.args[1]
    )
    context.refused = {claim.job_id for claim in verdict.refused}


@then("only the newcomer gives way")
def step_newcomer_gives_way(context):
    assert context.refused == {_NEWCOMER}, context.refused


@then("no job gives way")
def step_none_gives_way(context):
    assert not context.refused, context.refused


@then("only {name:w} gives way")
def step_gives_way(context, name):
    assert context.refused == {name}, context.refused


@given(
    "a starvation guard that has seen {served:d} of 40 jobs of {group} served, "
    "and 40 of 40 others"
)
def step_guard(context, served, group):
    context.guard = shedding.Guard()
    # Other jobs of the route are small; the guard learns what is large from all.
    works = {"a route": (100.0, None), "large jobs": (10_000.0, 100.0)}
    context.work, small = works[group]
    scarce = _route("scarce", 1)
    for number in range(40):
        _note(context.guard, _route("other", 1), 100.0, False)
        for _ in range(12 if small else 0):
            _note(context.guard, scarce, small, False)
        _note(context.guard, scarce, context.work, number >= served)


@then("it {decision} the next job of {group}")
def step_protects(context, decision, group):
    protects = context.guard.protects(_route("scarce", 1), context.work)
    assert protects == (decision == "protects"), protects


@given(
    "a starvation guard that has seen {first:d} of 40 jobs of priority 0 served, "
    "and {second:d} of 40 of priority 1"
)
def step_priorities(context, first, second):
    context.guard = shedding.Guard()
    for priority, served in enumerate((first, second)):
        for number in range(40):
            route = _route(f"route-{priority}", priority)
            _note(context.guard, route, 100.0, number >= served)


@then("the next job of priority {priority:d} is accepted even if it would be late")
def step_overdue(context, priority):
    assert context.guard.is_underserved(_route(f"route-{priority}", priority))


@then("the next job of priority {priority:d} isn't")
def step_not_overdue(context, priority):
    assert not context.guard.is_underserved(_route(f"route-{priority}", priority))


@given("{count:d} jobs that are refused while room is forecast after {ms:d} ms")
def step_refused_jobs(context, count, ms):
    context.retries_ms = [
        shedding.spread_retry_ms(float(ms), f"{number:016x}") for number in range(count)
    ]


@then("none is told to retry before {ms:d} ms")
def step_none_before(context, ms):
    assert min(context.retries_ms) >= ms
    context.room_after_ms = ms


@then("every tenth of the following {ms:d} ms is told to at least {count:d} of them")
def step_spread(context, ms, count):
    tenths = [0] * 10
    for retry_ms in context.retries_ms:
        tenths[int((retry_ms - context.room_after_ms) * 10 // ms)] += 1
    assert min(tenths) >= count, tenths


@given(
    "arriving work of which {first:g} has priority 0, {second:g} priority 1 "
    "and {third:g} priority 2"
)
def step_mix(context, first, second, third):
    context.mix = ((0, first), (1, second), (2, third))


@when("{admitted:g} of the work is admitted")
def step_admitted(context, admitted):
    context.level = lateness.Level(admitted, 0.0, context.mix)


@then(
    "{first:g} of priority 0 is admitted, {second:g} of priority 1 "
    "and {third:g} of priority 2"
)
def step_chances(context, first, second, third):
    chances = [lateness.chance(context.level, priority) for priority in range(3)]
    for chance, wanted in zip(chances, (first, second, third), strict=True):
        assert abs(chance - wanted) < 1e-9, chances


@given("{entries:d} entries whose callers compete for room, with seed {seed:d}")
def step_competing(context, entries, seed):
    context.fleet = dataclasses.replace(counters.FLEETS["competing"], entries=entries)
    context.seed = seed
    context.options = options.Options(6)


@given("all of them admit a tenth of the work")
def step_low_level(context):
    level = lateness.Level(0.1, 0.5, ((0, 0.2), (1, 0.5), (2, 0.3)))
    patch = mock.patch.object(lateness.Lateness, "level", lambda self: level)
    patch.start()
    context.add_cleanup(patch.stop)


@given("{share:d} % of the starts get no answer")
def step_lost_starts(context, share):
    context.late_start_share = share / 100


@then("no job is refused")
def step_none_refused(context):
    refused = [entry for entry in context.outcomes if entry[1] is job.State.REFUSED]
    assert context.outcomes and not refused, refused


@then("every entry admits all of the work")
def step_all_admitted(context):
    levels = [
        learnt.level()
        for _, entry in context.site.entries
        for learnt in entry._acceptance._lateness.values()
    ]
    assert levels and all(level.admitted == 1.0 for level in levels), levels


@given("{entries:d} entries that would coordinate from {least:d} on")
def step_below(context, entries, least):
    step_competing(context, entries, 1)
    context.options = options.Options(least)


@when("callers ask for {share:g} times the usual load for {seconds:d} s")
def step_load(context, share, seconds):
    context.share, context.seconds = share, seconds
    context.answers, context.site = _play(context, context.options)


@then("check is served as often as hold, and hold as often as issue, within {most:g}")
def step_order(context, most):
    served = [_served(context, lambda a, k=kind: a.kind.name == k) for kind in _KINDS]
    for urgent, other in zip(served, served[1:], strict=False):
        assert urgent >= other - most, dict(zip(_KINDS, served, strict=True))


@then(
    "each kind, and the largest tenth of each kind, "
    "is served at least half as often as all"
)
def step_not_starved(context):
    served = counter_load.tally(context.answers).served
    for kind in _KINDS:
        jobs = [answer for answer in context.answers if answer.kind.name == kind]
        jobs.sort(key=lambda answer: answer.weight)
        for part in (jobs, jobs[-max(1, len(jobs) // 10) :]):
            share = counter_load.tally(part).served
            assert share >= served / 2, (kind, len(part), share, served)


@then("at least {share:g} % of check is in time")
def step_check_in_time(context, share):
    jobs = [answer for answer in context.answers if answer.kind.name == "check"]
    in_time = counter_load.tally(jobs).in_time
    assert in_time * 100 >= share, in_time


@then("every refusal names a retry time, and none was sent to a worker")
def step_true_refusals(context):
    refused = [entry for entry in context.outcomes if entry[1] is job.State.REFUSED]
    for job_id, _, retry_after_ms in refused:
        assert retry_after_ms > 0, job_id
        assert job_id not in context.sent, job_id


@then("some jobs were displaced before any attempt of them was sent")
def step_displaced(context):
    step_true_refusals(context)
    assert context.displaced
    assert not context.displaced & context.sent


@then("the metrics count refusals by priority and reason")
def step_metrics(context):
    texts = [str(body) for body in context.metrics]
    for label in ('reason="displaced"', 'reason="late_starts"', 'priority="1"'):
        assert any(f"{label}" in text for text in texts), label


@then("no refusal is counted by priority and reason")
def step_none_shed(context):
    assert not any("jobs_shed_total{" in str(body) for body in context.metrics)


@then("all answers are those of entries that never coordinate")
def step_same_answers(context):
    assert any(answer.state is job.State.REFUSED for answer in context.answers)
    answers, _ = _play(context, options.NO_OPTIONS)
    assert _essence(answers) == _essence(context.answers)


@given(
    "{cores:d} free cores and {count:d} jobs of priority {priority:d} "
    "with {tasks:d} tasks of {ms:d} ms that are late"
)
def step_long_queue(context, cores, count, priority, tasks, ms, sent=False):
    context.free_cpu = cores * _CORE
    context.waiting = [
        _claim(f"job-{number}", priority, tasks, ms, 110, number, sent)
        for number in range(count)
    ]


@given(
    "{cores:d} free cores and {count:d} jobs of priority {priority:d} "
    "with {tasks:d} tasks of {ms:d} ms that are late and sent"
)
def step_long_sent_queue(context, cores, count, priority, tasks, ms):
    step_long_queue(context, cores, count, priority, tasks, ms, sent=True)


@given("a job every {interval_ms:d} ms of which one starts late")
def step_one_late_start(context, interval_ms):
    context.lateness = lateness.Lateness()
    context.interval_ms = interval_ms
    context.now_ms = 1e6
    for is_late in (False, False, True):
        _arrive(context)
        context.lateness.note_start(is_late, context.now_ms)


@when("{count:d} more arrive and none starts")
def step_more_arrive(context, count):
    for _ in range(count):
        _arrive(context)


@given("a job every {interval_ms:d} ms for {ms:d} ms, all of which start late")
def step_late_burst(context, interval_ms, ms):
    context.lateness = lateness.Lateness()
    context.interval_ms = interval_ms
    context.now_ms = 1e6
    for _ in range(ms // interval_ms):
        _arrive(context)
        context.lateness.note_start(True, context.now_ms)


@when("jobs arrive every {interval_ms:d} ms for {ms:d} ms and none starts")
def step_arrivals_only(context, interval_ms, ms):
    context.interval_ms = interval_ms
    step_more_arrive(context, ms // interval_ms)


@then("the admitted share is {admitted:g}")
def step_admitted_share(context, admitted):
    assert context.lateness.level().admitted == admitted, context.lateness.level()


@then("the admitted share is below {admitted:g}")
def step_admitted_share_below(context, admitted):
    assert context.lateness.level().admitted < admitted, context.lateness.level()


@given("a job whose task was sent too late {cause}")
def step_sent_late(context, cause):
    async def make():
        return _owned_job("job", "a")

    context.job = asyncio.run(make())
    task = context.job.all_tasks()[0]
    task.sent_ms = context.job.due_ms
    if cause == "after a lost attempt":
        task.run += 1


@then("its start counts as {counted}")
def step_start_counts(context, counted):
    assert context.job.started_late == (counted == "late")


@then("the newcomer gives way, and the decision took less than {ms:d} ms")
def step_quick(context, ms):
    assert _NEWCOMER in context.refused
    assert context.took_ms < ms, context.took_ms


@then("the newcomer gives way, and at most {count:d} tasks were dealt out")
def step_few_dealings(context, count):
    assert _NEWCOMER in context.refused
    assert context.dealt_tasks <= count, context.dealt_tasks


@given(
    "{count:d} jobs of the service {name:w} that started late "
    "and were answered every {interval_ms:d} ms"
)
def step_late_service(context, count, name, interval_ms):
    async def make():
        return _owned_job("late", name), _owned_job("other", "b")

    context.late, context.other = asyncio.run(make())
    context.late.is_weighed = True
    context.late.all_tasks()[0].sent_ms = context.late.due_ms
    context.acceptance = acceptance.Acceptance(
        None, queueing.Queue(), None, None, None, None, _NoRacks()
    )
    for number in range(count):
        context.acceptance.note_answered(context.late, 1e6 + number * interval_ms)


@then("less than all work of the service a is admitted, and all of the service b")
def step_other_service(context):
    assert context.acceptance.level(context.late).admitted < 1
    assert context.acceptance.level(context.other).admitted == 1


@given("waiting jobs for the services {names}")
def step_services(context, names):
    context.services = names.replace(" and ", ", ").split(", ")


@when("a job for the service {name:w} is weighed")
def step_weigh(context, name):
    async def weigh():
        waiting = queueing.Queue()
        for number, service in enumerate(context.services):
            waiting.add(_owned_job(f"{number:016x}", service))
        weighed = acceptance.Acceptance(
            None, waiting, None, None, None, options.NO_OPTIONS, _NoRacks()
        )
        forecast = admission.Forecast(0, (), (), (), 100.0, 1000.0)
        return weighed._plan(_owned_job("f" * 16, name), forecast)

    context.plan = asyncio.run(weigh())


@then("it is weighed against {count:d} waiting job")
def step_weighed(context, count):
    assert len(context.plan.waiting) == count, context.plan


@given(
    "a job that has waited {times:g} times its objective and of which {sent} was sent"
)
def step_waited(context, times, sent):
    async def make():
        return _owned_job("0" * 16, "a")

    context.job = asyncio.run(make())
    context.job.may_have_started = sent == "an attempt"
    context.now_ms = context.job.due_ms * times


@then("it {may} be started where entries coordinate")
def step_may_start(context, may):
    assert _helps(context, options.Options(6)) == (may == "may")


@then("it may be started where they don't")
def step_may_start_alone(context):
    assert _helps(context, options.NO_OPTIONS)


def _helps(context, asked):
    members = types.SimpleNamespace(addresses=tuple(range(6)))
    state = types.SimpleNamespace(members=members)
    weighed = acceptance.Acceptance(None, None, state, None, None, asked, None)
    return weighed.helps_caller(context.job, context.now_ms)


@given("a queue of a started job that is late and a new one that can be in time")
def step_late_job(context):
    async def make():
        return _owned_job("0" * 16, "a"), _owned_job("1" * 16, "a")

    late, new = asyncio.run(make())
    context.now_ms = late.due_ms
    late.may_have_started = True
    new.due_ms += context.now_ms
    context.queue = queueing.Queue()
    for owned in (late, new):
        owned.is_weighed = True
        owned.key = queueing.priority_start(owned.arrival())
        context.queue.add(owned)
    late.ready, new.ready = late.tasks[0], new.tasks[0]
    context.late, context.new = late, new


@when("it is asked for the order")
def step_ask_order(context):
    context.order, _ = context.queue.in_turn(context.now_ms)


@then("the new one goes first, and room is needed by its time")
def step_new_first(context):
    assert context.order == [context.new, context.late], context.order
    assert context.queue.first_key() == context.new.key


def _arrive(context):
    context.now_ms += context.interval_ms
    context.lateness.note_arrival(0, 100.0, context.now_ms)


class _NoRacks:
    """Stands for a RackDemand without racks."""

    def forecast_ms(self, job, step, now_ms):
        """Return the expected run time of a task of a step."""
        return step.estimate_ms


def _owned_job(job_id, service):
    step = job.Step(2, job.Resources(_CORE, 64, 0), 100)
    submission = job.Submission(job_id, "parts", "", (step,), 1000.0)
    route = dataclasses.replace(direct_site.ROUTE, service=service)
    return owned_job.OwnedJob(submission, route, 0.0)


_KINDS = ("check", "hold", "issue")


def _essence(answers):
    return [
        (answer.kind.name, answer.entry.rsplit("@")[0], answer.state, answer.took_ms)
        for answer in answers
    ]


def _served(context, select):
    return counter_load.tally(list(filter(select, context.answers))).served


def _claim(name, priority, tasks, ms, due, number, sent=False):
    loads = tuple(admission.Load(_CORE, float(ms)) for _ in range(tasks))
    key = due - ms + 300.0 * priority
    return delay_cost.Claim(
        name,
        f"route-{priority}",
        priority,
        key,
        float(number),
        float(due),
        float(tasks * ms),
        loads,
        sent,
        False,
    )


def _route(name, priority):
    return dataclasses.replace(direct_site.ROUTE, name=name, priority=priority)


def _note(guard, route, work, is_refused):
    guard.note_arrival(route, work, 0.0)
    if is_refused:
        guard.note_refused(route, work, 0.0)


def _play(context, asked):
    """Run the load, and record the outcomes and which jobs were sent or displaced."""
    context.outcomes = []
    context.sent = set()
    context.displaced = set()
    submit = dispatcher.Dispatcher.submit
    send = dispatcher.Dispatcher.send
    refuse = dispatcher.Dispatcher._refuse

    async def record_submit(self, submission, route):
        outcome = await submit(self, submission, route)
        context.outcomes.append(
            (submission.job_id, outcome.state, outcome.retry_after_ms)
        )
        return outcome

    def record_send(self, task, *args):
        context.sent.add(task.name.job_id)
        send(self, task, *args)

    def record_refuse(self, job, reason, retry_after_ms):
        if reason.startswith("displaced"):
            context.displaced.add(job.submission.job_id)
        refuse(self, job, reason, retry_after_ms)

    with (
        mock.patch.object(dispatcher.Dispatcher, "submit", record_submit),
        mock.patch.object(dispatcher.Dispatcher, "send", record_send),
        mock.patch.object(dispatcher.Dispatcher, "_refuse", record_refuse),
        asyncio.Runner(loop_factory=virtual.VirtualLoop) as runner,
    ):
        return runner.run(_run(context, asked))


async def _run(context, asked):
    fleet = context.fleet
    zones = tuple(f"zone-{index % 3}" for index in range(fleet.entries))
    site = await direct_site.open_site(
        zones, fleet.workers, fleet.worker_cpu, context.seed, asked, fleet.variety
    )
    for node in site.nodes:
        node.worker.late_start_share = getattr(context, "late_start_share", 0.0)
    load = counter_load.Load(
        fleet.task_cpu, context.seconds, context.share * fleet.share
    )
    answers = await counter_load.play(site, load, context.seed)
    site.ticker.cancel()
    context.metrics = [entry._metrics.render()[0] for _, entry in site.entries]
    return answers, site
