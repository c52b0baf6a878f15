"""The home: owns jobs, places their tasks and answers for them.

docs/DESIGN.md, "At most once", gives the rules by which an owner may place a task.
Placement itself is a policy. A job ends with exactly one answer, and an answer with
the outcome `not_run` is given only after the job was closed at a candidate.
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
from jujubeglade.core import clock, contract, log, problem, routing, ticket
from jujubeglade.core import job as jobs
from jujubeglade.core import journal as audit

CLAIM_TIMEOUT_MS = 1500
CLOSE_TIMEOUT_MS = 250
# A Close waits once for the link and once for its answer.
_CANCEL_TIMEOUT_MS = 3 * CLOSE_TIMEOUT_MS
_MAX_REJECTS = 50
_RETRY_AFTER_MS = 1000

_log = log.get(__name__)

_SUCCEEDED = contract.Verdict.SUCCEEDED


class LocalLink:
    """The link from this agent's executor to its own home, within the process."""

    __slots__ = ("_home", "is_open", "remote")

    def __init__(self, home, identity):
        """Create a link to the home.

        Args:
          home: A Home.
          identity: An Identity, of this agent.
        """
        self._home = home
        self.remote = identity
        self.is_open = True

    def send(self, body):
        """Deliver a message on the next turn of the event loop.

        Args:
          body: A message.
        """
        asyncio.get_running_loop().call_soon(self._home.on_message, self, body)
        return True


