"""The scheduler of a home: places waiting tasks on workers, and retries them.

Tasks wait in lanes (`jujubeglade.agent.queueing`). Whenever a task ends or arrives,
`pump` places tasks until no lane has both a task and a worker with room, so its cost
grows with the tasks that it places and not with those that wait. Policies
(`jujubeglade.agent.policy`) choose the task and the worker, and decide when a task
starts again.
"""

import asyncio
import collections
import math
import random

from jujubeglade.agent import admission, health, placement, policy, retry
from jujubeglade.core import clock, contract, problem

_PUMP_INTERVAL_MS = 20
_REJECT_PAUSE_MS = 1000
_RETRY_AFTER_MS = 1000
_MAX_LANES = 1000
_OVERTAKEN_FACTOR = 4

_PAUSING_REJECTS = frozenset(
    (
        contract.RejectReason.DRAINED,
        contract.RejectReason.LEAVING,
        contract.RejectReason.NO_PERMIT,
        contract.RejectReason.NO_UPSTREAM,
        contract.RejectReason.UNREACHABLE,
        contract.RejectReason.TOO_LATE,
    )
)


class Lane:
    """The tasks that may run on the same workers."""

    __slots__ = ("repeatable", "service", "single_agent", "workers")

    def __init__(self, workers, single_agent, service, repeatable):
        """Describe a lane.

        Args:
          workers: A tuple of Workers, the candidates of the jobs.
          single_agent: A boolean, whether the jobs' tickets name only one agent.
          service: A string.
          repeatable: A boolean.
        """
        self.workers = workers
        self.single_agent = single_agent
        self.service = service
        self.repeatable = repeatable


