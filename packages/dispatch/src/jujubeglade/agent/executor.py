"""The executor: starts tasks on the upstreams beside this agent.

It keeps the promises of docs/DESIGN.md, "At most once": for each job of the
window the fence, whether it is closed, and every attempt. Nothing here consults
a lease or a timeout to decide whether a task may start a second time.
"""

import asyncio
import collections

from jujubeglade.agent import concurrency, executed_job
from jujubeglade.core import contract, job, rules
from jujubeglade.core import journal as audit

_FINISHED = contract.AttemptState.FINISHED
_NEVER = contract.AttemptState.NEVER
_QUEUED = contract.AttemptState.QUEUED
_RUNNING = contract.AttemptState.RUNNING
_PERMIT_PATIENCE_MS = 500
_ACCEPTED = (_QUEUED, _RUNNING, _FINISHED)


class Executor:
    """The executor of one agent."""

    __slots__ = (
        "_attempts",
        "_calls",
        "_clock",
        "_concurrency",
        "_floor_ms",
        "_held",
        "_held_bytes",
        "_identity",
        "_jobs",
        "_journal",
        "_limits",
        "_permits",
        "_queues",
        "_queued",
        "_running",
        "_upstreams",
        "leaving",
        "rejected",
        "started",
    )

    def __init__(self, identity, clock, journal, permits, limits):
        """Start with no upstream and no job.

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
        self._attempts = audit.open_attempt_log(journal, clock)
        self._permits = permits
        self._limits = limits
        self._upstreams = {}
        self._jobs = {}
        self._concurrency = rules.RULES["concurrency"].default
        self._queues = collections.defaultdict(collections.deque)
        self._queued = 0
        self._running = 0
        self._calls = set()
        self._held = collections.deque()
        self._held_bytes = 0
        self._floor_ms = 0
        self.leaving = False
        # Totals for the metrics: attempts started, and rejected by reason.
        self.started = 0
        self.rejected = collections.Counter()

    @property
    def floor_ms(self):
        """Return the issue time below which jobs are forgotten."""
        return self._floor_ms

    @property
    def is_idle(self):
        """Tell whether nothing is queued or running."""
        return self._queued == 0 and self._running == 0

    @property
    def services(self):
        """Return the services of the live upstreams, sorted."""
        serving = self._serving_upstreams()
        return tuple(sorted({up.announcement.service for up in serving}))

    def use_limits(self, limits):
        """Go on under other limits.

        Args:
          limits: The Limits in force.
        """
        self._limits = limits

    def load(self):
        """Measure how busy this executor is.

        Returns:
          A Load.
        """
        slots = sum(up.concurrency.limit for up in self._serving_upstreams())
        return contract.Load(self._queued, self._running, slots)

    def use_rules(self, chosen):
        """Apply the rules that operators chose.

        Args:
          chosen: A dict from the names of rules to choices.
        """
        choice = chosen.get("concurrency", rules.RULES["concurrency"].default)
        if choice == self._concurrency:
            return
        self._concurrency = choice
        for upstream in self._upstreams.values():
            slots = upstream.announcement.slots
            upstream.concurrency = concurrency.open_concurrency(slots, choice)

    def add_upstream(self, upstream):
        """Take an upstream into service.

        Args:
          upstream: An Upstream.
        """
        for former in self._upstreams.values():
            # An upstream that announces again has forgotten its former lease.
            if former.announcement.address == upstream.announcement.address:
                former.leaving = True
        slots = upstream.announcement.slots
        upstream.concurrency = concurrency.open_concurrency(slots, self._concurrency)
        self._upstreams[upstream.lease] = upstream

    def upstream(self, lease):
        """Find an upstream by its lease.

        Args:
          lease: A string.

        Returns:
          An Upstream, or None.
        """
        return self._upstreams.get(lease)

    def on_message(self, link, body):
        """Take a one-way message of an owner.

        Args:
          link: The Link it came by.
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
          link: The Link of the owner, to which answers go.
          start: A Start.
        """
        if start.issued_ms < self._floor_ms:
            for entry in start.tasks:
                self._reject(link, start.key, entry, contract.Reject.WINDOW_PASSED)
            return
        known = self._job(start.key, start.issued_ms)
        reason = self._refusal(known, start.generation)
        if reason is None:
            self._adopt_owner(known, link, start.generation)
            known.tenant = start.tenant
            known.urgency = start.urgency
            known.deadline_ms = self._clock.now_ms() + start.remaining_ms
        for entry in start.tasks:
            self._accept(link, known, entry, reason)
        self.pump()

    def claim(self, link, claim):
        """Answer a Claim, raising the fence.

        Args:
          link: The Link of the owner that asks, or None for the local home.
          claim: A Claim.

        Returns:
          A Claimed.
        """
        known = self._job(claim.key, claim.issued_ms)
        if not self._follows(known, claim):
            return self._refused(known, claim)
        known.owner = link
        for index, attempt in claim.attempts:
            self._promise_not_to_start(known, index, attempt)
        return self._claimed(known)

    def close(self, link, close):
        """Answer a Close: nothing of the job starts any more.

        Args:
          link: The Link of the owner that asks, or None for the local home.
          close: A Close.

        Returns:
          A Claimed.
        """
        known = self._job(close.key, close.issued_ms)
        if not self._follows(known, close):
            return self._refused(known, close)
        known.closed = True
        self._attempts.flush_job(known.key)
        self._journal.record(audit.Kind.CLOSED, known.key, generation=known.fence)
        self._drop_queued(known)
        for attempt in known.attempts.values():
            if attempt.state == _RUNNING:
                self._spawn(attempt.upstream.cancel(attempt.task_id))
        return self._claimed(known)

    def stop(self, link, stop):
        """Cancel one attempt that its owner has no more use for.

        Args:
          link: The Link of the owner.
          stop: A Stop.
        """
        known, attempt = self._ordered(stop)
        if attempt is None:
            return
        if attempt.state == _QUEUED:
            self._queued -= 1
            self._reject_accepted(known, attempt, contract.Reject.STOPPED)
        elif attempt.state == _RUNNING:
            self._spawn(attempt.upstream.cancel(attempt.task_id))

    def throttle(self, link, throttle):
        """Ask the upstream to run one attempt with less.

        Args:
          link: The Link of the owner.
          throttle: A Throttle.
        """
        _, attempt = self._ordered(throttle)
        if attempt is not None and attempt.state == _RUNNING:
            self._spawn(attempt.upstream.throttle(attempt.task_id))

    def tick(self, wall_ms):
        """Forget what is outside the window and drop what may not start.

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
        """Bring the attempts noted so far into the journal.

        Args:
          due_only: A boolean, true leaves those that more may join.
        """
        if due_only:
            self._attempts.flush_due()
        else:
            self._attempts.flush_all()

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
        live = [up for up in self._upstreams.values() if up.is_live(now_ms)]
        return [up for up in live if not up.leaving]

    def _job(self, key, issued_ms):
        known = self._jobs.get(key)
        if known is None:
            known = executed_job.ExecutedJob(key, issued_ms)
            if issued_ms >= self._floor_ms:
                self._jobs[key] = known
                self._bound_jobs()
        return known

    def _adopt_owner(self, known, link, generation):
        """Send answers to the link that claimed last, not to one it replaced."""
        later = generation > known.fence
        if later or known.owner is None or not known.owner.is_open:
            known.owner = link
        known.fence = generation

    def _refusal(self, known, generation):
        if generation < known.fence:
            return contract.Reject.FENCED
        if known.closed:
            return contract.Reject.CLOSED
        if self.leaving:
            return contract.Reject.LEAVING
        refusal = self._permits.refusal()
        if refusal == contract.Reject.NO_PERMIT and not self._is_permit_overdue():
            # The next heartbeat brings a permit; the task waits for it.
            return None
        return refusal

    def _is_permit_overdue(self):
        return self._permits.missing_ms() > _PERMIT_PATIENCE_MS

    def _accept(self, link, known, entry, reason):
        name = (entry.index, entry.attempt)
        earlier = known.attempts.get(name)
        if earlier is not None and earlier.state in _ACCEPTED:
            # A repeated frame: the attempt has been accepted and is answered once.
            return
        if earlier is not None or reason is None and _is_taken(known, entry):
            reason = contract.Reject.REPEATED
        if reason is None and self._queued >= self._limits.max_queue_tasks:
            reason = contract.Reject.QUEUE_FULL
        if reason is None and entry.task.service not in self.services:
            reason = contract.Reject.NO_UPSTREAM
        task_id = job.TaskId(known.key, entry.index, entry.attempt)
        if reason is not None:
            known.attempts.setdefault(
                name, executed_job.ExecutedAttempt(task_id, None, _NEVER)
            )
            self._reject(link, known.key, entry, reason)
            return
        accepted = executed_job.ExecutedAttempt(task_id, entry, _QUEUED)
        known.attempts[name] = accepted
        known.taken.add(entry.index)
        self._queues[entry.task.service].append((known, accepted))
        self._queued += 1

    def _reject(self, link, key, entry, reason, retry_after_ms=0):
        load = self.load()
        self.rejected[reason] += 1
        self._attempts.note(audit.Kind.REJECTED, key, entry.index, entry.attempt)
        if link is not None:
            link.send(
                contract.Rejected(
                    key, entry.index, entry.attempt, reason, retry_after_ms, load
                )
            )

    def pump(self):
        """Start what is queued while slots are free."""
        for service, queue in self._queues.items():
            while queue:
                known, attempt = queue[0]
                if attempt.state != _QUEUED:
                    queue.popleft()
                    continue
                reason = self._refusal_at_start(known, service)
                upstream = self._free_upstream(service)
                if reason == contract.Reject.NO_PERMIT:
                    if not self._is_permit_overdue():
                        break
                elif reason is None and upstream is None:
                    break
                queue.popleft()
                self._queued -= 1
                if reason is not None:
                    self._reject_accepted(known, attempt, reason)
                else:
                    self._start_attempt(known, attempt, upstream)

    def _refusal_at_start(self, known, service):
        reason = self._permits.refusal()
        if reason is None and self._clock.now_ms() >= known.deadline_ms:
            return contract.Reject.TOO_LATE
        if reason is None and service not in self.services:
            return contract.Reject.NO_UPSTREAM
        return reason

    def _free_upstream(self, service):
        free = [
            up
            for up in self._serving_upstreams()
            if up.announcement.service == service and up.has_free_slot
        ]
        return min(free, key=lambda up: up.running, default=None)

    def _reject_accepted(self, known, attempt, reason, retry_after_ms=0):
        attempt.state = _NEVER
        known.taken.discard(attempt.task_id.index)
        self._reject(known.owner, known.key, attempt.entry, reason, retry_after_ms)

    def _start_attempt(self, known, attempt, upstream):
        attempt.state = _RUNNING
        attempt.upstream = upstream
        upstream.running += 1
        self._running += 1
        self.started += 1
        task_id = attempt.task_id
        # The start must arrive under the permit that it was checked under.
        start_by_ms = self._clock.wall_ms() + self._permits.remaining_ms()
        self._attempts.note(
            audit.Kind.STARTED,
            known.key,
            task_id.index,
            task_id.attempt,
            permit_revision=self._permits.revision,
            permit_until_ms=start_by_ms,
        )
        self._spawn(self._call(known, attempt, upstream, start_by_ms))

    def _spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    async def _call(self, known, attempt, upstream, start_by_ms):
        begun_ms = self._clock.now_ms()
        wall_ms = self._clock.wall_ms()
        deadline_ms = wall_ms + int(known.deadline_ms - begun_ms)
        payload = attempt.entry.task.payload
        try:
            ended = await upstream.call(
                attempt.task_id, payload, start_by_ms, deadline_ms
            )
        finally:
            upstream.running -= 1
            self._running -= 1
        if ended.reject == contract.Reject.THROTTLED:
            upstream.concurrency.throttled(upstream.running)
        elif ended.verdict == contract.Verdict.SUCCEEDED:
            upstream.concurrency.succeeded()
        run_ms = int(self._clock.now_ms() - begun_ms)
        self._finish_attempt(known, attempt, ended, run_ms)
        self.pump()

    def _finish_attempt(self, known, attempt, ended, run_ms):
        if ended.reject is not None:
            self._reject_accepted(known, attempt, ended.reject, ended.retry_after_ms)
            return
        attempt.state = _FINISHED
        attempt.verdict = ended.verdict
        attempt.body = ended.body
        # The attempt is remembered for two windows, its payload is not.
        attempt.entry = None
        self._hold(attempt)
        if known.owner is not None:
            known.owner.send(
                contract.Finished(
                    known.key,
                    attempt.task_id.index,
                    attempt.task_id.attempt,
                    ended.verdict,
                    ended.body,
                    run_ms,
                    self.load(),
                )
            )

    def _hold(self, attempt):
        self._held.append(attempt)
        self._held_bytes += len(attempt.body)
        while self._held_bytes > self._limits.held_result_bytes:
            oldest = self._held.popleft()
            self._held_bytes -= len(oldest.body)
            oldest.body = b""
            oldest.body_held = False

    def _promise_not_to_start(self, known, index, attempt):
        """Promise never to start an attempt that is not known here."""
        if (index, attempt) not in known.attempts:
            task_id = job.TaskId(known.key, index, attempt)
            promised = executed_job.ExecutedAttempt(task_id, None, _NEVER)
            known.attempts[(index, attempt)] = promised
            self._attempts.note(audit.Kind.REJECTED, known.key, index, attempt)

    def _ordered(self, order):
        """Find the job and attempt of an order, unless a later owner has it."""
        known = self._jobs.get(order.key)
        if known is None or order.generation < known.fence:
            return known, None
        return known, known.attempts.get((order.index, order.attempt))

    def _follows(self, known, asked):
        """Raise the fence to the generation that asks; false when it is too low."""
        if asked.issued_ms < self._floor_ms or asked.generation < known.fence:
            return False
        if asked.generation > known.fence:
            self._raise_fence(known, asked.generation)
        return True

    def _refused(self, known, asked):
        """Answer an owner that is not the latest, or whose job is forgotten."""
        fence = max(known.fence, asked.generation + 1)
        return contract.Claimed(asked.key, fence, known.closed, (), self.load())

    def _raise_fence(self, known, generation):
        former = known.owner
        known.fence = generation
        self._attempts.flush_job(known.key)
        self._journal.record(audit.Kind.FENCED, known.key, generation=generation)
        self._drop_queued(known)
        if former is not None:
            former.send(contract.Fenced(known.key, generation))

    def _drop_queued(self, known):
        """Promise never to start what has not begun."""
        for (index, number), attempt in known.attempts.items():
            if attempt.state == _QUEUED:
                attempt.state = _NEVER
                known.taken.discard(index)
                self._queued -= 1
                self._attempts.note(audit.Kind.REJECTED, known.key, index, number)

    def _claimed(self, known):
        reports = tuple(attempt.report() for attempt in known.attempts.values())
        return contract.Claimed(
            known.key, known.fence, known.closed, reports, self.load()
        )

    def _bound_jobs(self):
        if len(self._jobs) > self._limits.max_jobs:
            oldest = min(known.issued_ms for known in self._jobs.values())
            self._raise_floor(oldest + 1)

    def _raise_floor(self, floor_ms):
        if floor_ms <= self._floor_ms:
            return
        self._floor_ms = floor_ms
        passed = [k for k, known in self._jobs.items() if known.issued_ms < floor_ms]
        for key in passed:
            self._forget(self._jobs.pop(key))

    def _forget(self, known):
        self._drop_queued(known)
        for attempt in known.attempts.values():
            # The bytes stay counted until the attempt leaves the queue of held ones.
            attempt.body_held = False


def _is_taken(known, entry):
    """Tell whether a task that may not be repeated was accepted before."""
    return not entry.task.repeatable and entry.index in known.taken
