"""The dispatcher: owns the jobs of one entry and places their tasks.

A task is sent to one worker at a time. It is sent again only when its previous attempt
never started, has ended, or cannot run any more (`fleet.Fleet.gone`), so that no task
runs twice at the same time. A job is answered as refused only while none of its tasks
can have started; after that it ends as completed, failed or unfinished.
"""

import asyncio

from jujubeglade.core import clock, log, metrics
from jujubeglade.direct import (
    acceptance,
    callers,
    contract,
    fleet,
    heartbeats,
    owned_job,
    rack_demand,
    scheduler,
    spreading,
    suspicion,
)
from jujubeglade.direct import (
    job as job_,
)
from jujubeglade.direct import (
    options as options_,
)

#: A job is answered this long before its client timeout expires.
_ANSWER_MARGIN_MS = 15
_RETRY_AFTER_MS = 500.0
#: An attempt whose agent was lost within this time had just started.
_JUST_STARTED_MS = 300
_CALLER_LEFT = "client left"
#: The job class that labels the latency metric.
_CLASS = "direct"

_log = log.get(__name__)


class Dispatcher:
    """The jobs and the workers of one entry."""

    __slots__ = (
        "_acceptance",
        "_cluster_state",
        "_clock",
        "_departures",
        "_fleet",
        "_jobs",
        "_stopping_tasks",
        "_metrics",
        "_rack_demand",
        "_scheduler",
        "_suspicions",
        "_heartbeats",
    )

    def __init__(  # noqa: PLR0913
        self,
        clock,
        zone,
        lease_ms,
        cluster_state,
        metrics,
        options=options_.NO_OPTIONS,
        name="",
        departures=callers.NO_DEPARTURES,
    ):
        """Start with no job and no worker.

        Args:
          clock: A Clock.
          zone: A string, the availability zone of the entry.
          lease_ms: An integer, the longest lease of a worker.
          cluster_state: A ClusterState.
          metrics: A Metrics.
          options: An Options.
          name: A string, the name of the entry.
          departures: A Departures, of the callers.
        """
        self._clock = clock
        self._cluster_state = cluster_state
        self._departures = departures
        self._metrics = metrics
        self._fleet = fleet.new_fleet(lease_ms, clock.now_ms())
        self._rack_demand = rack_demand.RackDemand(
            self._fleet, cluster_state, metrics, options
        )
        self._scheduler = scheduler.Scheduler(
            clock,
            self._fleet,
            zone,
            cluster_state,
            self,
            self._rack_demand,
            lambda: spreading.spread_as(name, options, cluster_state),
        )
        self._heartbeats = heartbeats.Heartbeats(
            clock, self._fleet, cluster_state, self._scheduler, options, metrics
        )
        self._jobs = {}
        self._suspicions = suspicion.new_suspicions()
        # Tasks of answered jobs whose attempts have not ended yet, by TaskName.
        self._stopping_tasks = {}
        self._acceptance = acceptance.Acceptance(
            self._fleet,
            self._scheduler.queue,
            cluster_state,
            self._suspicions,
            metrics,
            options,
            self._rack_demand,
        )

    @property
    def fleet(self):
        """Return the Fleet."""
        return self._fleet

    @property
    def heartbeats(self):
        """Return the Heartbeats."""
        return self._heartbeats

    @property
    def in_progress(self):
        """Return the number of jobs that have not been answered."""
        return len(self._jobs)

    def owns(self, job_id):
        """Return whether a job is in progress.

        Args:
          job_id: A string.
        """
        return job_id in self._jobs

    def count_unstarted(self, route):
        """Count the jobs of a route of which no task can have started.

        Args:
          route: A Route.
        """
        return sum(
            job.route.name == route.name and not job.may_have_started
            for job in self._jobs.values()
        )

    async def submit(self, submission, route, caller=callers.STAYING):
        """Run a job and wait for its outcome.

        A repeated submission of a job in progress waits for the same outcome. The job
        is stopped once all its callers have left, or have been cancelled because their
        clients have disconnected.

        Args:
          submission: A Submission.
          route: Its Route.
          caller: A Caller.

        Returns:
          An Outcome.
        """
        self.drop_departed()
        if caller.has_departed:
            return self._refuse_departed(submission)
        job = self._jobs.get(submission.job_id)
        if job is None:
            self._scheduler.run_if_scheduled()
            job = owned_job.OwnedJob(submission, route, self._clock.now_ms())
            self._suspicions.mark(job)
            self._rack_demand.note(job, job.accepted_ms)
            decision = self._acceptance.decide(job)
            for other, retry_after_ms in decision.displaced:
                self._refuse(other, "displaced by more urgent jobs", retry_after_ms)
            outcome = decision.outcome
            if outcome is not None:
                self._log_answer(job, outcome.state, outcome.reason, **decision.inputs)
                return outcome
            self._accept(job)
        job.callers.append(caller)
        try:
            return await asyncio.shield(job.answer)
        finally:
            job.callers.remove(caller)
            if not job.is_awaited and not job.answer.done():
                self._answer(job, job_.State.UNFINISHED, _CALLER_LEFT)

    def drop_departed(self):
        """Answer the jobs whose callers have all left by now, and stop their tasks.

        After this, the newest Room of each agent proves that the callers of all jobs
        waited when it was sent.
        """
        if not self._departures.collect():
            return
        for job in list(self._jobs.values()):
            if not job.is_awaited:
                self._answer(job, job_.State.UNFINISHED, _CALLER_LEFT)

    def _refuse_departed(self, submission):
        """Return the Outcome of a request whose client left before it was handled."""
        job_id = submission.job_id
        _log.info("request refused", job=job_id, reason=_CALLER_LEFT)
        self._metrics.count(metrics.Counter.REFUSED, "caller_left")
        # An earlier request may have started the job.
        is_running = job_id in self._jobs
        state = job_.State.UNFINISHED if is_running else job_.State.REFUSED
        return job_.Outcome(state, _CALLER_LEFT)

    def cancel(self, job_id):
        """Stop a job.

        Args:
          job_id: A string.

        Returns:
          A boolean, whether the job was in progress.
        """
        job = self._jobs.get(job_id)
        if job is None:
            return False
        self._answer(job, job_.State.FAILED, "cancelled")
        return True

    def abandon_all(self, reason):
        """Answer every job without waiting for its tasks, and stop them.

        Args:
          reason: A string that the clients receive.
        """
        for job in list(self._jobs.values()):
            state = (
                job_.State.UNFINISHED if job.may_have_started else job_.State.REFUSED
            )
            self._answer(job, state, reason)

    def on_link(self, link):
        """Register the link of an agent.

        Args:
          link: A Link.
        """
        worker = self._fleet.join(link, self._clock.now_ms())
        _log.info(
            "worker reached",
            worker=link.remote.name,
            incarnation=link.remote.incarnation,
            holding=len(worker.assigned_tasks),
        )
        self._heartbeats.send_to(worker)

    def on_link_lost(self, link):
        """Mark the worker as lost when the link of its agent has closed.

        Args:
          link: A Link.
        """
        worker = self._fleet.find(link.remote.incarnation)
        if worker is None or worker.link is not link:
            return
        worker.lost_ms = self._clock.now_ms()
        _log.warning(
            "worker lost", worker=link.remote.name, holding=len(worker.assigned_tasks)
        )

    def on_message(self, link, body):
        """Handle a message of an agent.

        Args:
          link: A Link.
          body: A message of `contract`.
        """
        worker = self._fleet.find(link.remote.incarnation)
        if worker is None or worker.link is not link:
            return
        if isinstance(body, contract.Room):
            self._handle_room(worker, body)
        elif isinstance(body, contract.Refused):
            self._handle_refused(worker, body)
        elif isinstance(body, contract.Ended):
            self._handle_ended(worker, body)
        elif isinstance(body, contract.Roster):
            self._handle_roster(worker, body)
        elif isinstance(body, contract.Crashes):
            self._handle_crashes(body)
        else:
            self._cluster_state.offer(body, link.remote.name)

    def on_round(self):
        """Announce the time by which room is needed, if it has changed."""
        self._heartbeats.on_round()

    def tick(self):
        """Remove workers that are gone, and offer waiting tasks to all workers."""
        self.drop_departed()
        now_ms = self._clock.now_ms()
        for worker in self._fleet:
            worker.tick()
        for worker in self._fleet.gone(now_ms):
            _log.warning(
                "worker gone",
                worker=worker.identity.name,
                incarnation=worker.identity.incarnation,
                holding=len(worker.assigned_tasks),
                lost_for_ms=int(now_ms - worker.lost_ms),
            )
            for task in list(worker.assigned_tasks.values()):
                self._release(worker, task)
                if worker.lost_ms - task.sent_ms < _JUST_STARTED_MS:
                    task.unproven_crashes += 1
                self._retry(task, contract.End.LOST)
            self._fleet.remove(worker)
        self._scheduler.refresh_all()

    def _accept(self, job):
        self._jobs[job.submission.job_id] = job
        left_ms = job.submission.timeout_ms - _ANSWER_MARGIN_MS
        loop = asyncio.get_running_loop()
        job.timer = loop.call_later(
            clock.seconds(max(0, left_ms)), self._on_client_timeout, job
        )
        self._metrics.count(metrics.Counter.ACCEPTED, job.route.name)
        _log.info(
            "job taken",
            job=job.submission.job_id,
            route=job.route.name,
            tasks=sum(job.tasks_left),
            objective_ms=int(job.due_ms - job.accepted_ms),
            patience_ms=int(job.submission.timeout_ms),
            waiting=len(self._scheduler.queue),
        )
        self._scheduler.add(job)

    def _on_client_timeout(self, job):
        """Answer a job just before its client timeout expires."""
        state = job_.State.UNFINISHED if job.may_have_started else job_.State.REFUSED
        self._answer(job, state, "not done in time")

    def _refuse(self, job, reason, retry_after_ms):
        """Refuse a waiting job of which no attempt was sent."""
        self._answer(job, job_.State.REFUSED, reason, retry_after_ms)

    def _answer(self, job, state, reason="", retry_after_ms=_RETRY_AFTER_MS):
        """Answer a job, and stop its tasks that may still run."""
        job.timer.cancel()
        self._jobs.pop(job.submission.job_id, None)
        self._scheduler.queue.remove(job)
        for task in job.sent_tasks():
            self._stopping_tasks[task.name] = task
            task.worker.halt(task.name, task.run)
        self._log_answer(job, state, reason)
        if not job.answer.done():
            if state is not job_.State.REFUSED:
                retry_after_ms = 0
            job.answer.set_result(job_.Outcome(state, reason, retry_after_ms))

    def _log_answer(self, job, state, reason, **inputs):
        now_ms = self._clock.now_ms()
        latency_ms = now_ms - job.accepted_ms
        submission = job.submission
        _log.info(
            "job answered",
            job=submission.job_id,
            route=job.route.name,
            version=self._cluster_state.configuration.version,
            state=state,
            reason=reason,
            latency_ms=int(latency_ms),
            late_ms=int(now_ms - job.due_ms),
            left=sum(job.tasks_left),
            waiting=len(self._scheduler.queue),
            **inputs,
        )
        self._metrics.count(metrics.Counter.ANSWERED, str(state))
        self._metrics.observe_latency(job.route.name, _CLASS, latency_ms)

    def _handle_room(self, worker, room):
        self._fleet.update_room(worker, room, self._clock.now_ms())
        worker.views.send_newer(self._cluster_state, worker.link)
        self._scheduler.refresh(worker)
        self._heartbeats.on_room(worker)

    def _handle_refused(self, worker, refused):
        task = self._release_current(worker, refused.task, refused.run)
        if task is None:
            return
        _log.info(
            "attempt not started",
            task=refused.task,
            run=refused.run,
            worker=worker.identity.name,
            reason=refused.reason,
        )
        self._metrics.count(metrics.Counter.REJECTED, refused.reason)
        if refused.reason == contract.Refusal.WORKER_REFUSED:
            worker.health.note_failed(self._clock.now_ms())
        if refused.reason == contract.Refusal.OUTDATED_RUN:
            task.run += 1
        if refused.reason == contract.Refusal.LOST:
            task.job.was_disturbed = True
        self._requeue(task)

    def _handle_ended(self, worker, ended):
        task = self._release_current(worker, ended.task, ended.run)
        if task is None:
            return
        if ended.keeps_room:
            worker.note_ended(task.step.needs)
            self._scheduler.refresh(worker)
        if ended.how == contract.End.DONE:
            now_ms = self._clock.now_ms()
            worker.health.note_done(ended.ran_ms, task.expected_ms, now_ms)
            self._finish(task)
            return
        if ended.how == contract.End.FAILED:
            worker.health.note_failed(self._clock.now_ms())
            task.failures += 1
            task.failed_on.add(worker.identity.incarnation)
        if ended.is_suspect:
            if ended.how == contract.End.LAPSED:
                # The worker has crashed, or was only silent.
                task.await_verdict(worker, self._clock.now_ms())
            task.unproven_crashes += 1
            task.is_suspect = True
        self._retry(task, ended.how)

    def _handle_crashes(self, body):
        """Give up the jobs of tasks under which too many workers have crashed."""
        for crash in body.crashes:
            if not self._suspicions.note(crash):
                continue
            for job_id in {task.job_id for task in crash.tasks}:
                job = self._jobs.get(job_id)
                if job is not None:
                    self._suspicions.mark(job)
                    self._give_up_if_hopeless(job)

    def _give_up_if_hopeless(self, job):
        """Answer a job as failed if one of its tasks is given up; return whether."""
        task = self._suspicions.hopeless_task(job)
        if task is None:
            return False
        self._answer(job, job_.State.FAILED, suspicion.crash_reason(task))
        return True

    def _handle_roster(self, worker, roster):
        """Process what happened to attempts while the link was down."""
        listed = set(roster.attempts)
        for ended in roster.ended:
            # The end of an earlier submission's attempt may have the same task and run.
            if (ended.task, ended.run) not in listed:
                self._handle_ended(worker, ended)
        assigned = {(task.name, task.run) for task in worker.assigned_tasks.values()}
        unwanted = listed - worker.awaited_attempts
        _log.info(
            "roster received",
            worker=worker.identity.name,
            listed=len(listed),
            ended=len(roster.ended),
            unwanted=_texts(unwanted),
            missing=_texts(assigned - listed),
        )
        for task in list(worker.assigned_tasks.values()):
            if (task.name, task.run) not in listed:
                self._release(worker, task)
                self._requeue(task)
        self._halt_all(worker, unwanted)

    def _halt_all(self, worker, attempts):
        """Stop attempts that an agent lists and that no job waits for.

        A Halt may have been lost with the previous link, and the task of a worker that
        counted as gone may have been sent elsewhere.
        """
        for name, run in sorted(attempts, key=str):
            worker.halt(name, run)

    def _release_current(self, worker, name, run):
        """Release an attempt and return its task; None if it is not the current one."""
        task = worker.assigned_tasks.get(name)
        if task is None or task.run != run:
            return None
        self._release(worker, task)
        return task

    def _release(self, worker, task):
        del worker.assigned_tasks[task.name]
        if self._stopping_tasks.get(task.name) is task:
            del self._stopping_tasks[task.name]
        task.worker = None
        task.phase = owned_job.Phase.WAITING

    def _finish(self, task):
        job = task.job
        job.finish(task)
        if job.answer.done():
            return
        if job.is_done:
            self._acceptance.note_answered(job, self._clock.now_ms())
            self._answer(job, job_.State.COMPLETED)
        elif job.ready:
            self._scheduler.add(job)

    def _retry(self, task, how):
        """Queue a task again whose attempt has ended without success."""
        job = task.job
        if job.answer.done():
            return
        job.was_disturbed = True
        if how in contract.LOSSES:
            task.losses += 1
            if self._give_up_if_hopeless(job):
                return
            if task.is_lost_too_often:
                reason = f"task {task.name} was lost with each worker that started it"
                self._answer(job, job_.State.UNFINISHED, reason)
                return
        if task.failures >= job.route.max_attempts:
            self._answer(job, job_.State.FAILED, f"task {task.name} failed")
            return
        task.run += 1
        self._metrics.count(metrics.Counter.RETRIED)
        _log.info(
            "attempt repeated",
            task=task.name,
            run=task.run,
            after=how,
            failures=task.failures,
            losses=task.losses,
        )
        self._requeue(task)

    def _requeue(self, task):
        job = task.job
        if job.answer.done():
            return
        job.ready.insert(0, task)
        self._scheduler.add(job)

    def may_send(self, task):
        """Return whether a task may be sent to a worker now.

        A suspect whose worker went away may have crashed it again. When a client
        submits an answered job again, the attempts of the earlier submission must end
        first.

        Args:
          task: An OwnedTask.
        """
        now_ms = self._clock.now_ms()
        if task.awaits_verdict(now_ms):
            return False
        if not self._acceptance.helps_caller(task.job, now_ms):
            return False
        previous = self._stopping_tasks.get(task.name)
        if previous is None:
            return True
        task.run = max(task.run, previous.run + 1)
        return False

    def refuse_late(self, job):
        """Refuse a waiting job that can no longer be answered in time.

        Args:
          job: An OwnedJob of which no task can have started.
        """
        retry_after_ms = self._acceptance.note_late_refusal(job, self._clock.now_ms())
        self._refuse(job, "late before it could start", retry_after_ms)

    def send(self, task, worker, now_ms, candidates):
        """Send a task to a worker.

        Args:
          task: An OwnedTask.
          worker: A Worker.
          now_ms: A number, the monotonic clock.
          candidates: An integer, the number of workers that could have run it.
        """
        job = task.job
        task.worker = worker
        task.phase = owned_job.Phase.SENT
        task.sent_ms = now_ms
        # The labels of the worker are unknown after a new link until it reports.
        task.expected_ms = self._rack_demand.expected_ms(task, worker)
        job.may_have_started = True
        worker.assigned_tasks[task.name] = task
        left_ms = job.deadline_ms - now_ms
        worker.begin(task, left_ms)
        self._metrics.count(metrics.Counter.STARTED)
        self._rack_demand.count_sent(task, worker)
        _log.info(
            "attempt sent",
            task=task.name,
            run=task.run,
            worker=worker.identity.name,
            free_cpu=worker.free.cpu,
            room_age_ms=int(now_ms - worker.room_received_ms),
            pace=round(worker.health.slowdown(now_ms), 2),
            candidates=candidates,
            outside_rack=self._rack_demand.is_outside(task, worker),
        )


def _texts(attempts):
    """Write pairs of a TaskName and a run as one text for the log."""
    return " ".join(sorted(f"{name}/{run}" for name, run in attempts))
