"""Steps for the decisions of a home under load, in virtual time."""

import asyncio
import collections

from behave import given, step, then, when

from jujubeglade.agent import health
from jujubeglade.bench import policies as bench
from jujubeglade.core import job as jobs
from jujubeglade.core import problem, routing
from jujubeglade.fakes import site as site_
from jujubeglade.fakes import virtual

_WARM_UP_S = 2


class Trial:
    """A site, the loads that arrive at it, and their results."""

    def __init__(self, rule, choice):
        """Create a trial with the default rules except one."""
        self.loop = virtual.VirtualLoop()
        self.rules = {rule: choice}
        self.quotas = {}
        self.limits = {}
        self.drained = []
        self.faults = []
        self.loads = []
        self.tallies = collections.defaultdict(bench.Tally)
        self.filling_tasks = []
        self.site = None
        self.started_ms = 0.0
        self.ended_ms = 0.0
        self._revision = 0

    def run(self, coroutine):
        """Run a coroutine in the trial's time."""
        return self.loop.run_until_complete(coroutine)

    def play(self):
        """Run all loads that were added since the last call."""
        loads, self.loads = self.loads, []
        if loads:
            self.run(self._play(loads))

    async def settle(self):
        """Open the site, warm it up, then inject the faults."""
        if self.site is not None:
            return
        self.site = site_.open_site()
        self.configure()
        await bench.warm(self.site, _WARM_UP_S)
        for upstream in self.site.upstreams:
            upstream.started.clear()
            upstream.finished = 0
        for number, fault, until_s in self.faults:
            self._set(number, fault)
            if until_s:
                healed = {"fails": False, "slow_factor": 1}
                self.loop.call_later(until_s, self._set, number, healed)
        self.started_ms = self.site.clock.now_ms()

    def configure(self):
        """Apply the trial's configuration to the site."""
        self._revision += 1
        self.site.configure(
            self._revision,
            rules=self.rules,
            quotas=self.quotas,
            limits=self.limits,
            drained_zones=self.drained,
        )

    async def fill(self, work_ms):
        """Submit jobs that take the site so long, in milliseconds."""
        await self.settle()
        tasks = [site_.task(100) for _ in range(88)]
        for _ in range(int(work_ms / 100)):
            submission = self.site.submit(tasks, 600_000, tenant="acme")
            self.filling_tasks.append(self.loop.create_task(submission))
        await asyncio.sleep(0)

    def starts(self):
        """Return the ids of all attempts started since the site settled."""
        return [
            task_id
            for upstream in self.site.upstreams
            for _, task_id in upstream.started
        ]

    def totals(self):
        """Return the complete and the failed jobs of all tenants, two integers."""
        tallies = self.tallies.values()
        complete = sum(len(tally.times_ms) for tally in tallies)
        return complete, sum(tally.failed for tally in tallies)

    def close(self):
        """Stop everything."""
        while tasks := asyncio.all_tasks(self.loop):
            for task in tasks:
                task.cancel()
            self.run(_wait_all(tasks))
        self.loop.close()

    async def _play(self, loads):
        await self.settle()
        runs = [
            bench.Load(self.site, seed).run(self.tallies[tenant], *arguments, **fields)
            for seed, (tenant, arguments, fields) in enumerate(loads)
        ]
        await asyncio.gather(*runs)
        self.ended_ms = self.site.clock.now_ms()

    def _set(self, number, fault):
        for name, value in fault.items():
            setattr(self.site.upstreams[number], name, value)


async def _wait_all(tasks):
    await asyncio.gather(*tasks, return_exceptions=True)


@given("the policies site with {rule} {choice}")
def step_site(context, rule, choice):
    context.trial = Trial(rule, choice)
    context.closers = [context.trial.close]


@given("policies hedging {choice}")
def step_hedging(context, choice):
    context.trial.rules["hedging"] = choice


@given("the policies worker {number:d} fails every task")
def step_fails(context, number):
    context.trial.faults.append((number, {"fails": True}, 0))