class Home:
    """The home role of one agent."""

    def __init__(self, agent, executor, dial=None):
        """Create a home without jobs.

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
        """Return whether every job is answered or has moved to another owner."""
        return all(job.is_over and not job.ending for job in self._jobs.values())

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
        """Return the workers, by incarnation."""
        return self._workers

    @property
    def jobs(self):
        """Return the owned jobs, by key."""
        return self._jobs

    def use_limits(self, limits):
        """Apply other limits.

        Args:
          limits: The Limits in force.
        """
        self._limits = limits

    async def submit(self, submit):
        """Accept a submission, or find its job, and answer it.

        Args:
          submit: A Submit.

        Returns:
          An Answer, a Moved, or a Problem.
        """
        parsed = ticket.parse(self._agent.cluster_key, submit.submission.ticket)
        if parsed.is_err():
            return parsed.err_value
        job_ticket = parsed.ok_value
        job = self._jobs.get(job_ticket.key)
        if job is None:
            refusal_problem = self._refusal(
                job_ticket, submit
            ) or self._new_job_refusal(job_ticket, submit)
            if refusal_problem is not None:
                self._journal.record(
                    audit.Kind.REFUSED, job_ticket.key, reason=str(refusal_problem.kind)
                )
                return refusal_problem
            job = self._accept(job_ticket, submit)
        elif job.submission.tenant != submit.submission.tenant:
            return refusal.unknown_job(job_ticket.key)
        return await self._wait(job, submit.wait_ms)

    async def query(self, query):
        """Answer a query for a job that is owned here.

        Args:
          query: A Query.

        Returns:
          An Answer, a Moved, or a Problem of kind UNKNOWN_JOB.
        """
        job = self._find(query)
        if job is None:
            return refusal.unknown_job(query.key)
        return await self._wait(job, query.wait_ms)

    async def cancel(self, cancel):
        """Cancel a job.

        Args:
          cancel: A Cancel.

        Returns:
          The job's Answer, a Moved, or a Problem of kind UNKNOWN_JOB.
        """
        job = self._find(cancel)
        if job is None:
            return refusal.unknown_job(cancel.key)
        self._journal.record(audit.Kind.CANCELLED, job.key, reason=cancel.reason)
        # A task of its own, so that the job ends also when the caller's link breaks.
        self.spawn(self.fail(job, f"cancelled: {cancel.reason}", 0))
        return await self._wait(job, _CANCEL_TIMEOUT_MS)

    async def cancel_tenant(self, cancel):
        """Cancel all running jobs of a tenant.

        Args:
          cancel: A CancelTenant.

        Returns:
          A Count of the jobs cancelled.
        """
        running_jobs = [
            job
            for job in self._jobs.values()
            if job.submission.tenant == cancel.tenant and not job.is_over
        ]
        requests = [
            routing.Cancel(job.key, cancel.tenant, cancel.reason)
            for job in running_jobs
        ]
        await asyncio.gather(*(self.cancel(request) for request in requests))
        return routing.Count(len(running_jobs))

    async def throttle(self, throttle):
        """Ask the upstreams to run a job's tasks with fewer resources.

        Args:
          throttle: A routing.Throttle.

        Returns:
          A Count of the attempts to throttle, or a Problem of kind UNKNOWN_JOB.
        """
        job = self._jobs.get(throttle.key)
        if job is None:
            return refusal.unknown_job(throttle.key)
        self._journal.record(audit.Kind.THROTTLED, job.key, reason=throttle.reason)
        running_attempts = [
            (candidate, index, attempt)
            for index, task in enumerate(job.tasks)
            for attempt, candidate in task.attempts.items()
            if candidate.link is not None or self.is_local(candidate)
        ]
        for candidate, index, attempt in running_attempts:
            request = contract.Throttle(job.key, job.generation, index, attempt)
            self._send(candidate, request)
        return routing.Count(len(running_attempts))

    async def list_jobs(self, request):
        """List the jobs owned here.

        Args:
          request: A ListJobs.

        Returns:
          A JobRows.
        """
        return listing.list_jobs(self._jobs.values(), request)

    def on_message(self, link, body):
        """Handle a one-way message of an executor.

        Args:
          link: The Link, or LocalLink, that received it.
          body: A Finished, Rejected or Fenced.
        """
        if isinstance(body, contract.Finished):
            self._on_finished(link, body)
        elif isinstance(body, contract.Rejected):
            self._on_rejected(link, body)
        elif isinstance(body, contract.Fenced):
            job = self._jobs.get(body.key)
            if job is not None and body.generation > job.generation:
                self.mark_moved(job, body.generation)

    async def on_request(self, link, body):
        """Refuse requests: executors send none to a home."""
        return problem.Problem(
            problem.Kind.FRAME,
            "an executor sent a request to a home",
            "run the same version of jujubeglade everywhere",
        )

    def on_worker_changed(self, candidate):
        """Place waiting tasks after a worker's link opened or could not be dialed."""
        if candidate.link is not None and candidate.link_was_cut:
            self._scheduler.on_worker_returned(candidate)
        self.pump()

    def on_worker_lost(self, lost_worker):
        """Resolve the attempts that a worker had when its link closed.

        Args:
          lost_worker: A Worker.
        """
        attempts_by_job = {}
        for key, index, attempt in lost_worker.outstanding:
            attempts_by_job.setdefault(key, []).append((index, attempt))
        for key, attempts in attempts_by_job.items():
            job = self._jobs.get(key)
            if job is not None and not job.is_over:
                self.spawn(
                    takeover.resolve_attempts(self, job, lost_worker, tuple(attempts))
                )
        self.pump()

    def tick(self, wall_ms):
        """Remove jobs outside the window, and workers that no remaining job uses.

        Args:
          wall_ms: An integer, the wall clock.
        """
        self._window.raise_floor(wall_ms - 2 * self._limits.window_ms)
        self._retire_workers()
        self._scheduler.tick()

    def spawn(self, coroutine):
        """Run a coroutine as an asyncio task of this home.

        Args:
          coroutine: A coroutine.
        """
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self):
        """Stop all asyncio tasks and close all links to workers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for candidate in self._workers.values():
            if candidate.link is not None:
                candidate.link.close()

    def worker_for(self, member):
        """Return the worker of a member, which is created if necessary.

        Args:
          member: A Member.

        Returns:
          A Worker.
        """
        now_ms = self._clock.now_ms()
        candidate = self._workers.get(member.incarnation)
        if candidate is None:
            candidate = worker.Worker(member, now_ms, self._dial)
            self._workers[member.incarnation] = candidate
            if member.incarnation != self._agent.identity.incarnation:
                agent = self._agent
                self.spawn(
                    candidate.maintain_link(agent.cluster_key, agent.identity, self)
                )
        candidate.member = member
        candidate.last_used_ms = now_ms
        return candidate

    def is_local(self, candidate):
        """Return whether a worker is this agent itself.

        Args:
          candidate: A Worker.
        """
        return candidate.member.incarnation == self._agent.identity.incarnation

    async def claim(self, candidate, request):
        """Send a Claim or Close to a worker and wait for the answer.

        Args:
          candidate: A Worker.
          request: A Claim or a Close.

        Returns:
          A Claimed, or None when no answer came.
        """
        closing = isinstance(request, contract.Close)
        if self.is_local(candidate):
            serve = self._executor.close if closing else self._executor.claim
            return serve(self._local, request)
        timeout_ms = CLOSE_TIMEOUT_MS if closing else CLAIM_TIMEOUT_MS
        candidate_link = await candidate.wait_for_link(timeout_ms)
        if candidate_link is None:
            return None
        reply = await candidate_link.ask(request, timeout_ms)
        return reply.ok_value if reply.is_ok() else None

    def enqueue_tasks(self, job, indexes):
        """Queue tasks of a job for placement.

        Args:
          job: An OwnedJob.
          indexes: An iterable of integers, the indexes of the tasks.
        """
        self._scheduler.add(job, indexes)

    def adopt_attempt(self, job, candidate, report):
        """Record an attempt that a worker reports as accepted and not ended.

        Args:
          job: An OwnedJob.
          candidate: A Worker.
          report: An Attempt.
        """
        task = job.tasks[report.index]
        task.attempts[report.attempt] = candidate
        task.last_member = candidate.member
        candidate.outstanding.add((job.key, report.index, report.attempt))

    def remove_attempt(self, job, index, attempt):
        """Remove an attempt that has ended.

        Args:
          job: An OwnedJob.
          index: An integer, the task's index.
          attempt: An integer.

        Returns:
          A boolean, whether the attempt was outstanding.
        """
        # The tasks of an answered job are gone when an attempt ends late.
        task = job.tasks[index] if job.tasks else None
        candidate = task.attempts.pop(attempt, None) if task else None
        if candidate is None:
            return False
        candidate.outstanding.discard((job.key, index, attempt))
        return True

    def handle_result(self, job, index, verdict, body, body_retained=True, lost=False):
        """Handle the end of an attempt that was started.

        Args:
          job: An OwnedJob.
          index: An integer, the task's index.
          verdict: A string, a Verdict.
          body: Bytes, the result or the error.
          body_retained: A boolean, false when the executor dropped the body.
          lost: A boolean, true when the worker was lost with the attempt.
        """
        if job.answer is not None or job.moved_to is not None:
            return
        task = job.tasks[index]
        if task.answer is not None:
            return
        ran = verdict != contract.Verdict.UNKNOWN
        outcome = jobs.TaskOutcome.RAN if ran else jobs.TaskOutcome.MAY_HAVE_RUN
        # Recorded also while the job is ending, because its answer depends on it.
        task.prior_outcome = outcome
        if job.ending:
            return
        if verdict == _SUCCEEDED and body_retained:
            task.answer = jobs.TaskAnswer(jobs.TaskOutcome.RAN, body, "")
            job.unfinished -= 1
            self._stop_others(job, index)
            if job.unfinished == 0:
                self._complete(job)
            return
        succeeded = verdict == _SUCCEEDED
        if not succeeded and self._scheduler.retry(job, index, lost):
            return
        text = body.decode("utf-8", "replace") or "the result is no longer stored"
        self.fail_task(job, index, outcome, text)

    def _stop_others(self, job, index):
        """Cancel the other attempts of a task that has its result."""
        for attempt, candidate in list(job.tasks[index].attempts.items()):
            if not job.is_latest(index, attempt):
                self._scheduler.on_overtaken(candidate, job.tasks[index])
            self.remove_attempt(job, index, attempt)
            if candidate.link is not None or self.is_local(candidate):
                stop = contract.Stop(job.key, job.generation, index, attempt)
                self._send(candidate, stop)

    def fail_task(self, job, index, outcome, error):
        """Fail a task and, with it, its job.

        Args:
          job: An OwnedJob.
          index: An integer, the task's index.
          outcome: A TaskOutcome.
          error: A string.
        """
        if job.is_over or job.tasks[index].answer is not None:
            return
        job.tasks[index].answer = jobs.TaskAnswer(outcome, b"", error)
        self.spawn(self.fail(job, f"task {index}: {error}", 0))

    def mark_moved(self, job, generation):
        """End the ownership of a job that a later generation owns.

        Args:
          job: An OwnedJob.
          generation: An integer, the later generation.
        """
        if job.answer is not None or job.moved_to is not None:
            return
        job.moved_to = generation
        self._journal.record(audit.Kind.MOVED, job.key, generation=generation)
        self._remove_all_attempts(job)
        self._finish(job)

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
        job = self._remove_ended(link, finished)
        if job is not None:
            candidate = self._workers[link.remote.incarnation]
            if not job.is_over:
                self._scheduler.on_finished(candidate, job, finished)
            self.handle_result(job, finished.index, finished.verdict, finished.body)
        self.pump()

    def _on_rejected(self, link, rejected):
        job = self._remove_ended(link, rejected)
        candidate = self._workers.get(link.remote.incarnation)
        active = job is not None and not job.is_over
        if candidate is not None:
            service = job.tasks[rejected.index].task.service if active else None
            self._scheduler.on_rejected(candidate, service, rejected)
        if not active:
            return
        if rejected.reason == contract.RejectReason.FENCED:
            self.mark_moved(job, job.generation + 1)
            return
        task = job.tasks[rejected.index]
        task.rejects += 1
        if task.rejects > _MAX_REJECTS:
            reason = f"task {rejected.index}: rejected too often: {rejected.reason}"
            self.spawn(self.fail(job, reason, _RETRY_AFTER_MS))
        elif task.answer is None and not task.attempts:
            self._scheduler.add(job, (rejected.index,), first=True)

    def _find(self, request):
        """Return a job; None hides it from other tenants, but not from operators."""
        job = self._jobs.get(request.key)
        if job is None or request.tenant in ("", job.submission.tenant):
            return job
        return None

    def _remove_ended(self, link, message):
        """Remove an ended attempt; return its job if the attempt was outstanding."""
        job = self._jobs.get(message.key)
        was_outstanding = job is not None and self.remove_attempt(
            job, message.index, message.attempt
        )
        candidate = self._workers.get(link.remote.incarnation)
        if candidate is not None:
            candidate.record_load(message.load)
        return job if was_outstanding else None

    def _refusal(self, job_ticket, submit):
        """Return why this agent can't own the job; None when it can."""
        if job_ticket.issued_ms < self._window.floor_ms:
            return refusal.window_passed()
        owners = job_ticket.owners
        own_incarnation = self._agent.identity.incarnation
        if (
            submit.generation >= len(owners)
            or owners[submit.generation] != own_incarnation
        ):
            return refusal.not_the_owner()
        if self.leaving:
            return refusal.shutting_down()
        if not self._window.make_room(self._limits.max_jobs):
            return refusal.too_many_jobs()
        return None

    def _new_job_refusal(self, job_ticket, submit):
        """Return why a new job is refused; a successor accepts what a home accepted."""
        if submit.generation > 0:
            return None
        workers = self._workers_of(job_ticket, submit)
        return self._scheduler.refusal(
            submit.submission, workers, len(job_ticket.group)
        )

    def _workers_of(self, job_ticket, submit):
        by_incarnation = self._members(job_ticket, submit.members)
        return tuple(
            self.worker_for(by_incarnation[incarnation])
            for incarnation in job_ticket.group
            if incarnation in by_incarnation
        )

    def _accept(self, job_ticket, submit):
        now_ms = self._clock.now_ms()
        job = owned_job.OwnedJob(
            submit.submission, job_ticket, submit.generation, now_ms
        )
        self._jobs[job_ticket.key] = job
        self.accepted[submit.submission.tenant] += 1
        self._journal.record(
            audit.Kind.ACCEPTED,
            job_ticket.key,
            generation=submit.generation,
            tenant=submit.submission.tenant,
            tasks=len(job.tasks),
            candidates=_member_names(submit.members),
            group=len(job_ticket.group),
            repeatable=audit.pack_indexes(_repeatable_indexes(job)),
        )
        by_incarnation = self._members(job_ticket, submit.members)
        job.workers = self._workers_of(job_ticket, submit)
        self._scheduler.estimate_run_times(job)
        loop = asyncio.get_running_loop()
        delay = clock.seconds(submit.submission.deadline_ms)
        job.deadline_handle = loop.call_later(delay, self._on_deadline, job)
        if submit.generation > 0:
            _log.warning("takeover", job=job_ticket.key, generation=submit.generation)
            # An earlier owner may have started any of the tasks; the executors have
            # not been asked yet.
            for task in job.tasks:
                task.prior_outcome = jobs.TaskOutcome.MAY_HAVE_RUN
            self.spawn(takeover.take_over(self, job, by_incarnation))
        else:
            self.enqueue_tasks(job, range(len(job.tasks)))
        return job

    def _members(self, job_ticket, named_members):
        """Merge the members that an entry names into those known here.

        Returns:
          A dict from the incarnations of the ticket's group to Members.
        """
        known_members = {
            incarnation: self._workers[incarnation].member
            for incarnation in job_ticket.group
            if incarnation in self._workers
        }
        return known_members | {member.incarnation: member for member in named_members}

    def _on_deadline(self, job):
        if not job.is_over:
            reason = "the deadline passed"
            self.spawn(self.fail(job, reason, _RETRY_AFTER_MS))

    async def _wait(self, job, wait_ms):
        if job.answer is None and job.moved_to is None and wait_ms > 0:
            waiter = asyncio.get_running_loop().create_future()
            job.add_waiter(waiter)
            await asyncio.wait((waiter,), timeout=clock.seconds(wait_ms))
        if job.answer is not None:
            return job.answer
        if job.moved_to is not None:
            return routing.Moved(job.key, job.moved_to)
        return jobs.running(job.key)

    def _complete(self, job):
        answers = tuple(task.answer for task in job.tasks)
        self._answer(job, jobs.Answer(job.key, jobs.State.COMPLETE, "", 0, answers))

    async def fail(self, job, reason, retry_after_ms):
        """End a job as failed, after closing it at the workers of its tasks.

        Args:
          job: An OwnedJob.
          reason: A string, for the client.
          retry_after_ms: An integer, when to submit again; 0 means never.
        """
        if job.is_over:
            return
        job.ending = True
        self._scheduler.discard(job)
        answers = await takeover.close_job(self, job)
        job.ending = False
        if job.moved_to is not None:
            return
        answer = jobs.Answer(
            job.key, jobs.State.FAILED, reason, retry_after_ms, answers
        )
        self._answer(job, answer)

    def _answer(self, job, answer):
        job.answer = answer
        self.answered[answer.state] += 1
        if answer.state == jobs.State.FAILED:
            tenant = job.submission.tenant
            _log.info("job failed", job=job.key, tenant=tenant, reason=answer.reason)
        self._journal.record(
            audit.Kind.ANSWERED,
            job.key,
            state=str(answer.state),
            reason=answer.reason,
            **audit.pack_ends(_task_ends(job, answer)),
        )
        self._remove_all_attempts(job)
        self._finish(job)
        self._window.retain_results(job, self._limits.held_result_bytes)

    def _finish(self, job):
        self._scheduler.discard(job)
        job.shrink()
        job.notify_waiters()

    def _remove_all_attempts(self, job):
        for index, task in enumerate(job.tasks):
            for attempt in list(task.attempts):
                self.remove_attempt(job, index, attempt)

    def _retire_workers(self):
        """Remove the workers that no job in the window uses."""
        oldest_ms = self._clock.now_ms() - 2 * self._limits.window_ms
        unused_workers = {
            candidate
            for candidate in self._workers.values()
            if candidate.last_used_ms < oldest_ms
        }
        for job in self._jobs.values() if unused_workers else ():
            unused_workers.difference_update(job.workers)
        for candidate in unused_workers:
            del self._workers[candidate.member.incarnation]
            candidate.retire()


def _member_names(members):
    """Name members by name and incarnation, as the audit records do."""
    return ",".join(f"{member.name}/{member.incarnation}" for member in members)


def _task_ends(job, answer):
    """Return how each task ended, and where, for the audit record."""
    for index, task_answer in enumerate(answer.tasks):
        last_member = job.tasks[index].last_member
        source = f"{last_member.name}/{last_member.incarnation}" if last_member else ""
        attempt = job.last_attempt(index)
        yield audit.TaskEnd(str(task_answer.outcome), source, attempt)


def _repeatable_indexes(job):
    """List the indexes of the tasks that may be repeated."""
    for index, owned_task in enumerate(job.tasks):
        if owned_task.task.repeatable:
            yield index
