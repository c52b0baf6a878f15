"""The executor: starts tasks on the upstreams beside this agent.

docs/DESIGN.md, "At most once", gives the guarantees that it must keep. For this, it
stores the fence, the closed state and every attempt of each job in the window. No
lease or timeout decides here whether a task may start a second time.
"""

import asyncio
import collections

from jujubeglade.agent import concurrency, executed_job
from jujubeglade.core import contract, rules
from jujubeglade.core import job as jobs
from jujubeglade.core import journal as audit

_FINISHED = contract.AttemptState.FINISHED
_NEVER = contract.AttemptState.NEVER
_QUEUED = contract.AttemptState.QUEUED
_RUNNING = contract.AttemptState.RUNNING
_PERMIT_TIMEOUT_MS = 500
_ACCEPTED_STATES = (_QUEUED, _RUNNING, _FINISHED)


class Executor:
    """The executor of one agent."""

    __slots__ = (
        "_attempt_log",
        "_calls",
        "_clock",
        "_concurrency",
        "_floor_ms",
        "_identity",
        "_jobs",
        "_journal",
        "_limits",
        "_permits",
        "_queued",
        "_queues",
        "_retained_attempts",
        "_retained_bytes",
        "_running",
        "_upstreams",
        "leaving",
        "rejected",
        "started",
    )

    def __init__(self, identity, clock, journal, permits, limits):
        """Create an executor without upstreams and jobs.

        Args:
          identity: An Identity, of this agent.
          clock: A Clock.
          journal: A Journal.
          permits: A Permits.
          limits: The limits of the settings.
        """
        self._identity = identity
        self._clock = clock
        self._journal = journal
        self._attempt_log = audit.open_attempt_log(journal, clock)
        self._permits = permits
        self._limits = limits
        self._upstreams = {}
        self._jobs = {}
        self._concurrency = rules.RULES["concurrency"].default
        self._queues = collections.defaultdict(collections.deque)
        self._queued = 0
        self._running = 0
        self._calls = set()
        self._retained_attempts = collections.deque()
        self._retained_bytes = 0
        self._floor_ms = 0
        self.leaving = False
        # Totals for the metrics: attempts started, and rejected by reason.
        self.started = 0
        self.rejected = collections.Counter()

    @property
    def floor_ms(self):
        """Return the issue time of tickets below which jobs are removed."""
        return self._floor_ms

    @property
    def is_idle(self):
        """Return whether nothing is queued or running."""
        return self._queued == 0 and self._running == 0

    @property
    def services(self):
        """Return the services of the live upstreams, sorted."""
        serving = self._serving_upstreams()
        return tuple(sorted({upstream.announcement.service for upstream in serving}))

    def use_limits(self, limits):
        """Apply other limits.

        Args:
          limits: The Limits in force.
        """
        self._limits = limits

    def load(self):
        """Return the load of this executor.

        Returns:
          A Load.
        """
        slots = sum(
            upstream.concurrency.limit for upstream in self._serving_upstreams()
        )
        return contract.Load(self._queued, self._running, slots)

    def use_rules(self, choices):
        """Apply the rules that operators chose.

        Args:
          choices: A dict from the names of rules to their choices.
        """
        choice = choices.get("concurrency", rules.RULES["concurrency"].default)
        if choice == self._concurrency:
            return
        self._concurrency = choice
        for upstream in self._upstreams.values():
            slots = upstream.announcement.slots
            upstream.concurrency = concurrency.open_concurrency(slots, choice)

    def add_upstream(self, upstream):
        """Add an upstream, to which tasks may be given.

        Args:
          upstream: An Upstream.
        """
        for previous in self._upstreams.values():
            # An upstream that announces itself again no longer uses its previous lease.
            if previous.announcement.address == upstream.announcement.address:
                previous.leaving = True
        slots = upstream.announcement.slots
        upstream.concurrency = concurrency.open_concurrency(slots, self._concurrency)
        self._upstreams[upstream.lease] = upstream

    def upstream(self, lease):
        """Return the upstream of a lease.

        Args:
          lease: A string.

        Returns:
          An Upstream, or None.
        """
        return self._upstreams.get(lease)

    def on_message(self, link, body):
        """Handle a one-way message of an owner.

        Args:
          link: The Link that received it.
          body: A Start, a Stop or a Throttle; others are ignored.
        """
        if isinstance(body, contract.Start):
            self.start(link, body)
        elif isinstance(body, contract.Stop):
            self.stop(link, body)
        elif isinstance(body, contract.Throttle):
            self.throttle(link, body)

    def start(self, link, start):
        """Accept or reject the tasks of a Start.

        Args:
          link: The Link of the owner, to which the answers are sent.
          start: A Start.
        """
        if start.issued_ms < self._floor_ms:
            for entry in start.tasks:
                self._reject(
                    link, start.key, entry, contract.RejectReason.WINDOW_PASSED
                )
            return
        job = self._job_for(start.key, start.issued_ms)
        reason = self._refusal(job, start.generation)
        if reason is None:
            self._set_owner(job, link, start.generation)
            job.tenant = start.tenant
            job.urgency = start.urgency
            job.deadline_ms = self._clock.now_ms() + start.remaining_ms
        for entry in start.tasks:
            self._accept(link, job, entry, reason)
        self.pump()

    def claim(self, link, claim):
        """Answer a Claim; the fence is raised to its generation.

        Args:
          link: The Link of the owner that sends it, or None for the local home.
          claim: A Claim.

        Returns:
          A Claimed.
        """
        job = self._job_for(claim.key, claim.issued_ms)
        if not self._accept_generation(job, claim):
            return self._refused_claim(job, claim)
        job.owner = link
        for index, attempt in claim.attempts:
            self._forbid_late_start(job, index, attempt)
        return self._claimed(job)

    def close(self, link, close):
        """Answer a Close, after which no task of the job starts.

        Args:
          link: The Link of the owner that sends it, or None for the local home.
          close: A Close.

        Returns:
          A Claimed.
        """
        job = self._job_for(close.key, close.issued_ms)
        if not self._accept_generation(job, close):
            return self._refused_claim(job, close)
        job.closed = True
        self._attempt_log.flush_job(job.key)
        self._journal.record(audit.Kind.CLOSED, job.key, generation=job.fence)
        self._drop_queued(job)
        for attempt in job.attempts.values():
            if attempt.state == _RUNNING:
                self._spawn(attempt.upstream.cancel(attempt.task_id))
        return self._claimed(job)

    def stop(self, link, stop):
        """Cancel one attempt that its owner no longer needs.

        Args:
          link: The Link of the owner.
          stop: A Stop.
        """
        job, attempt = self._find_attempt(stop)
        if attempt is None:
            return
        if attempt.state == _QUEUED:
            self._queued -= 1
            self._reject_accepted(job, attempt, contract.RejectReason.STOPPED)
        elif attempt.state == _RUNNING:
            self._spawn(attempt.upstream.cancel(attempt.task_id))

    def throttle(self, link, throttle):
        """Ask the upstream to run one attempt with fewer resources.

        Args:
          link: The Link of the owner.
          throttle: A Throttle.
        """
        _, attempt = self._find_attempt(throttle)
        if attempt is not None and attempt.state == _RUNNING:
            self._spawn(attempt.upstream.throttle(attempt.task_id))

    def tick(self, wall_ms):
        """Remove jobs outside the window and upstreams without a lease.

        Args:
          wall_ms: An integer, the wall clock.
        """
        self._raise_floor(wall_ms - 2 * self._limits.window_ms)
        now_ms = self._clock.now_ms()
        for lease, upstream in list(self._upstreams.items()):
            if not upstream.is_live(now_ms) and upstream.running == 0:
                del self._upstreams[lease]
                self._spawn(upstream.close())
        self.pump()

    def flush_records(self, due_only=False):
        """Write the attempts recorded so far to the journal.

        Args:
          due_only: A boolean; true leaves out the batches that may still grow.
        """
        if due_only:
            self._attempt_log.flush_due()
        else:
            self._attempt_log.flush_all()

    async def drain(self):
        """Wait until every accepted task has ended."""
        while self._calls:
            await asyncio.wait(set(self._calls))

    async def close_upstreams(self):
        """Close the connections to all upstreams."""
        for upstream in self._upstreams.values():
            await upstream.close()

    def _serving_upstreams(self):
        now_ms = self._clock.now_ms()
        live = [
            upstream
            for upstream in self._upstreams.values()
            if upstream.is_live(now_ms)
        ]
        return [upstream for upstream in live if not upstream.leaving]

    def _job_for(self, key, issued_ms):
        job = self._jobs.get(key)
        if job is None:
            job = executed_job.ExecutedJob(key, issued_ms)
            if issued_ms >= self._floor_ms:
                self._jobs[key] = job
                self._limit_jobs()
        return job

    def _set_owner(self, job, link, generation):
        """Set the fence, and the link unless this generation has an open one."""
        is_later = generation > job.fence
        if is_later or job.owner is None or not job.owner.is_open:
            job.owner = link
        job.fence = generation

    def _refusal(self, job, generation):
        if generation < job.fence:
            return contract.RejectReason.FENCED
        if job.closed:
            return contract.RejectReason.CLOSED
        if self.leaving:
            return contract.RejectReason.LEAVING
        refusal = self._permits.refusal()
        if refusal == contract.RejectReason.NO_PERMIT and not self._is_permit_overdue():
            # The task waits for the permit that the next heartbeat should bring.
            return None
        return refusal

    def _is_permit_overdue(self):
        return self._permits.expired_for_ms() > _PERMIT_TIMEOUT_MS

    def _accept(self, link, job, entry, reason):
        attempt_key = (entry.index, entry.attempt)
        earlier_attempt = job.attempts.get(attempt_key)
        if earlier_attempt is not None and earlier_attempt.state in _ACCEPTED_STATES:
            # The frame was delivered twice; an accepted attempt is answered only once.
            return
        if earlier_attempt is not None or reason is None and _was_accepted(job, entry):
            reason = contract.RejectReason.REPEATED
        if reason is None and self._queued >= self._limits.max_queue_tasks:
            reason = contract.RejectReason.QUEUE_FULL
        if reason is None and entry.task.service not in self.services:
            reason = contract.RejectReason.NO_UPSTREAM
        task_id = jobs.TaskId(job.key, entry.index, entry.attempt)
        if reason is not None:
            job.attempts.setdefault(
                attempt_key, executed_job.ExecutedAttempt(task_id, None, _NEVER)
            )
            self._reject(link, job.key, entry, reason)
            return
        new_attempt = executed_job.ExecutedAttempt(task_id, entry, _QUEUED)
        job.attempts[attempt_key] = new_attempt
        job.accepted_indexes.add(entry.index)
        self._queues[entry.task.service].append((job, new_attempt))
        self._queued += 1

    def _reject(self, link, key, entry, reason, retry_after_ms=0):
        load = self.load()
        self.rejected[reason] += 1
        self._attempt_log.add(audit.Kind.REJECTED, key, entry.index, entry.attempt)
        if link is not None:
            link.send(
                contract.Rejected(
                    key, entry.index, entry.attempt, reason, retry_after_ms, load
                )
            )

    def pump(self):
        """Start queued attempts while slots are free."""
        for service, queue in self._queues.items():
            while queue:
                job, attempt = queue[0]
                if attempt.state != _QUEUED:
                    queue.popleft()
                    continue
                reason = self._refusal_at_start(job, service)
                upstream = self._free_upstream(service)
                if reason == contract.RejectReason.NO_PERMIT:
                    if not self._is_permit_overdue():
                        break
                elif reason is None and upstream is None:
                    break
                queue.popleft()
                self._queued -= 1
                if reason is not None:
                    self._reject_accepted(job, attempt, reason)
                else:
                    self._start_attempt(job, attempt, upstream)

    def _refusal_at_start(self, job, service):
        reason = self._permits.refusal()
        if reason is None and self._clock.now_ms() >= job.deadline_ms:
            return contract.RejectReason.TOO_LATE
        if reason is None and service not in self.services:
            return contract.RejectReason.NO_UPSTREAM
        return reason

    def _free_upstream(self, service):
        free = [
            upstream
            for upstream in self._serving_upstreams()
            if upstream.announcement.service == service and upstream.has_free_slot
        ]
        return min(free, key=lambda upstream: upstream.running, default=None)

    def _reject_accepted(self, job, attempt, reason, retry_after_ms=0):
        attempt.state = _NEVER
        job.accepted_indexes.discard(attempt.task_id.index)
        self._reject(job.owner, job.key, attempt.entry, reason, retry_after_ms)

    def _start_attempt(self, job, attempt, upstream):
        attempt.state = _RUNNING
        attempt.upstream = upstream
        upstream.running += 1
        self._running += 1
        self.started += 1
        task_id = attempt.task_id
        # The upstream refuses a start that arrives after the permit checked here ended.
        start_by_ms = self._clock.wall_ms() + self._permits.remaining_ms()
        self._attempt_log.add(
            audit.Kind.STARTED,
            job.key,
            task_id.index,
            task_id.attempt,
            permit_revision=self._permits.revision,
            permit_until_ms=start_by_ms,
        )
        self._spawn(self._call(job, attempt, upstream, start_by_ms))

    def _spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    async def _call(self, job, attempt, upstream, start_by_ms):
        started_ms = self._clock.now_ms()
        wall_ms = self._clock.wall_ms()
        deadline_ms = wall_ms + int(job.deadline_ms - started_ms)
        payload = attempt.entry.task.payload
        try:
            call_result = await upstream.call(
                attempt.task_id, payload, start_by_ms, deadline_ms
            )
        finally:
            upstream.running -= 1
            self._running -= 1
        if call_result.reject_reason == contract.RejectReason.THROTTLED:
            upstream.concurrency.throttled(upstream.running)
        elif call_result.verdict == contract.Verdict.SUCCEEDED:
            upstream.concurrency.succeeded()
        run_ms = int(self._clock.now_ms() - started_ms)
        self._finish_attempt(job, attempt, call_result, run_ms)
        self.pump()

    def _finish_attempt(self, job, attempt, call_result, run_ms):
        if call_result.reject_reason is not None:
            self._reject_accepted(
                job, attempt, call_result.reject_reason, call_result.retry_after_ms
            )
            return
        attempt.state = _FINISHED
        attempt.verdict = call_result.verdict
        attempt.body = call_result.body
        # The attempt is kept for two windows, but without its payload.
        attempt.entry = None
        self._retain_result(attempt)
        if job.owner is not None:
            job.owner.send(
                contract.Finished(
                    job.key,
                    attempt.task_id.index,
                    attempt.task_id.attempt,
                    call_result.verdict,
                    call_result.body,
                    run_ms,
                    self.load(),
                )
            )

    def _retain_result(self, attempt):
        self._retained_attempts.append(attempt)
        self._retained_bytes += len(attempt.body)
        while self._retained_bytes > self._limits.held_result_bytes:
            oldest = self._retained_attempts.popleft()
            self._retained_bytes -= len(oldest.body)
            oldest.body = b""
            oldest.body_retained = False

    def _forbid_late_start(self, job, index, attempt):
        """Record an attempt as never to start, if it has not arrived yet."""
        if (index, attempt) not in job.attempts:
            task_id = jobs.TaskId(job.key, index, attempt)
            new_attempt = executed_job.ExecutedAttempt(task_id, None, _NEVER)
            job.attempts[(index, attempt)] = new_attempt
            self._attempt_log.add(audit.Kind.REJECTED, job.key, index, attempt)

    def _find_attempt(self, request):
        """Return the job and attempt of a request; no attempt for an outdated owner."""
        job = self._jobs.get(request.key)
        if job is None or request.generation < job.fence:
            return job, None
        return job, job.attempts.get((request.index, request.attempt))

    def _accept_generation(self, job, request):
        """Raise the fence to a request's generation; return False if it is too low."""
        if request.issued_ms < self._floor_ms or request.generation < job.fence:
            return False
        if request.generation > job.fence:
            self._raise_fence(job, request.generation)
        return True

    def _refused_claim(self, job, request):
        """Refuse a request of an outdated owner, or one for a removed job."""
        fence = max(job.fence, request.generation + 1)
        return contract.Claimed(request.key, fence, job.closed, (), self.load())

    def _raise_fence(self, job, generation):
        previous_owner = job.owner
        job.fence = generation
        self._attempt_log.flush_job(job.key)
        self._journal.record(audit.Kind.FENCED, job.key, generation=generation)
        self._drop_queued(job)
        if previous_owner is not None:
            previous_owner.send(contract.Fenced(job.key, generation))

    def _drop_queued(self, job):
        """Mark the queued attempts as never to start."""
        for (index, number), attempt in job.attempts.items():
            if attempt.state == _QUEUED:
                attempt.state = _NEVER
                job.accepted_indexes.discard(index)
                self._queued -= 1
                self._attempt_log.add(audit.Kind.REJECTED, job.key, index, number)

    def _claimed(self, job):
        reports = tuple(attempt.report() for attempt in job.attempts.values())
        return contract.Claimed(job.key, job.fence, job.closed, reports, self.load())

    def _limit_jobs(self):
        if len(self._jobs) > self._limits.max_jobs:
            oldest_ms = min(job.issued_ms for job in self._jobs.values())
            self._raise_floor(oldest_ms + 1)

    def _raise_floor(self, floor_ms):
        if floor_ms <= self._floor_ms:
            return
        self._floor_ms = floor_ms
        expired_keys = [
            key for key, job in self._jobs.items() if job.issued_ms < floor_ms
        ]
        for key in expired_keys:
            self._drop_job(self._jobs.pop(key))

    def _drop_job(self, job):
        self._drop_queued(job)
        for attempt in job.attempts.values():
            # The bytes stay counted until the attempt leaves `_retained_attempts`.
            attempt.body_retained = False


def _was_accepted(job, entry):
    """Return whether a task that may not be repeated was accepted before."""
    return not entry.task.repeatable and entry.index in job.accepted_indexes
