"""The home: owns jobs, places their tasks and answers for them.

The rules by which an owner may place a task are those of docs/DESIGN.md, "At
most once". Placement itself is a policy. A job ends in exactly one answer, and
an answer that says `not_run` is given only after the job was closed at a
candidate.
"""

import asyncio
import collections

from jujubeglade.agent import (
    listing,
    owned_job,
    refusal,
    scheduler,
    takeover,
    window,
    worker,
)
from jujubeglade.core import clock, contract, job, log, problem, routing, ticket
from jujubeglade.core import journal as audit

CLAIM_PATIENCE_MS = 1500
CLOSE_PATIENCE_MS = 250
# A close waits once for a link and once for its answer.
_CANCEL_PATIENCE_MS = 3 * CLOSE_PATIENCE_MS
_MAX_REJECTS = 50
_RETRY_AFTER_MS = 1000

_log = log.get(__name__)

_SUCCEEDED = contract.Verdict.SUCCEEDED


class LocalLink:
    """The way from this agent's executor to its own home."""

    __slots__ = ("_home", "is_open", "remote")

    def __init__(self, home, identity):
        """Connect the two halves of one agent.

        Args:
          home: A Home.
          identity: An Identity, of this agent.
        """
        self._home = home
        self.remote = identity
        self.is_open = True

    def send(self, body):
        """Hand a message over on the next turn of the event loop.

        Args:
          body: A message.
        """
        asyncio.get_running_loop().call_soon(self._home.on_message, self, body)
        return True