class Scheduler:
    """Places the waiting tasks of one home."""

    def __init__(self, home, agent, send):
        """Create a scheduler without waiting tasks.

        Args:
          home: The Home, which has the workers and ends jobs.
          agent: The Agent's context: identity, clock, permits, settings.
          send: A function that sends a message to a Worker.
        """
        self._home = home
        self._clock = agent.clock
        self._permits = agent.permits
        self._limits = agent.settings.limits
        self._zone = agent.identity.zone
        self._send = send
        self._policies = policy.open_policies(self._clock.now_ms())
        self._lanes = {}
        self._random = random.Random(agent.identity.incarnation)
        self._pump_handle = None
        self._hedge_handle = None
        #: Starts beyond the first of a task: `retried` after a failure, `hedged` beside
        #: a late attempt.
        self.extra_starts = collections.Counter()

    @property
    def policies(self):
        """Return the policies in force."""
        return self._policies

    @property
    def queued(self):
        """Return the number of waiting tasks."""
        return len(self._policies.queue)

    def configure(self, document):
        """Apply a configuration document.

        Args:
          document: A dict.
        """
        waiting = self._policies.queue
        if self._policies.configure(document) and waiting is not None:
            waiting.move_to(self._policies.queue)
        for worker in self._home.workers.values():
            drained = self._is_drained(worker)
            if worker.drained and not drained:
                self._policies.health.returned(worker)
            worker.drained = drained
        self.pump()

    def refusal(self, submission, workers, group_size):
        """Decide at once whether a job is refused.

        Args:
          submission: A Submission.
          workers: A tuple of Workers, its candidates.
          group_size: An integer, the number of agents that its ticket names.

        Returns:
          A Problem, or None when the job is accepted.
        """
        max_bytes = self._limit("max_payload_bytes")
        for index, task in enumerate(submission.tasks):
            if len(task.payload) > max_bytes:
                return _payload_too_long(index, max_bytes)
        kinds = {(task.service, task.repeatable) for task in submission.tasks}
        eligible = {}
        for service, repeatable in kinds:
            lane = Lane(workers, group_size == 1, service, repeatable)
            eligible[service] = self._eligible_workers(lane)
            if not eligible[service]:
                return _no_worker(service, repeatable)
        return self._admission_refusal(submission, eligible)

    def estimate_run_times(self, job):
        """Estimate the run times of a job's tasks.

        Args:
          job: An OwnedJob.
        """
        run_times = self._policies.run_times
        for task in job.tasks:
            task.expected_ms = run_times.expected_ms(task.task, job.submission.tenant)
            job.expected_work_ms += task.expected_ms

    def add(self, job, indexes, first=False):
        """Queue tasks of a job.

        Args:
          job: An OwnedJob.
          indexes: An iterable of integers, the indexes of the tasks.
          first: A boolean; true puts the tasks before the others of the job, because
            they have waited before.
        """
        by_lane = {}
        for index in indexes:
            by_lane.setdefault(self._lane(job, index), []).append(index)
        for lane, lane_indexes in by_lane.items():
            self._policies.queue.add(job, lane, lane_indexes, first)
        self.pump()

    def discard(self, job):
        """Remove a job from the queue.

        Args:
          job: An OwnedJob that still has its tasks.
        """
        self._policies.queue.discard(job)

    def retry(self, job, index, lost):
        """Start a failed task again, if the rules and the retry budget allow it.

        Args:
          job: An OwnedJob.
          index: An integer, the task's index.
          lost: A boolean, whether its worker was lost; such a start counts against
            the budget but is never refused.

        Returns:
          A boolean, whether the task has or will have another attempt.
        """
        task = job.tasks[index]
        task.failures += 1
        if not task.task.repeatable or task.failures >= retry.MAX_FAILURES:
            return bool(task.task.repeatable and task.attempts)
        if task.attempts:
            return True
        now_ms = self._clock.now_ms()
        if lost:
            self._policies.budget.overdraw(now_ms)
            self._requeue(job, index)
            return True
        if not self._policies.budget.take(now_ms):
            return False
        delay_ms = retry.delay_ms(task.failures, self._random.random())
        loop = asyncio.get_running_loop()
        loop.call_later(clock.seconds(delay_ms), self._requeue, job, index)
        return True

    def on_finished(self, worker, job, finished):
        """Update the run times and the worker's slowdown and health after an attempt.

        Args:
          worker: A Worker.
          job: An OwnedJob.
          finished: A Finished.
        """
        task = job.tasks[finished.index]
        now_ms = self._clock.now_ms()
        service = task.task.service
        if finished.verdict == contract.Verdict.SUCCEEDED:
            if task.attempts_made == 1:
                taken_ms = now_ms - task.placed_ms
                tenant = job.submission.tenant
                self._policies.run_times.add(
                    task.task, tenant, finished.run_ms, taken_ms, task.expected_ms
                )
            worker.record_slowdown(service, finished.run_ms / task.expected_ms, now_ms)
            self._policies.health.succeeded(worker)
            return
        task.avoided_workers.add(worker)
        if any(other is not worker for other in job.failed_on):
            self._policies.health.failed_elsewhere(worker, job.failed_on)
            return
        job.failed_on[worker] += 1
        is_fast = health.is_fast(finished.run_ms, task.expected_ms)
        self._failed(worker, service, is_fast, now_ms)

    def on_rejected(self, worker, service, rejected):
        """Place nothing on a worker for a while after a rejection.

        Args:
          worker: A Worker.
          service: A string, of the task; None when the job is over.
          rejected: A Rejected.
        """
        now_ms = self._clock.now_ms()
        if rejected.reason in _PAUSING_REJECTS:
            worker.pause(now_ms + _REJECT_PAUSE_MS)
        elif rejected.reason == contract.RejectReason.THROTTLED:
            worker.pause(now_ms + rejected.retry_after_ms)
        if rejected.reason == contract.RejectReason.UNREACHABLE and service is not None:
            self._failed(worker, service, False, now_ms)

    def on_overtaken(self, worker, task):
        """Raise a worker's slowdown after a later attempt elsewhere ended first.

        Args:
          worker: A Worker.
          task: An OwnedTask.
        """
        now_ms = self._clock.now_ms()
        # The attempt started earlier and had not ended yet, so its run time is unknown:
        # the time so far is multiplied by a fixed factor.
        ratio = _OVERTAKEN_FACTOR * (now_ms - task.placed_ms) / task.expected_ms
        worker.record_slowdown(task.task.service, max(ratio, _OVERTAKEN_FACTOR), now_ms)

    def on_worker_returned(self, worker):
        """Let the load of a worker that has come back grow slowly.

        Args:
          worker: A Worker.
        """
        self._policies.health.returned(worker)

    def tick(self):
        """Remove unused lanes."""
        self._policies.queue.tidy()
        if len(self._lanes) > _MAX_LANES:
            self._lanes.clear()
        self.pump()

    def pump(self):
        """Place waiting tasks while workers have room."""
        queue = self._policies.queue
        now_ms = self._clock.now_ms()
        starts = {}
        workers_by_lane = {}
        for lane in list(queue.lanes):
            workers_by_lane[lane] = self._available_workers(lane, now_ms)
            if not workers_by_lane[lane]:
                del workers_by_lane[lane]
                self._fail_unplaceable_jobs(lane)
        while workers_by_lane and (waiting := queue.head(workers_by_lane)) is not None:
            if not self._place_next(
                waiting, workers_by_lane[waiting.lane], now_ms, starts
            ):
                del workers_by_lane[waiting.lane]
        self._send_starts(starts, now_ms)
        self._schedule_timers()

    def _place_next(self, waiting, workers, now_ms, starts):
        """Place one task; return whether more tasks of its lane may be placed."""
        job = waiting.job
        index = waiting.indexes[0]
        task = job.tasks[index]
        if task.answer is not None:
            self._policies.queue.take(waiting)
            return True
        worker = self._choose(waiting.lane, task, workers, now_ms)
        if worker is None:
            return False
        self._policies.queue.take(waiting)
        self._place(job, index, worker, now_ms, starts)
        return True

    def _choose(self, lane, task, workers, now_ms):
        queued_ms = self._policies.queue.queued_ms[lane.service]
        slots = sum(worker.slots for worker in workers)
        query = placement.Query(
            self._zone,
            lane.service,
            lane.repeatable,
            1 + queued_ms / (max(1, slots) * task.expected_ms),
            now_ms,
        )
        free = [worker for worker in workers if self._has_room(worker, lane, now_ms)]
        if task.avoided_workers:
            # A worker on which the task failed may run it again if there is no other.
            other_workers = [
                worker for worker in workers if worker not in task.avoided_workers
            ]
            free = [
                worker
                for worker in free
                if worker not in task.avoided_workers or not other_workers
            ]
        return self._policies.placement.choose(free, query)

    def _has_room(self, worker, lane, now_ms):
        return self._policies.health.room(worker, lane.repeatable, now_ms) > 0

    def _place(self, job, index, worker, now_ms, starts):
        task = job.tasks[index]
        attempt = job.next_attempt(index)
        task.attempts[attempt] = worker
        task.last_member = worker.member
        task.placed_ms = now_ms
        worker.outstanding.add((job.key, index, attempt))
        if task.attempts_made == 1:
            self._policies.budget.earn()
        self._policies.hedging.placed(job, index, attempt, now_ms, self._run_times)
        entry = contract.StartTask(index, attempt, task.task)
        starts.setdefault((job.key, worker), (job, []))[1].append(entry)

    @property
    def _run_times(self):
        return self._policies.run_times

    def _send_starts(self, starts, now_ms):
        for (_, worker), (job, entries) in starts.items():
            start = contract.Start(
                job.key,
                job.ticket.issued_ms,
                job.generation,
                job.submission.tenant,
                job.submission.urgency,
                max(0, int(job.deadline_ms - now_ms)),
                tuple(entries),
            )
            self._send(worker, start)

    def _schedule_timers(self):
        """Set the timers of the next pump and of the next late task."""
        loop = asyncio.get_running_loop()
        if self.queued and self._pump_handle is None:
            delay = clock.seconds(_PUMP_INTERVAL_MS)
            self._pump_handle = loop.call_later(delay, self._pump_again)
        next_ms = self._policies.hedging.next_due_ms()
        if next_ms < math.inf and self._hedge_handle is None:
            delay = clock.seconds(max(1, next_ms - self._clock.now_ms()))
            self._hedge_handle = loop.call_later(delay, self._hedge)

    def _pump_again(self):
        self._pump_handle = None
        self.pump()

    def _requeue(self, job, index):
        """Queue a task again after its retry delay."""
        if job.is_over:
            return
        task = job.tasks[index]
        if task.answer is None and not task.attempts:
            self.extra_starts["retried"] += 1
            self.add(job, (index,), first=True)

    def _hedge(self):
        """Start second attempts of late tasks."""
        self._hedge_handle = None
        now_ms = self._clock.now_ms()
        starts = {}
        for job, index in self._policies.hedging.due(now_ms):
            worker = self._find_hedge_worker(job, index, now_ms)
            if worker is not None and self._policies.budget.take(now_ms):
                self.extra_starts["hedged"] += 1
                self._place(job, index, worker, now_ms, starts)
        self._send_starts(starts, now_ms)
        self._schedule_timers()

    def _find_hedge_worker(self, job, index, now_ms):
        """Return a worker that would start a second attempt at once, or None."""
        task = job.tasks[index]
        if task.answer is not None or len(task.attempts) != 1:
            return None
        lane = self._lane(job, index)
        excluded = set(task.attempts.values()) | task.avoided_workers
        workers = [
            worker
            for worker in self._available_workers(lane, now_ms)
            if worker not in excluded and placement.has_free_slot(worker)
        ]
        return self._choose(lane, task, workers, now_ms)

    def _lane(self, job, index):
        task = job.tasks[index].task
        single_agent = len(job.ticket.group) == 1
        key = (job.workers, single_agent, task.service, task.repeatable)
        lane = self._lanes.get(key)
        if lane is None:
            lane = self._lanes[key] = Lane(*key)
        return lane

    def _eligible_workers(self, lane):
        """Return the workers that are allowed to run a lane's tasks."""
        # A task that may not be repeated runs on another agent than the home, so that
        # two agents have a record of its start, unless the group has only one agent.
        may_be_local = lane.repeatable or lane.single_agent
        return [
            worker
            for worker in lane.workers
            if not worker.gone
            and lane.service in worker.member.services
            and not self._is_drained(worker)
            and (may_be_local or not self._home.is_local(worker))
        ]

    def _available_workers(self, lane, now_ms):
        return [
            worker
            for worker in self._eligible_workers(lane)
            if (worker.link is not None or self._home.is_local(worker))
            and not worker.is_paused(now_ms)
        ]

    def _is_drained(self, worker):
        member = worker.member
        return self._permits.is_drained(member.zone, member.name)

    def _fail_unplaceable_jobs(self, lane):
        """Fail the jobs of a lane at once when no worker can run its tasks any more."""
        if any(
            worker.may_connect or self._home.is_local(worker)
            for worker in self._eligible_workers(lane)
        ):
            return
        reason = f"no worker that offers service {lane.service} is in service"
        while (waiting := self._policies.queue.head((lane,))) is not None:
            self.discard(waiting.job)
            self._home.spawn(self._home.fail(waiting.job, reason, _RETRY_AFTER_MS))

    def _failed(self, worker, service, is_fast, now_ms):
        others = [
            other
            for other in self._home.workers.values()
            if other is not worker
            and not other.gone
            and service in other.member.services
        ]
        self._policies.health.failed(worker, others, is_fast, now_ms)

    def _limit(self, name):
        configured = self._permits.document.get("limits", {})
        return configured.get(name, getattr(self._limits, name))

    def _admission_refusal(self, submission, eligible):
        now_ms = self._clock.now_ms()
        forecast = self._forecast(submission, eligible, now_ms)
        tenant = submission.tenant
        quotas = self._policies.quotas
        if quotas.take(tenant, forecast.task_count, now_ms):
            return None
        limits = (self._limit("max_queue_tasks"), quotas.has_quota(tenant))
        return self._policies.admission.refusal(submission, forecast, limits)

    def _forecast(self, submission, eligible, now_ms):
        """Estimate when a job would end if it were accepted now."""
        queue = self._policies.queue
        expected_by_service = collections.defaultdict(list)
        for task in submission.tasks:
            expected_ms = self._run_times.confirmed_ms(task, submission.tenant)
            expected_by_service[task.service].append(expected_ms)
        ahead_ms = queue.ahead_ms(submission)
        total_ms = sum(queue.queued_ms.values()) or 1.0
        end_ms = 0.0
        tasks_per_ms = 0.0
        for service, run_times_ms in expected_by_service.items():
            slots = _effective_slots(eligible[service], service, now_ms)
            longest_ms = max(run_times_ms)
            work_ms = ahead_ms * queue.queued_ms[service] / total_ms + sum(run_times_ms)
            if all(worker.backlog >= worker.slots for worker in eligible[service]):
                # The tasks that run now are half done on average.
                work_ms += slots * longest_ms / 2
            end_ms = max(end_ms, (work_ms - longest_ms) / slots + longest_ms)
            tasks_per_ms = max(
                tasks_per_ms, slots * len(run_times_ms) / max(1.0, sum(run_times_ms))
            )
        min_run_ms = max(
            self._run_times.min_run_ms(service) for service in expected_by_service
        )
        task_count = len(submission.tasks)
        return admission.Forecast(
            end_ms, min_run_ms, task_count, self.queued, tasks_per_ms
        )


def _effective_slots(workers, service, now_ms):
    """Count slots; those of a slow worker count in proportion to its speed."""
    slowdowns = [worker.slowdown(service, now_ms) for worker in workers]
    usual_slowdown = min(slowdowns)
    pairs = zip(workers, slowdowns, strict=True)
    return max(
        1.0, sum(worker.slots * usual_slowdown / slowdown for worker, slowdown in pairs)
    )


def _payload_too_long(index, max_bytes):
    return problem.Problem(
        kind=problem.Kind.NEVER_RUNNABLE,
        message="the payload of the task is too long",
        remedy=f"send a payload of at most {max_bytes} bytes",
        place=f"tasks[{index}].payload",
    )


def _no_worker(service, repeatable):
    condition = "" if repeatable else " and may take tasks that may not be repeated"
    return problem.Problem(
        kind=problem.Kind.NO_WORKER,
        message=f"no worker of the job's group offers service {service}{condition}",
        remedy="check the name of the service; if it is right, submit with a new id"
        " once a worker offers it",
        place="tasks",
        retry_after_ms=_RETRY_AFTER_MS,
    )