@given(
    "the policies worker {number:d} fails every task until {seconds:d} s have passed"
)
def step_fails_until(context, number, seconds):
    context.trial.faults.append((number, {"fails": True}, seconds))


@given("the policies worker {number:d} takes {factor:d} times as long")
def step_slow(context, number, factor):
    context.trial.faults.append((number, {"slow_factor": factor}, 0))


@given(
    "the policies quota of {tenant} is {rate:d} starts a second with weight {weight:d}"
)
def step_quota(context, tenant, rate, weight):
    context.trial.quotas[tenant] = {"starts_per_s": rate, "weight": weight}


def _load(context, size, share, seconds, **fields):
    tenant = fields.get("tenant", "acme")
    arguments = (seconds, share / 100)
    context.trial.loads.append((tenant, arguments, {"size": size} | fields))


@when(
    "policies jobs of {size:d} {kind} tasks arrive at {share:d} % for {seconds:d} s",
)
def step_load(context, size, kind, share, seconds):
    _load(context, size, share, seconds, repeatable=kind == "repeatable")


@when(
    "policies jobs of {size:d} tasks that fail everywhere arrive at {share:d} %"
    " for {seconds:d} s"
)
def step_poison(context, size, share, seconds):
    _load(context, size, share, seconds, poison=True)


@when(
    "policies jobs of {size:d} {urgency} tasks of {tenant} arrive at {share:d} %"
    " for {seconds:d} s"
)
def step_tenant(context, size, urgency, tenant, share, seconds):
    _load(context, size, share, seconds, tenant=tenant, urgency=urgency)


@when(
    "policies jobs of {size:d} tasks with a deadline of {deadline_ms:d} ms arrive at"
    " {share:d} % for {seconds:d} s"
)
def step_deadline(context, size, deadline_ms, share, seconds):
    _load(context, size, share, seconds, deadline_ms=deadline_ms)


@when("the policies site has settled")
def step_settled(context):
    context.trial.run(context.trial.settle())


@when("the policies site is full for {work_ms:d} ms")
def step_full(context, work_ms):
    context.trial.run(context.trial.fill(work_ms))


@step("the policies {part} {name} becomes {value}")
def step_becomes(context, part, name, value):
    trial = context.trial
    if part == "limit":
        trial.limits[name] = int(value)
    else:
        trial.rules[name] = value

    async def configure():
        trial.configure()

    trial.run(configure())


@when("all policies jobs are cancelled")
def step_cancel(context):
    trial = context.trial
    home = trial.site.home
    running = [job for job in home.jobs.values() if not job.is_over]
    context.messages = trial.site.messages()
    context.cancelled = len(running)

    async def cancel():
        request = routing.CancelTenant("acme", "a step")
        await home.cancel_tenant(request)

    trial.run(cancel())


def _check_share(bound, part, whole):
    """Check a share against a bound such as `less than 1 %`."""
    relation, _, percent = bound.removesuffix(" %").rpartition(" ")
    share = 100 * part / whole
    holds = (
        share < float(percent) if relation == "less than" else share > float(percent)
    )
    assert holds, f"{share:.1f} % is not {bound}"


@then("{bound} of the policies jobs fail")
def step_failed(context, bound):
    context.trial.play()
    complete, failed = context.trial.totals()
    _check_share(bound, failed, complete + failed)


@then("the policies worker {number:d} gets {bound} of the starts")
def step_share_of_starts(context, number, bound):
    starts = len(context.trial.site.upstreams[number].started)
    _check_share(bound, starts, len(context.trial.starts()))


@then("the policies worker {number:d} finishes {bound} of the tasks")
def step_share_of_finished(context, number, bound):
    upstreams = context.trial.site.upstreams
    whole = sum(upstream.finished for upstream in upstreams)
    _check_share(bound, upstreams[number].finished, whole)