class Home:
    """The home role of one agent."""

    def __init__(self, agent, executor, dial=None):
        """Start with no job.

        Args:
          agent: The Agent's context: identity, clock, journal, permits,
            settings.
          executor: The Executor of this agent.
          dial: A coroutine function that opens links; None means `link.dial`.
        """
        self._agent = agent
        self._dial = dial
        self._clock = agent.clock
        self._journal = agent.journal
        self._limits = agent.settings.limits
        self._executor = executor
        self._local = LocalLink(self, agent.identity)
        self._window = window.Window()
        self._jobs = self._window.jobs
        self._workers = {}
        self._tasks = set()
        self._scheduler = scheduler.Scheduler(self, agent, self._send)
        self.leaving = False
        # Totals for the metrics: jobs accepted by tenant, and answered by state.
        self.accepted = collections.Counter()
        self.answered = collections.Counter()

    @property
    def is_idle(self):
        """Tell whether every job has been answered."""
        return all(known.is_over and not known.ending for known in self._jobs.values())

    @property
    def journal(self):
        """Return the journal of this agent."""
        return self._journal

    @property
    def scheduler(self):
        """Return the scheduler of the waiting tasks."""
        return self._scheduler

    @property
    def workers(self):
        """Return the known workers, by incarnation."""
        return self._workers

    @property
    def jobs(self):
        """Return the owned jobs, by key."""
        return self._jobs

    def use_limits(self, limits):
        """Go on under other limits.

        Args:
          limits: The Limits in force.
        """
        self._limits = limits

    async def submit(self, submit):
        """Take a submission and answer it.

        Args:
          submit: A Submit.

        Returns:
          An Answer, a Moved, or a Problem.
        """
        parsed = ticket.parse(self._agent.cluster_key, submit.submission.ticket)
        if parsed.is_err():
            return parsed.err_value
        held = parsed.ok_value
        known = self._jobs.get(held.key)
        if known is None:
            refused = self._refusal(held, submit) or self._decline(held, submit)
            if refused is not None:
                self._journal.record(
                    audit.Kind.REFUSED, held.key, reason=str(refused.kind)
                )
                return refused
            known = self._accept(held, submit)
        elif known.submission.tenant != submit.submission.tenant:
            return refusal.unknown_job(held.key)
        return await self._wait(known, submit.wait_ms)

    async def query(self, query):
        """Answer for a job that is known here.

        Args:
          query: A Query.

        Returns:
          An Answer, a Moved, or a Problem of kind UNKNOWN_JOB.
        """
        known = self._find(query)
        if known is None:
            return refusal.unknown_job(query.key)
        return await self._wait(known, query.wait_ms)

    async def cancel(self, cancel):
        """Cancel a job.

        Args:
          cancel: A Cancel.

        Returns:
          The job's Answer, a Moved, or a Problem of kind UNKNOWN_JOB.
        """
        known = self._find(cancel)
        if known is None:
            return refusal.unknown_job(cancel.key)
        self._journal.record(audit.Kind.CANCELLED, known.key, reason=cancel.reason)
        # The job ends also when the link of who asks breaks meanwhile.
        self.spawn(self.fail(known, f"cancelled: {cancel.reason}", 0))
        return await self._wait(known, _CANCEL_PATIENCE_MS)

    async def cancel_tenant(self, cancel):
        """Cancel all running jobs of a tenant.

        Args:
          cancel: A CancelTenant.

        Returns:
          A Count of the jobs cancelled.
        """
        running = [
            known
            for known in self._jobs.values()
            if known.submission.tenant == cancel.tenant and not known.is_over
        ]
        orders = [
            routing.Cancel(known.key, cancel.tenant, cancel.reason) for known in running
        ]
        await asyncio.gather(*(self.cancel(order) for order in orders))
        return routing.Count(len(running))

    async def throttle(self, throttle):
        """Ask the upstreams to run a job's tasks with less.

        Args:
          throttle: A routing.Throttle.

        Returns:
          A Count of the attempts concerned, or a Problem of kind UNKNOWN_JOB.
        """
        known = self._jobs.get(throttle.key)
        if known is None:
            return refusal.unknown_job(throttle.key)
        self._journal.record(audit.Kind.THROTTLED, known.key, reason=throttle.reason)
        running = [
            (holder, index, attempt)
            for index, task in enumerate(known.tasks)
            for attempt, holder in task.attempts.items()
            if holder.link is not None or self.is_local(holder)
        ]
        for holder, index, attempt in running:
            order = contract.Throttle(known.key, known.generation, index, attempt)
            self._send(holder, order)
        return routing.Count(len(running))

    async def list_jobs(self, asked):
        """List the jobs owned here.

        Args:
          asked: A ListJobs.

        Returns:
          A JobRows.
        """
        return listing.list_jobs(self._jobs.values(), asked)

    def on_message(self, link, body):
        """Take a message of an executor.

        Args:
          link: The Link, or LocalLink, it came by.
          body: A Finished, Rejected or Fenced.
        """
        if isinstance(body, contract.Finished):
            self._on_finished(link, body)
        elif isinstance(body, contract.Rejected):
            self._on_rejected(link, body)
        elif isinstance(body, contract.Fenced):
            known = self._jobs.get(body.key)
            if known is not None and body.generation > known.generation:
                self.move(known, body.generation)

    async def on_request(self, link, body):
        """Refuse questions: executors ask none of a home."""
        return problem.Problem(
            problem.Kind.FRAME, "an executor asked a home", "run the same version"
        )

    def on_worker_changed(self, changed):
        """Place again after a worker's link opened or could not be dialed."""
        if changed.link is not None and changed.was_lost:
            self._scheduler.returned(changed)
        self.pump()

    def on_worker_lost(self, lost):
        """Settle what a worker held when its link closed.

        Args:
          lost: A Worker.
        """
        held = {}
        for key, index, attempt in lost.outstanding:
            held.setdefault(key, []).append((index, attempt))
        for key, attempts in held.items():
            known = self._jobs.get(key)
            if known is not None and not known.is_over:
                self.spawn(takeover.settle(self, known, lost, tuple(attempts)))
        self.pump()

    def tick(self, wall_ms):
        """Forget jobs outside the window, and workers of none of those left.

        Args:
          wall_ms: An integer, the wall clock.
        """
        self._window.raise_floor(wall_ms - 2 * self._limits.window_ms)
        self._retire_workers()
        self._scheduler.tick()

    def spawn(self, coroutine):
        """Run a coroutine beside the others until it ends.

        Args:
          coroutine: A coroutine.
        """
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self):
        """Stop all tasks and close all links to workers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for known in self._workers.values():
            if known.link is not None:
                known.link.close()

    def worker_for(self, member):
        """Find or make the worker of a member, and keep its link.

        Args:
          member: A Member.

        Returns:
          A Worker.
        """
        now_ms = self._clock.now_ms()
        known = self._workers.get(member.incarnation)
        if known is None:
            known = worker.Worker(member, now_ms, self._dial)
            self._workers[member.incarnation] = known
            if member.incarnation != self._agent.identity.incarnation:
                agent = self._agent
                self.spawn(known.keep_link(agent.cluster_key, agent.identity, self))
        known.member = member
        known.last_used_ms = now_ms
        return known

    def is_local(self, candidate):
        """Tell whether a worker is this agent itself.

        Args:
          candidate: A Worker.
        """
        return candidate.member.incarnation == self._agent.identity.incarnation

    async def claim(self, candidate, claim):
        """Put a Claim or Close to a worker.

        Args:
          candidate: A Worker.
          claim: A Claim or a Close.

        Returns:
          A Claimed, or None when no answer came.
        """
        closing = isinstance(claim, contract.Close)
        if self.is_local(candidate):
            serve = self._executor.close if closing else self._executor.claim
            return serve(self._local, claim)
        patience_ms = CLOSE_PATIENCE_MS if closing else CLAIM_PATIENCE_MS
        opened = await candidate.connected(patience_ms)
        if opened is None:
            return None
        answered = await opened.ask(claim, patience_ms)
        return answered.ok_value if answered.is_ok() else None

    def enqueue_tasks(self, known, indexes):
        """Queue tasks of a job for placement.

        Args:
          known: An OwnedJob.
          indexes: An iterable of integers, the places of the tasks.
        """
        self._scheduler.add(known, indexes)

    def adopt(self, known, candidate, report):
        """Count an attempt that runs on a worker as this owner's own.

        Args:
          known: An OwnedJob.
          candidate: A Worker.
          report: An Attempt.
        """
        task = known.tasks[report.index]
        task.attempts[report.attempt] = candidate
        task.holder = candidate.member
        candidate.outstanding.add((known.key, report.index, report.attempt))

    def remove_attempt(self, known, index, attempt):
        """Strike an attempt that is no longer out.

        Args:
          known: An OwnedJob.
          index: An integer, the task's place.
          attempt: An integer.

        Returns:
          A boolean, whether it was out.
        """
        # An end that comes after the answer finds no task any more.
        task = known.tasks[index] if known.tasks else None
        holder = task.attempts.pop(attempt, None) if task else None
        if holder is None:
            return False
        holder.outstanding.discard((known.key, index, attempt))
        return True

    def handle_result(self, known, index, verdict, body, body_held=True, lost=False):
        """Take the end of an attempt that was started.

        Args:
          known: An OwnedJob.
          index: An integer, the task's place.
          verdict: A string, a Verdict.
          body: Bytes, the result or the error.
          body_held: A boolean, false when the executor dropped the body.
          lost: A boolean, true when the worker was lost with the attempt.
        """
        if known.answer is not None or known.moved_to is not None:
            return
        task = known.tasks[index]
        if task.answer is not None:
            return
        ran = verdict != contract.Verdict.UNKNOWN
        outcome = job.TaskOutcome.RAN if ran else job.TaskOutcome.MAY_HAVE_RUN
        # Also a job that is ending must know of every start, to answer truly.
        task.evidence = outcome
        if known.ending:
            return
        if verdict == _SUCCEEDED and body_held:
            task.answer = job.TaskAnswer(job.TaskOutcome.RAN, body, "")
            known.unfinished -= 1
            self._stop_others(known, index)
            if known.unfinished == 0:
                self._complete(known)
            return
        succeeded = verdict == _SUCCEEDED
        if not succeeded and self._scheduler.retry(known, index, lost):
            return
        text = body.decode("utf-8", "replace") or "the result is no longer held"
        self.fail_task(known, index, outcome, text)

    def _stop_others(self, known, index):
        """Cancel the attempts of a task that has its result."""
        for attempt, holder in list(known.tasks[index].attempts.items()):
            if not known.is_latest(index, attempt):
                self._scheduler.outrun(holder, known.tasks[index])
            self.remove_attempt(known, index, attempt)
            if holder.link is not None or self.is_local(holder):
                stop = contract.Stop(known.key, known.generation, index, attempt)
                self._send(holder, stop)

    def fail_task(self, known, index, outcome, error):
        """Fail a task for good, and its job with it.

        Args:
          known: An OwnedJob.
          index: An integer, the task's place.
          outcome: A TaskOutcome.
          error: A string.
        """
        if known.is_over or known.tasks[index].answer is not None:
            return
        known.tasks[index].answer = job.TaskAnswer(outcome, b"", error)
        self.spawn(self.fail(known, f"task {index}: {error}", 0))

    def move(self, known, generation):
        """Give up a job that a later generation owns.

        Args:
          known: An OwnedJob.
          generation: An integer.
        """
        if known.answer is not None or known.moved_to is not None:
            return
        known.moved_to = generation
        self._journal.record(audit.Kind.MOVED, known.key, generation=generation)
        self._release_all(known)
        self._finish(known)

    def pump(self):
        """Place waiting tasks while workers have room."""
        self._scheduler.pump()

    def on_configuration(self):
        """Apply the rules, quotas and drains of a new configuration."""
        self._scheduler.configure(self._agent.permits.document)

    def _send(self, candidate, body):
        """Send a one-way message to the executor of a worker."""
        if self.is_local(candidate):
            self._executor.on_message(self._local, body)
        else:
            candidate.link.send(body)

    def _on_finished(self, link, finished):
        known = self._note(link, finished)
        if known is not None:
            candidate = self._workers[link.remote.incarnation]
            if not known.is_over:
                self._scheduler.finished(candidate, known, finished)
            self.handle_result(known, finished.index, finished.verdict, finished.body)
        self.pump()

    def _on_rejected(self, link, rejected):
        known = self._note(link, rejected)
        candidate = self._workers.get(link.remote.incarnation)
        active = known is not None and not known.is_over
        if candidate is not None:
            service = known.tasks[rejected.index].task.service if active else None
            self._scheduler.rejected(candidate, service, rejected)
        if not active:
            return
        if rejected.reason == contract.Reject.FENCED:
            self.move(known, known.generation + 1)
            return
        task = known.tasks[rejected.index]
        task.rejects += 1
        if task.rejects > _MAX_REJECTS:
            reason = f"task {rejected.index}: rejected too often: {rejected.reason}"
            self.spawn(self.fail(known, reason, _RETRY_AFTER_MS))
        elif task.answer is None and not task.attempts:
            self._scheduler.add(known, (rejected.index,), first=True)

    def _find(self, asked):
        """Find a job for its tenant, or for an operator; None hides it."""
        known = self._jobs.get(asked.key)
        if known is None or asked.tenant in ("", known.submission.tenant):
            return known
        return None

    def _note(self, link, ended):
        """Strike an ended attempt; return its job when it was out."""
        known = self._jobs.get(ended.key)
        was_out = known is not None and self.remove_attempt(
            known, ended.index, ended.attempt
        )
        candidate = self._workers.get(link.remote.incarnation)
        if candidate is not None:
            candidate.note_load(ended.load)
        return known if was_out else None

    def _refusal(self, held, submit):
        """Tell why a submission can't be taken here; None when it can."""
        if held.issued_ms < self._window.floor_ms:
            return refusal.window_passed()
        owners = held.owners
        mine = self._agent.identity.incarnation
        if submit.generation >= len(owners) or owners[submit.generation] != mine:
            return refusal.not_the_owner()
        if self.leaving:
            return refusal.shutting_down()
        if not self._window.make_room(self._limits.max_jobs):
            return refusal.too_many_jobs()
        return None

    def _decline(self, held, submit):
        """Tell why a new job is not taken; a successor takes what a home took."""
        if submit.generation > 0:
            return None
        workers = self._workers_of(held, submit)
        return self._scheduler.refusal(submit.submission, workers, len(held.group))

    def _workers_of(self, held, submit):
        by_incarnation = self._members(held, submit.members)
        return tuple(
            self.worker_for(by_incarnation[name])
            for name in held.group
            if name in by_incarnation
        )

    def _accept(self, held, submit):
        now_ms = self._clock.now_ms()
        known = owned_job.OwnedJob(submit.submission, held, submit.generation, now_ms)
        self._jobs[held.key] = known
        self.accepted[submit.submission.tenant] += 1
        self._journal.record(
            audit.Kind.ACCEPTED,
            held.key,
            generation=submit.generation,
            tenant=submit.submission.tenant,
            tasks=len(known.tasks),
            candidates=_sources(submit.members),
            group=len(held.group),
            repeatable=audit.pack_indexes(_repeatable(known)),
        )
        by_incarnation = self._members(held, submit.members)
        known.workers = self._workers_of(held, submit)
        self._scheduler.prepare(known)
        loop = asyncio.get_running_loop()
        delay = clock.seconds(submit.submission.deadline_ms)
        known.deadline_handle = loop.call_later(delay, self._on_deadline, known)
        if submit.generation > 0:
            _log.warning("takeover", job=held.key, generation=submit.generation)
            # Until the executors have been asked an earlier owner may have started
            # any of the tasks.
            for task in known.tasks:
                task.evidence = job.TaskOutcome.MAY_HAVE_RUN
            self.spawn(takeover.take_over(self, known, by_incarnation))
        else:
            self.enqueue_tasks(known, range(len(known.tasks)))
        return known

    def _members(self, held, told):
        """Join the members that an entry names with those known here.

        Returns:
          A dict from the incarnations of the ticket's group to Members.
        """
        known = {
            name: self._workers[name].member
            for name in held.group
            if name in self._workers
        }
        return known | {member.incarnation: member for member in told}

    def _on_deadline(self, known):
        if not known.is_over:
            reason = "the deadline passed"
            self.spawn(self.fail(known, reason, _RETRY_AFTER_MS))

    async def _wait(self, known, wait_ms):
        if known.answer is None and known.moved_to is None and wait_ms > 0:
            waiter = asyncio.get_running_loop().create_future()
            known.add_waiter(waiter)
            await asyncio.wait((waiter,), timeout=clock.seconds(wait_ms))
        if known.answer is not None:
            return known.answer
        if known.moved_to is not None:
            return routing.Moved(known.key, known.moved_to)
        return job.running(known.key)

    def _complete(self, known):
        answers = tuple(task.answer for task in known.tasks)
        self._answer(known, job.Answer(known.key, job.State.COMPLETE, "", 0, answers))

    async def fail(self, known, reason, retry_after_ms):
        """End a job as failed, after closing it where its tasks may be.

        Args:
          known: An OwnedJob.
          reason: A string, for the client.
          retry_after_ms: An integer, when to come back; 0 means do not.
        """
        if known.is_over:
            return
        known.ending = True
        self._scheduler.discard(known)
        answers = await takeover.close_job(self, known)
        known.ending = False
        if known.moved_to is not None:
            return
        answer = job.Answer(
            known.key, job.State.FAILED, reason, retry_after_ms, answers
        )
        self._answer(known, answer)

    def _answer(self, known, answer):
        known.answer = answer
        self.answered[answer.state] += 1
        if answer.state == job.State.FAILED:
            tenant = known.submission.tenant
            _log.info("job failed", job=known.key, tenant=tenant, reason=answer.reason)
        self._journal.record(
            audit.Kind.ANSWERED,
            known.key,
            state=str(answer.state),
            reason=answer.reason,
            **audit.pack_ends(_ends(known, answer)),
        )
        self._release_all(known)
        self._finish(known)
        self._window.hold(known, self._limits.held_result_bytes)

    def _finish(self, known):
        self._scheduler.discard(known)
        known.shrink()
        known.wake()

    def _release_all(self, known):
        for index, task in enumerate(known.tasks):
            for attempt in list(task.attempts):
                self.remove_attempt(known, index, attempt)

    def _retire_workers(self):
        """Let go of the workers that no ticket of the window can name."""
        oldest_ms = self._clock.now_ms() - 2 * self._limits.window_ms
        unused = {
            each for each in self._workers.values() if each.last_used_ms < oldest_ms
        }
        for known in self._jobs.values() if unused else ():
            unused.difference_update(known.workers)
        for each in unused:
            del self._workers[each.member.incarnation]
            each.retire()


def _sources(members):
    """Name members as their own records do."""
    return ",".join(f"{each.name}/{each.incarnation}" for each in members)


def _ends(known, answer):
    """Describe for the record how each task ended, and where."""
    for index, ended in enumerate(answer.tasks):
        where = known.tasks[index].holder
        source = f"{where.name}/{where.incarnation}" if where else ""
        attempt = known.last_attempt(index)
        yield audit.TaskEnd(str(ended.outcome), source, attempt)


def _repeatable(known):
    """List the places of the tasks that may be repeated."""
    for index, owned_task in enumerate(known.tasks):
        if owned_task.task.repeatable:
            yield index
