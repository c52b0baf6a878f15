"""The scheduler of a home: places waiting tasks on workers, and again if need be.

Tasks wait in lanes (`jujubeglade.agent.queueing`). Whenever something ended or
came, `pump` gives out tasks until no lane has both a task and a worker with room,
so that its cost is that of the tasks it places and not of those that wait. What
is chosen, and when a task starts again, are policies (`jujubeglade.agent.policy`).
"""

import asyncio
import collections
import math
import random

from jujubeglade.agent import admission, health, placement, policy, retry
from jujubeglade.core import clock, contract, problem

_PUMP_RETRY_MS = 20
_AVOID_MS = 1000
_RETRY_AFTER_MS = 1000
_MAX_POOLS = 1000
_OUTRUN_FACTOR = 4

_UNSUITABLE = frozenset(
    (
        contract.Reject.DRAINED,
        contract.Reject.LEAVING,
        contract.Reject.NO_PERMIT,
        contract.Reject.NO_UPSTREAM,
        contract.Reject.UNREACHABLE,
        contract.Reject.TOO_LATE,
    )
)


class Lane:
    """The tasks that may run on the same workers."""

    __slots__ = ("alone", "repeatable", "service", "workers")

    def __init__(self, workers, alone, service, repeatable):
        """Describe a lane.

        Args:
          workers: A tuple of Workers, the candidates of the jobs.
          alone: A boolean, whether the jobs' tickets name one agent only.
          service: A string.
          repeatable: A boolean.
        """
        self.workers = workers
        self.alone = alone
        self.service = service
        self.repeatable = repeatable