@then("{count:d} policies workers are in probation")
def step_probation(context, count):
    workers = context.trial.site.home.workers.values()
    in_probation = [w for w in workers if w.health.state == health.State.PROBATION]
    assert len(in_probation) == count, in_probation


@then("95 % of the policies jobs are answered within {limit_ms:d} ms")
def step_answered(context, limit_ms):
    actual_ms = context.trial.tallies["acme"].quantile(0.95)
    assert actual_ms <= limit_ms, actual_ms


@then("95 % of the policies jobs of {tenant} are answered {relation} {limit_ms:d} ms")
def step_answered_tenant(context, tenant, relation, limit_ms):
    context.trial.play()
    actual_ms = context.trial.tallies[tenant].quantile(0.95)
    assert (actual_ms <= limit_ms) == (relation == "within"), actual_ms


@then("the policies jobs of {tenant} all complete")
def step_complete(context, tenant):
    tally = context.trial.tallies[tenant]
    assert tally.times_ms and not tally.failed and not tally.refused, str(tally)


@then("no policies task starts twice")
def step_once(context):
    context.trial.play()
    starts = context.trial.starts()
    tasks = {(task_id.key, task_id.index) for task_id in starts}
    assert starts and len(tasks) == len(starts), (len(tasks), len(starts))


@then("the policies starts are at most {percent:d} % of the tasks plus {more:d}")
def step_budget(context, percent, more):
    context.trial.play()
    starts = context.trial.starts()
    tasks = {(task_id.key, task_id.index) for task_id in starts}
    assert len(starts) <= len(tasks) * percent / 100 + more, (len(tasks), len(starts))


@then("the policies worker {number:d} has stopped every task that it did not finish")
def step_stopped(context, number):
    context.trial.play()
    context.trial.run(asyncio.sleep(0.1))
    upstream = context.trial.site.upstreams[number]
    unfinished = len(upstream.started) - upstream.finished - upstream.cancelled
    assert upstream.cancelled and not unfinished, (upstream.cancelled, unfinished)


@then(
    "in the first {seconds:d} s {one} gets {low:g} to {high:g} times the starts"
    " of {two}"
)
def step_ratio(context, seconds, one, low, high, two):
    trial = context.trial
    trial.play()
    until_ms = trial.started_ms + seconds * 1000
    tenants = {key: job.submission.tenant for key, job in trial.site.home.jobs.items()}
    counts = collections.Counter(
        tenants[task_id.key]
        for upstream in trial.site.upstreams
        for at_ms, task_id in upstream.started
        if at_ms < until_ms
    )
    assert low <= counts[one] / counts[two] <= high, counts


@then("the policies goodput is {bound} of the capacity")
def step_goodput(context, bound):
    trial = context.trial
    trial.play()
    useful_ms = sum(tally.useful_ms for tally in trial.tallies.values())
    _check_share(bound, useful_ms, 88 * (trial.ended_ms - trial.started_ms))


def _submit(context, deadline_ms=1000, service=site_.SERVICE):
    task = site_.task(100, service=service)
    submission = context.trial.site.submit([task], deadline_ms)
    return context.trial.run(submission)


def _check_refused(answer, kind):
    assert isinstance(answer, problem.Problem), answer
    assert answer.kind == kind, answer
    return answer


@then('a policies job with a deadline of {deadline_ms:d} ms is refused as "{kind}"')
def step_refused(context, deadline_ms, kind):
    now_ms = context.trial.loop.time()
    context.refusal = _check_refused(_submit(context, deadline_ms), kind)
    assert context.trial.loop.time() == now_ms, "the refusal took time"


@then('a policies job of service "{service}" is refused as "{kind}"')
def step_refused_service(context, service, kind):
    _check_refused(_submit(context, service=service), kind)


@then('the refusal has the outcome "{outcome}"')
def step_outcome(context, outcome):
    assert context.refusal.outcome == outcome, context.refusal


