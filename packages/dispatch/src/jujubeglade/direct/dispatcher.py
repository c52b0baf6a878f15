"""The dispatcher: owns the jobs of one entry and places their tasks.

A task is sent to one worker at a time. It is sent again only when its former attempt
never started, has ended, or can't run any more (`fleet.Fleet.gone`), so that no task
runs twice at one time. A refusal says that nothing has started; once a worker may have
started something the answer is another one.
"""

import asyncio
import math

from jujubeglade.core import clock, log, message, metrics
from jujubeglade.direct import (
    contract,
    fleet,
    job,
    outlooks,
    owned,
    policy,
    pump,
)

#: The answer leaves this long before the client stops waiting.
_ANSWER_MARGIN_MS = 15
_RETRY_AFTER_MS = 500.0
#: Agents hear of changes of the need for room at most this often.
_NEWS_PACE_MS = 10
#: The class of jobs under which their latencies are shown.
_CLASS = "direct"

_log = log.get(__name__)


class Dispatcher:
    """The jobs and the fleet of one entry."""

    __slots__ = (
        "_admit",
        "_cluster_state",
        "_clock",
        "_fleet",
        "_jobs",
        "_key",
        "_leftovers",
        "_metrics",
        "_pump",
        "_said_by_ms",
        "_said_ms",
    )

    def __init__(self, wall, zone, hold_ms, cluster_state, held_metrics):
        """Start with no job and no worker.

        Args:
          wall: A Clock.
          zone: A string, the availability zone of the entry.
          hold_ms: An integer, the longest hold of a worker.
          cluster_state: A ClusterState.
          held_metrics: A Metrics.
        """
        self._clock = wall
        self._cluster_state = cluster_state
        self._metrics = held_metrics
        self._fleet = fleet.new_fleet(hold_ms, wall.now_ms())
        self._pump = pump.Pump(wall, self._fleet, zone, cluster_state, self)
        self._jobs = {}
        # What is still to end of jobs that were answered: runs by TaskName.
        self._leftovers = {}
        # What the agents were told last of when room is needed, and when.
        self._said_by_ms = math.inf
        self._said_ms = 0.0
        self._admit = policy.find("admission", "in_time")
        self._key = policy.find("queueing", "latest_start")

    @property
    def fleet(self):
        """Return the Fleet."""
        return self._fleet

    @property
    def in_progress(self):
        """Count the jobs that wait for their answer."""
        return len(self._jobs)

    def pending(self, route):
        """Count the jobs of a route of which nothing has started.

        Args:
          route: A Route.
        """
        return sum(
            held.route.name == route.name and not held.is_touched
            for held in self._jobs.values()
        )

    async def submit(self, submission, route):
        """Run a job and wait for its outcome.

        When the caller is cancelled, as its client has left, the job is stopped.

        Args:
          submission: A Submission.
          route: Its Route.

        Returns:
          An Outcome.
        """
        held = self._jobs.get(submission.job_id)
        if held is None:
            self._pump.catch_up()
            held = owned.OwnedJob(submission, route, self._clock.now_ms())
            refused = self._refusal(held)
            if refused is not None:
                return refused
            self._take(held)
        held.watchers += 1
        try:
            return await asyncio.shield(held.answer)
        finally:
            held.watchers -= 1
            if not held.watchers and not held.answer.done():
                self._answer(held, job.State.UNFINISHED, "client left")

    def cancel(self, job_id):
        """Stop a job.

        Args:
          job_id: A string.

        Returns:
          A boolean, whether it was there.
        """
        held = self._jobs.get(job_id)
        if held is None:
            return False
        self._answer(held, job.State.FAILED, "cancelled")
        return True

    def abandon_all(self, reason):
        """Answer every job, as its attempts have been stopped.

        Args:
          reason: A string.
        """
        for held in list(self._jobs.values()):
            state = job.State.UNFINISHED if held.is_touched else job.State.REFUSED
            self._answer(held, state, reason)

    def on_link(self, opened):
        """Take the link of an agent.

        Args:
          opened: A Link.
        """
        known = self._fleet.join(opened, self._clock.now_ms())
        _log.info(
            "worker reached",
            worker=opened.remote.name,
            incarnation=opened.remote.incarnation,
            holding=len(known.holding),
        )
        opened.send(self._beat())

    def on_link_lost(self, opened):
        """Note that the link of an agent has closed.

        Args:
          opened: A Link.
        """
        known = self._fleet.find(opened.remote.incarnation)
        if known is None or known.link is not opened:
            return
        known.lost_ms = self._clock.now_ms()
        _log.warning(
            "worker lost", worker=opened.remote.name, holding=len(known.holding)
        )

    def on_message(self, opened, body):
        """Take a message of an agent.

        Args:
          opened: A Link.
          body: A message of `contract`.
        """
        known = self._fleet.find(opened.remote.incarnation)
        if known is None or known.link is not opened:
            return
        if isinstance(body, contract.Room):
            self._handle_room(known, body)
        elif isinstance(body, contract.Refused):
            self._handle_refused(known, body)
        elif isinstance(body, contract.Ended):
            self._handle_ended(known, body)
        elif isinstance(body, contract.Roster):
            self._handle_roster(known, body)
        else:
            self._cluster_state.offer(body, opened.remote.name)

    def send_heartbeats(self):
        """Tell all agents that this entry lives, and whether tasks wait for room."""
        said = self._beat()
        self._said_ms = self._clock.now_ms()
        self._said_by_ms = self._said_ms + said.slack_ms
        encoded = message.encode(said)
        for known in self._fleet:
            known.link.send(said, encoded)

    def on_round(self):
        """Tell agents by when room is needed, if that has changed."""
        now_ms = self._clock.now_ms()
        room_needed_by_ms = self._pump.room_needed_by_ms()
        if room_needed_by_ms == self._said_by_ms:
            return
        if now_ms - self._said_ms >= _NEWS_PACE_MS:
            self.send_heartbeats()

    def _beat(self):
        return contract.Beat(
            self._cluster_state.operators.revision,
            self._cluster_state.members.revision,
            self._pump.room_needed_by_ms() - self._clock.now_ms(),
        )

    def tick(self):
        """Let go of workers that are gone, and place what waits."""
        now_ms = self._clock.now_ms()
        for known in self._fleet.gone(now_ms):
            for task in list(known.holding.values()):
                self._release(known, task)
                self._try_again(task, contract.End.LOST)
            self._fleet.forget(known)
        self._pump.refresh_all()

    def _refusal(self, held):
        """Decide whether to take a job; None when it is taken."""
        submission = held.submission
        for step in submission.steps:
            if not self._fleet.could_ever_run(held.route.service, step.needs):
                self._log_answer(held, job.State.FAILED, "larger than any worker")
                return job.Outcome(job.State.FAILED, "larger than any worker")
        held.key = self._key(held.arrival())
        entries = len(self._cluster_state.members.addresses)
        outlook = outlooks.look(self._fleet, self._pump.queue, held, entries)
        retry_after_ms = self._admit(outlook)
        if not retry_after_ms or self._fleet.is_gathering(held.taken_ms):
            return None
        serving_cpu = sum(load.cpu for load in outlook.running)
        self._log_answer(
            held,
            job.State.REFUSED,
            "no room in time",
            end_ms=int(outlook.end_ms()),
            objective_ms=int(outlook.objective_ms),
            ahead=len(outlook.ahead),
            free_cpu=outlook.free_cpu,
            serving_cpu=serving_cpu,
        )
        self._metrics.count(metrics.Counter.REFUSED, "overloaded")
        return job.Outcome(job.State.REFUSED, "no room in time", retry_after_ms)

    def _take(self, held):
        self._jobs[held.submission.job_id] = held
        left_ms = held.submission.timeout_ms - _ANSWER_MARGIN_MS
        loop = asyncio.get_running_loop()
        held.timer = loop.call_later(
            clock.seconds(max(0, left_ms)), self._give_up, held
        )
        self._metrics.count(metrics.Counter.ACCEPTED, held.route.name)
        _log.info(
            "job taken",
            job=held.submission.job_id,
            route=held.route.name,
            tasks=sum(held.left),
            objective_ms=int(held.due_ms - held.taken_ms),
            patience_ms=int(held.submission.timeout_ms),
            waiting=len(self._pump.queue),
        )
        self._pump.add(held)

    def _give_up(self, held):
        """Answer a job whose client stops waiting."""
        state = job.State.UNFINISHED if held.is_touched else job.State.REFUSED
        self._answer(held, state, "not done in time")

    def _answer(self, held, state, reason=""):
        """Answer a job, and stop what may still run of it."""
        held.timer.cancel()
        self._jobs.pop(held.submission.job_id, None)
        self._pump.queue.remove(held)
        for task in held.sent():
            self._leftovers[task.name] = task
            task.worker.halt(task.name, task.run)
        self._log_answer(held, state, reason)
        if not held.answer.done():
            retry_after_ms = _RETRY_AFTER_MS if state is job.State.REFUSED else 0
            held.answer.set_result(job.Outcome(state, reason, retry_after_ms))

    def _log_answer(self, held, state, reason, **inputs):
        now_ms = self._clock.now_ms()
        latency_ms = now_ms - held.taken_ms
        submission = held.submission
        configuration = self._cluster_state.operators.configuration
        _log.info(
            "job answered",
            job=submission.job_id,
            route=held.route.name,
            version=configuration.version if configuration else 0,
            state=state,
            reason=reason,
            latency_ms=int(latency_ms),
            late_ms=int(now_ms - held.due_ms),
            left=sum(held.left),
            waiting=len(self._pump.queue),
            **inputs,
        )
        self._metrics.count(metrics.Counter.ANSWERED, str(state))
        self._metrics.observe_latency(held.route.name, _CLASS, latency_ms)

    def _handle_room(self, known, room):
        self._fleet.note_room(known, room, self._clock.now_ms())
        for view in self._cluster_state.newer_than(*known.known):
            known.link.send(view)
        self._pump.refresh(known)

    def _handle_refused(self, known, refused):
        task = self._released(known, refused.task, refused.run)
        if task is None:
            return
        _log.info(
            "attempt not started",
            task=refused.task,
            run=refused.run,
            worker=known.identity.name,
            reason=refused.reason,
        )
        self._metrics.count(metrics.Counter.REJECTED, refused.reason)
        if refused.reason == contract.Refusal.WORKER_REFUSED:
            known.health.note_failed(self._clock.now_ms())
        if refused.reason == contract.Refusal.OUTDATED_RUN:
            task.run += 1
        self._wait_again(task)

    def _handle_ended(self, known, ended):
        task = self._released(known, ended.task, ended.run)
        if task is None:
            return
        if ended.keeps_room:
            known.note_ended(task.step.needs)
            self._pump.refresh(known)
        if ended.how == contract.End.DONE:
            now_ms = self._clock.now_ms()
            known.health.note_done(ended.ran_ms, task.step.estimate_ms, now_ms)
            self._finish(task)
            return
        if ended.how == contract.End.FAILED:
            known.health.note_failed(self._clock.now_ms())
            task.failures += 1
            task.failed_on.add(known.identity.incarnation)
        self._try_again(task, ended.how)

    def _handle_roster(self, known, roster):
        """Settle what became of attempts while the link was cut."""
        for ended in roster.ended:
            self._handle_ended(known, ended)
        held = set(roster.holding)
        for task in list(known.holding.values()):
            if (task.name, task.run) not in held:
                self._release(known, task)
                self._wait_again(task)

    def _released(self, known, name, run):
        """Let go of an attempt; None when it is not the one that is awaited."""
        task = known.holding.get(name)
        if task is None or task.run != run:
            return None
        self._release(known, task)
        return task

    def _release(self, known, task):
        del known.holding[task.name]
        if self._leftovers.get(task.name) is task:
            del self._leftovers[task.name]
        task.worker = None
        task.phase = owned.Phase.WAITING

    def _finish(self, task):
        held = task.owner
        held.finish(task)
        if held.answer.done():
            return
        if held.is_done:
            self._answer(held, job.State.COMPLETED)
        elif held.ready:
            self._pump.add(held)

    def _try_again(self, task, how):
        """Let a task whose attempt has ended wait for another one."""
        held = task.owner
        if held.answer.done():
            return
        if task.failures >= held.route.max_attempts:
            self._answer(held, job.State.FAILED, f"task {task.name} failed")
            return
        task.run += 1
        self._metrics.count(metrics.Counter.RETRIED)
        _log.info("attempt repeated", task=task.name, run=task.run, after=how)
        self._wait_again(task)

    def _wait_again(self, task):
        held = task.owner
        if held.answer.done():
            return
        held.ready.insert(0, task)
        self._pump.add(held)

    def may_send(self, task):
        """Tell whether a task may be sent to a worker now.

        A client may submit a job again; its former attempts end first.

        Args:
          task: An OwnedTask.
        """
        former = self._leftovers.get(task.name)
        if former is None:
            return True
        task.run = max(task.run, former.run + 1)
        return False

    def give_up_late(self, held):
        """Refuse a job that waits and can't be in time any more.

        Args:
          held: An OwnedJob of which nothing has started.
        """
        self._answer(held, job.State.REFUSED, "late before it could start")

    def send(self, task, chosen, now_ms, candidates):
        """Send a task to a worker.

        Args:
          task: An OwnedTask.
          chosen: A Worker.
          now_ms: A number, the monotonic clock.
          candidates: An integer, how many workers could have taken it.
        """
        held = task.owner
        task.worker = chosen
        task.phase = owned.Phase.SENT
        task.sent_ms = now_ms
        held.is_touched = True
        chosen.holding[task.name] = task
        left_ms = held.deadline_ms - now_ms
        chosen.begin(task.name, task.run, task.step, held.submission.spec, left_ms)
        self._metrics.count(metrics.Counter.STARTED)
        _log.info(
            "attempt sent",
            task=task.name,
            run=task.run,
            worker=chosen.identity.name,
            free_cpu=chosen.free.cpu,
            room_age_ms=int(now_ms - chosen.room_ms),
            pace=round(chosen.health.pace(now_ms), 2),
            candidates=candidates,
        )