class Scheduler:
    """The waiting tasks of one home, and where they go."""

    def __init__(self, home, agent, start):
        """Start with nothing waiting.

        Args:
          home: The Home, which ends jobs and knows which worker is its own.
          agent: The Agent's context: identity, clock, permits, settings.
          start: A function that sends a message to a Worker.
        """
        self._home = home
        self._clock = agent.clock
        self._permits = agent.permits
        self._limits = agent.settings.limits
        self._zone = agent.identity.zone
        self._send = start
        self._policies = policy.open_policies(self._clock.now_ms())
        self._lanes = {}
        self._random = random.Random(agent.identity.incarnation)
        self._pump_handle = None
        self._hedge_handle = None
        #: Starts again: `retried` after a failure, `hedged` beside a late one.
        self.counts = collections.Counter()

    @property
    def policies(self):
        """Return the policies in force."""
        return self._policies

    @property
    def queued(self):
        """Return how many tasks wait."""
        return len(self._policies.queue)

    def configure(self, document):
        """Apply a configuration document.

        Args:
          document: A dict.
        """
        waiting = self._policies.queue
        if self._policies.configure(document) and waiting is not None:
            waiting.move_to(self._policies.queue)
        for known in self._home.workers.values():
            drained = self._is_drained(known)
            if known.drained and not drained:
                self._policies.health.returned(known)
            known.drained = drained
        self.pump()

    def refusal(self, submission, workers, group_size):
        """Tell at once why a job is not taken.

        Args:
          submission: A Submission.
          workers: A tuple of Workers, its candidates.
          group_size: An integer, how many agents its ticket names.

        Returns:
          A Problem, or None.
        """
        most = self._limit("max_payload_bytes")
        for index, task in enumerate(submission.tasks):
            if len(task.payload) > most:
                return _too_long(index, most)
        kinds = {(task.service, task.repeatable) for task in submission.tasks}
        able = {}
        for service, repeatable in kinds:
            lane = Lane(workers, group_size == 1, service, repeatable)
            able[service] = self._eligible_workers(lane)
            if not able[service]:
                return _no_worker(service, repeatable)
        return self._admission_refusal(submission, able)

    def prepare(self, known):
        """Estimate the run times of a job's tasks.

        Args:
          known: An OwnedJob.
        """
        times = self._policies.times
        for task in known.tasks:
            task.expected_ms = times.expected_ms(task.task, known.submission.tenant)
            known.work_ms += task.expected_ms

    def add(self, known, indexes, first=False):
        """Queue tasks of a job.

        Args:
          known: An OwnedJob.
          indexes: An iterable of integers, the places of the tasks.
          first: A boolean; true for tasks that have waited before.
        """
        by_lane = {}
        for index in indexes:
            by_lane.setdefault(self._lane(known, index), []).append(index)
        for lane, places in by_lane.items():
            self._policies.queue.add(known, lane, places, first)
        self.pump()

    def discard(self, known):
        """Take a job out of the queue.

        Args:
          known: An OwnedJob whose tasks are still known.
        """
        self._policies.queue.discard(known)

    def retry(self, known, index, lost):
        """Start a failed task again, if rules and budget allow.

        Args:
          known: An OwnedJob.
          index: An integer, the task's place.
          lost: A boolean, whether its worker was lost; such a start is spent
            from the budget but never refused.

        Returns:
          A boolean, whether the task goes on.
        """
        task = known.tasks[index]
        task.failures += 1
        if not task.task.repeatable or task.failures >= retry.MAX_FAILURES:
            return bool(task.task.repeatable and task.attempts)
        if task.attempts:
            return True
        now_ms = self._clock.now_ms()
        if lost:
            self._policies.budget.owe(now_ms)
            self._again(known, index)
            return True
        if not self._policies.budget.take(now_ms):
            return False
        delay_ms = retry.delay_ms(task.failures, self._random.random())
        loop = asyncio.get_running_loop()
        loop.call_later(clock.seconds(delay_ms), self._again, known, index)
        return True

    def finished(self, worker, known, ended):
        """Learn from an attempt that ended.

        Args:
          worker: A Worker.
          known: An OwnedJob.
          ended: A Finished.
        """
        task = known.tasks[ended.index]
        now_ms = self._clock.now_ms()
        service = task.task.service
        if ended.verdict == contract.Verdict.SUCCEEDED:
            if task.attempts_made == 1:
                taken_ms = now_ms - task.placed_ms
                tenant = known.submission.tenant
                self._policies.times.add(
                    task.task, tenant, ended.run_ms, taken_ms, task.expected_ms
                )
            worker.note_pace(service, ended.run_ms / task.expected_ms, now_ms)
            self._policies.health.succeeded(worker)
            return
        task.avoid.add(worker)
        if any(each is not worker for each in known.failed_on):
            self._policies.health.failed_elsewhere(worker, known.failed_on)
            return
        known.failed_on[worker] += 1
        fast = health.is_fast(ended.run_ms, task.expected_ms)
        self._failed(worker, service, fast, now_ms)

    def rejected(self, worker, service, rejected):
        """Leave a worker alone for a while after a reject.

        Args:
          worker: A Worker.
          service: A string, of the task; None when it is not known any more.
          rejected: A Rejected.
        """
        now_ms = self._clock.now_ms()
        if rejected.reason in _UNSUITABLE:
            worker.pause(now_ms + _AVOID_MS)
        elif rejected.reason == contract.Reject.THROTTLED:
            worker.pause(now_ms + rejected.retry_after_ms)
        if rejected.reason == contract.Reject.UNREACHABLE and service is not None:
            self._failed(worker, service, False, now_ms)

    def outrun(self, worker, task):
        """Learn that a later attempt elsewhere ended before a worker's own.

        Args:
          worker: A Worker.
          task: An OwnedTask.
        """
        now_ms = self._clock.now_ms()
        # The attempt had a head start and still had some way to go.
        ratio = _OUTRUN_FACTOR * (now_ms - task.placed_ms) / task.expected_ms
        worker.note_pace(task.task.service, max(ratio, _OUTRUN_FACTOR), now_ms)

    def returned(self, worker):
        """Let the load of a worker that is back grow slowly.

        Args:
          worker: A Worker.
        """
        self._policies.health.returned(worker)

    def tick(self):
        """Forget lanes that are of no use any more."""
        self._policies.queue.tidy()
        if len(self._lanes) > _MAX_POOLS:
            self._lanes.clear()
        self.pump()

    def pump(self):
        """Place waiting tasks while workers have room."""
        queue = self._policies.queue
        now_ms = self._clock.now_ms()
        starts = {}
        usable = {}
        for lane in list(queue.lanes):
            usable[lane] = self._usable(lane, now_ms)
            if not usable[lane]:
                del usable[lane]
                self._give_up_if_hopeless(lane)
        while usable and (waiting := queue.head(usable)) is not None:
            if not self._place_next(waiting, usable[waiting.lane], now_ms, starts):
                del usable[waiting.lane]
        self._send_starts(starts, now_ms)
        self._arm()

    def _place_next(self, waiting, workers, now_ms, starts):
        """Place one task; tell whether its lane may go on."""
        known = waiting.known
        index = waiting.indexes[0]
        task = known.tasks[index]
        if task.answer is not None:
            self._policies.queue.take(waiting)
            return True
        chosen = self._choose(waiting.lane, task, workers, now_ms)
        if chosen is None:
            return False
        self._policies.queue.take(waiting)
        self._place(known, index, chosen, now_ms, starts)
        return True

    def _choose(self, lane, task, workers, now_ms):
        queued_ms = self._policies.queue.queued_ms[lane.service]
        slots = sum(each.slots for each in workers)
        query = placement.Query(
            self._zone,
            lane.service,
            lane.repeatable,
            1 + queued_ms / (max(1, slots) * task.expected_ms),
            now_ms,
        )
        free = [each for each in workers if self._has_room(each, lane, now_ms)]
        if task.avoid:
            # With no other worker left, one that failed the task may try again.
            others = [each for each in workers if each not in task.avoid]
            free = [each for each in free if each not in task.avoid or not others]
        return self._policies.placement.choose(free, query)

    def _has_room(self, worker, lane, now_ms):
        return self._policies.health.room(worker, lane.repeatable, now_ms) > 0

    def _place(self, known, index, chosen, now_ms, starts):
        task = known.tasks[index]
        attempt = known.next_attempt(index)
        task.attempts[attempt] = chosen
        task.holder = chosen.member
        task.placed_ms = now_ms
        chosen.outstanding.add((known.key, index, attempt))
        if task.attempts_made == 1:
            self._policies.budget.earn()
        self._policies.hedging.placed(known, index, attempt, now_ms, self._times)
        entry = contract.StartTask(index, attempt, task.task)
        starts.setdefault((known.key, chosen), (known, []))[1].append(entry)

    @property
    def _times(self):
        return self._policies.times

    def _send_starts(self, starts, now_ms):
        for (_, candidate), (known, entries) in starts.items():
            start = contract.Start(
                known.key,
                known.ticket.issued_ms,
                known.generation,
                known.submission.tenant,
                known.submission.urgency,
                max(0, int(known.deadline_ms - now_ms)),
                tuple(entries),
            )
            self._send(candidate, start)

    def _arm(self):
        """Come back for what waits, and when the next task will be late."""
        loop = asyncio.get_running_loop()
        if self.queued and self._pump_handle is None:
            delay = clock.seconds(_PUMP_RETRY_MS)
            self._pump_handle = loop.call_later(delay, self._pump_again)
        next_ms = self._policies.hedging.next_ms()
        if next_ms < math.inf and self._hedge_handle is None:
            delay = clock.seconds(max(1, next_ms - self._clock.now_ms()))
            self._hedge_handle = loop.call_later(delay, self._hedge)

    def _pump_again(self):
        self._pump_handle = None
        self.pump()

    def _again(self, known, index):
        """Queue a task again after its rest."""
        if known.is_over:
            return
        task = known.tasks[index]
        if task.answer is None and not task.attempts:
            self.counts["retried"] += 1
            self.add(known, (index,), first=True)

    def _hedge(self):
        """Start second attempts of what is late."""
        self._hedge_handle = None
        now_ms = self._clock.now_ms()
        starts = {}
        for known, index in self._policies.hedging.due(now_ms):
            chosen = self._spare(known, index, now_ms)
            if chosen is not None and self._policies.budget.take(now_ms):
                self.counts["hedged"] += 1
                self._place(known, index, chosen, now_ms, starts)
        self._send_starts(starts, now_ms)
        self._arm()

    def _spare(self, known, index, now_ms):
        """Find a worker that would start a second attempt at once."""
        task = known.tasks[index]
        if task.answer is not None or len(task.attempts) != 1:
            return None
        lane = self._lane(known, index)
        held = set(task.attempts.values()) | task.avoid
        workers = [
            each
            for each in self._usable(lane, now_ms)
            if each not in held and placement.has_free_slot(each)
        ]
        return self._choose(lane, task, workers, now_ms)

    def _lane(self, known, index):
        task = known.tasks[index].task
        alone = len(known.ticket.group) == 1
        key = (known.workers, alone, task.service, task.repeatable)
        lane = self._lanes.get(key)
        if lane is None:
            lane = self._lanes[key] = Lane(*key)
        return lane

    def _eligible_workers(self, lane):
        """List the workers that the rules let run a lane's tasks."""
        # A start has two witnesses, unless the group has no other agent.
        local = lane.repeatable or lane.alone
        return [
            candidate
            for candidate in lane.workers
            if not candidate.gone
            and lane.service in candidate.member.services
            and not self._is_drained(candidate)
            and (local or not self._home.is_local(candidate))
        ]

    def _usable(self, lane, now_ms):
        return [
            candidate
            for candidate in self._eligible_workers(lane)
            if (candidate.link is not None or self._home.is_local(candidate))
            and not candidate.is_paused(now_ms)
        ]

    def _is_drained(self, candidate):
        member = candidate.member
        return self._permits.is_drained(member.zone, member.name)

    def _give_up_if_hopeless(self, lane):
        """Answer at once when no worker can take a lane's tasks any more."""
        if any(
            candidate.may_connect or self._home.is_local(candidate)
            for candidate in self._eligible_workers(lane)
        ):
            return
        reason = f"no worker of service {lane.service} is in service"
        while (waiting := self._policies.queue.head((lane,))) is not None:
            self.discard(waiting.known)
            self._home.spawn(self._home.fail(waiting.known, reason, _RETRY_AFTER_MS))

    def _failed(self, worker, service, fast, now_ms):
        others = [
            each
            for each in self._home.workers.values()
            if each is not worker and not each.gone and service in each.member.services
        ]
        self._policies.health.failed(worker, others, fast, now_ms)

    def _limit(self, name):
        live = self._permits.document.get("limits", {})
        return live.get(name, getattr(self._limits, name))

    def _admission_refusal(self, submission, able):
        now_ms = self._clock.now_ms()
        outlook = self._outlook(submission, able, now_ms)
        tenant = submission.tenant
        quotas = self._policies.quotas
        if quotas.take(tenant, outlook.tasks, now_ms):
            return None
        limits = (self._limit("max_queue_tasks"), quotas.limits(tenant))
        return self._policies.admission.refusal(submission, outlook, limits)

    def _outlook(self, submission, able, now_ms):
        """Estimate when a job would end if it were taken now."""
        queue = self._policies.queue
        expected = collections.defaultdict(list)
        for task in submission.tasks:
            expected_ms = self._times.surely_ms(task, submission.tenant)
            expected[task.service].append(expected_ms)
        ahead_ms = queue.ahead_ms(submission)
        whole_ms = sum(queue.queued_ms.values()) or 1.0
        end_ms = 0.0
        rate = 0.0
        for service, each_ms in expected.items():
            slots = _slots(able[service], service, now_ms)
            longest_ms = max(each_ms)
            work_ms = ahead_ms * queue.queued_ms[service] / whole_ms + sum(each_ms)
            if all(each.backlog >= each.slots for each in able[service]):
                # What runs now is half done on average.
                work_ms += slots * longest_ms / 2
            end_ms = max(end_ms, (work_ms - longest_ms) / slots + longest_ms)
            rate = max(rate, slots * len(each_ms) / max(1.0, sum(each_ms)))
        least_ms = max(self._times.least_ms(service) for service in expected)
        tasks = len(submission.tasks)
        return admission.Outlook(end_ms, least_ms, tasks, self.queued, rate)


def _slots(workers, service, now_ms):
    """Count slots; those of a slow worker count for as much as they get done."""
    paces = [each.slowness(service, now_ms) for each in workers]
    usual = min(paces)
    pairs = zip(workers, paces, strict=True)
    return max(1.0, sum(each.slots * usual / pace for each, pace in pairs))


def _too_long(index, most):
    return problem.Problem(
        kind=problem.Kind.NEVER_RUNNABLE,
        message="the payload is too long",
        remedy=f"send at most {most} bytes",
        place=f"tasks[{index}].payload",
    )


def _no_worker(service, repeatable):
    way = "" if repeatable else " and may take tasks that may not be repeated"
    return problem.Problem(
        kind=problem.Kind.NO_WORKER,
        message=f"no worker of the job's group offers service {service}{way}",
        remedy="check the name; else take a new id once the service is announced",
        place="tasks",
        retry_after_ms=_RETRY_AFTER_MS,
    )