@then("the same policies job is accepted after the time that the refusal gave")
def step_after(context):
    after_ms = context.refusal.retry_after_ms
    assert after_ms > 0, context.refusal
    context.trial.run(asyncio.sleep(after_ms / 1000))
    answer = _submit(context)
    assert getattr(answer, "state", None) == jobs.State.COMPLETE, answer


@then("a policies job with a deadline of {deadline_ms:d} ms is accepted")
def step_accepted(context, deadline_ms):
    context.submission_task = context.trial.loop.create_task(
        context.trial.site.submit([site_.task(100)], deadline_ms)
    )
    context.trial.run(asyncio.sleep(0.001))
    assert not context.submission_task.done(), context.submission_task


@then(
    "a policies job that declares {declared:d} ms for a task of {run:d} ms "
    "completes within {deadline:d} ms"
)
def step_declared(context, declared, run, deadline):
    task = site_.task(run, declared_ms=declared)
    answer = context.trial.run(context.trial.site.submit([task], deadline))
    assert answer.state == "complete", answer


@then("a policies job of 1 task is answered {relation} {limit_ms:d} ms")
def step_small(context, relation, limit_ms):
    clock = context.trial.site.clock
    started_ms = clock.now_ms()
    answer = _submit(context, 600_000)
    duration_ms = clock.now_ms() - started_ms
    assert answer.state == jobs.State.COMPLETE, answer
    assert (duration_ms <= limit_ms) == (relation == "within"), duration_ms


@then("the first policies job that filled the site ends within {limit_ms:d} ms")
def step_large(context, limit_ms):
    trial = context.trial
    durations_ms = []
    started_ms = trial.site.clock.now_ms()
    trial.filling_tasks[0].add_done_callback(
        lambda _: durations_ms.append(trial.site.clock.now_ms() - started_ms)
    )
    trial.play()
    assert durations_ms and durations_ms[0] <= limit_ms, durations_ms


@then(
    "a policies job of {count:d} tasks that declares its last one longest starts"
    " it first"
)
def step_longest(context, count):
    trial = context.trial
    declared_ms = [100] * (count - 1) + [1000]
    tasks = [site_.task(run_ms, declared_ms=run_ms) for run_ms in declared_ms]
    earlier_keys = {task_id.key for task_id in trial.starts()}
    trial.run(trial.site.submit(tasks, 600_000))
    starts = sorted(
        (at_ms, task_id.index)
        for upstream in trial.site.upstreams
        for at_ms, task_id in upstream.started
        if task_id.key not in earlier_keys and task_id.key == _last_key(trial)
    )
    first_ms = starts[0][0]
    assert len(starts) >= count and starts[-1][0] > first_ms, starts
    assert (first_ms, count - 1) in starts, starts


def _last_key(trial):
    return list(trial.site.home.jobs)[-1]


@when("the policies zone {zone} is drained and restored")
def step_restored(context, zone):
    async def change():
        trial = context.trial
        for zones in ([zone], []):
            trial.drained = zones
            trial.configure()

    context.trial.run(change())


@then("the policies workers of zone {zone} may be given {count:d} tasks each")
def step_room(context, zone, count):
    site = context.trial.site
    rule = site.home.scheduler.policies.health
    rooms = {
        worker.member.name: rule.room(worker, True, site.clock.now_ms())
        for worker in site.home.workers.values()
        if worker.member.zone == zone
    }
    assert rooms and set(rooms.values()) == {count}, rooms


@then("every policies job completes")
def step_every(context):
    answers = context.trial.run(
        asyncio.wait_for(_gather(context.trial.filling_tasks), 60)
    )
    states = {answer.state for answer in answers}
    assert states == {jobs.State.COMPLETE}, states


async def _gather(tasks):
    return await asyncio.gather(*tasks)


@then("the policies messages are at most {count:d} for each job and worker")
def step_messages(context, count):
    sent = context.trial.site.messages() - context.messages
    limit = count * context.cancelled * len(context.trial.site.upstreams)
    assert context.cancelled and sent <= limit, (sent, limit)
