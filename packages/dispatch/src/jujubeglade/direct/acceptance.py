"""Acceptance: whether an entry takes a new job, and which waiting jobs give way to it.

An entry that doesn't coordinate with others decides by the forecast of the new job
alone. One that does weighs the new job against those that wait (`shedding`).
"""

import collections
import dataclasses

from jujubeglade.core import log, metrics
from jujubeglade.direct import (
    admission,
    delay_cost,
    forecasts,
    lateness,
    owned_job,
    policy,
    shedding,
    subset,
    suspicion,
)
from jujubeglade.direct import job as job_

_RETRY_AFTER_MS = 500.0
_NO_SUCH_WORKER = "no such worker serves this entry"
_NO_ROOM = "no room in time"

_log = log.get(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """What an entry decides about a new job.

    Attributes:
      outcome: An Outcome; None for a job that is accepted.
      inputs: A dict, what the refusal rests on, for the log.
      displaced: A tuple of pairs of an OwnedJob that is refused for the new one, and a
        number, the time in ms after which its client may retry.
    """

    outcome: object = None
    inputs: dict = dataclasses.field(default_factory=dict)
    displaced: tuple = ()


class Acceptance:
    """Decides about the new jobs of one entry."""

    __slots__ = (
        "_admit",
        "_choose_refused",
        "_cluster_state",
        "_fleet",
        "_guard",
        "_lateness",
        "_metrics",
        "_options",
        "_queue",
        "_queue_key",
        "_queue_key_by_priority",
        "_rack_demand",
        "_room_after_ms",
        "_suspicions",
    )

    def __init__(
        self, fleet, queue, cluster_state, suspicions, metrics, options, rack_demand
    ):
        """Decide about no job yet.

        Args:
          fleet: A Fleet.
          queue: The Queue of waiting jobs.
          cluster_state: A ClusterState.
          suspicions: A Suspicions.
          metrics: A Metrics.
          options: An Options.
          rack_demand: A RackDemand.
        """
        self._fleet = fleet
        self._queue = queue
        self._cluster_state = cluster_state
        self._suspicions = suspicions
        self._metrics = metrics
        self._options = options
        self._rack_demand = rack_demand
        self._admit = policy.find("admission", "in_time")
        self._choose_refused = policy.find("admission", "least_cost")
        self._queue_key = policy.find("queueing", "latest_start")
        self._queue_key_by_priority = policy.find("queueing", "priority_start")
        self._guard = shedding.Guard()
        # By service: others use other workers, which may have room.
        self._lateness = collections.defaultdict(lateness.Lateness)
        # The time after which there is room, as of the latest verdict.
        self._room_after_ms = 0.0

    @property
    def coordinates(self):
        """Return whether this entry coordinates with others."""
        entries = len(self._cluster_state.members.addresses)
        return self._options.coordinates(entries)

    def decide(self, job):
        """Decide about a job that has just arrived, and give it its key.

        Args:
          job: An OwnedJob.

        Returns:
          A Decision.
        """
        hopeless = self._suspicions.hopeless_task(job)
        if hopeless is not None:
            return _failed(suspicion.crash_reason(hopeless))
        for step in job.submission.steps:
            if not self._fleet.could_ever_run(job.route.service, step.needs):
                return _failed("larger than any worker")
        expects_workers = self._fleet.expects_workers(job.accepted_ms)
        if not expects_workers and not self._holds_all(job):
            # Agents of other entries may have such a worker.
            return Decision(
                job_.Outcome(job_.State.REFUSED, _NO_SUCH_WORKER, _RETRY_AFTER_MS)
            )
        if self.coordinates:
            return self._weigh(job, expects_workers)
        job.key = self._queue_key(job.arrival())
        forecast = self._forecast(job)
        retry_after_ms = self._admit(forecast)
        if not retry_after_ms or expects_workers:
            return Decision()
        self._metrics.count(metrics.Counter.REFUSED, "overloaded")
        return Decision(
            job_.Outcome(job_.State.REFUSED, _NO_ROOM, retry_after_ms),
            _inputs(forecast, forecast.end_ms()),
        )

    def helps_caller(self, job, now_ms):
        """Return whether a start of a job can still help its caller.

        Args:
          job: An OwnedJob.
          now_ms: A number, the monotonic clock.
        """
        if job.may_have_started or not self.coordinates:
            return True
        return delay_cost.helps_caller(
            now_ms - job.accepted_ms, job.due_ms - job.accepted_ms
        )

    def note_answered(self, job, now_ms):
        """Learn from a job that was completed whether it started in time.

        A job whose attempts failed or were lost says nothing about the room.

        Args:
          job: An OwnedJob.
          now_ms: A number, the monotonic clock.
        """
        if job.is_weighed and not job.is_underserved and not job.was_disturbed:
            self._lateness[job.route.service].note_start(job.started_late, now_ms)

    def note_late_refusal(self, job, now_ms):
        """Note that a waiting job is refused as it can't be in time any more.

        Args:
          job: An OwnedJob of which no attempt was sent.
          now_ms: A number, the monotonic clock.

        Returns:
          A number, the time in ms after which its client may retry.
        """
        if not self.coordinates:
            return _RETRY_AFTER_MS
        self._note_refused(job, "late", now_ms)
        return shedding.spread_retry_ms(
            max(_RETRY_AFTER_MS, self._room_after_ms), job.submission.job_id
        )

    def level(self, job):
        """Return the Level of admission for jobs of the service of a job.

        Args:
          job: An OwnedJob.
        """
        return self._lateness[job.route.service].level()

    def _weigh(self, job, expects_workers):
        """Weigh a new job against those that wait, and choose which give way."""
        now_ms = job.accepted_ms
        work = job.work
        job.is_weighed = True
        job.is_protected = self._guard.protects(job.route, work)
        job.is_underserved = self._guard.is_underserved(job.route)
        arrival = job.arrival()
        if job.is_protected:
            arrival = dataclasses.replace(arrival, priority=0)
        job.key = self._queue_key_by_priority(arrival)
        self._guard.note_arrival(job.route, work, now_ms)
        late_starts = self._lateness[job.route.service]
        late_starts.note_arrival(job.route.priority, work, now_ms)
        if expects_workers:
            return Decision()
        level = self.level(job)
        is_admitted = lateness.admits(
            level, job.route.priority, job.submission.job_id, now_ms
        )
        forecast = self._forecast(job)
        if not (job.is_protected or is_admitted or forecast.starts_at_once()):
            return self._refuse_by_level(job, level)
        plan = self._plan(job, forecast)
        verdict = self._choose_refused(plan)
        self._room_after_ms = verdict.room_after_ms
        if not verdict.refused:
            return Decision()
        return self._shed(job, forecast, plan, verdict)

    def _refuse_by_level(self, job, level):
        """Refuse a job because too many accepted ones started too late."""
        priority = job.route.priority
        _log.info(
            "load shed",
            job=job.submission.job_id,
            route=job.route.name,
            priority=priority,
            protected=False,
            refused=True,
            admitted=round(level.admitted, 2),
            admitted_of_priority=round(lateness.chance(level, priority), 2),
            late_share=round(level.late, 2),
            served_share=round(self._guard.share(job.route), 2),
        )
        self._note_refused(job, "late_starts", job.accepted_ms)
        retry_after_ms = shedding.spread_retry_ms(
            max(_RETRY_AFTER_MS, self._room_after_ms), job.submission.job_id
        )
        return Decision(job_.Outcome(job_.State.REFUSED, _NO_ROOM, retry_after_ms))

    def _shed(self, job, forecast, plan, verdict):
        """Turn a Verdict into a Decision."""
        now_ms = job.accepted_ms
        level = self.level(job)
        for claim in verdict.refused:
            if lateness.admits_less_urgent(level, claim.priority):
                self._lateness[job.route.service].note_start(True, now_ms)
        refused_ids = {claim.job_id for claim in verdict.refused}
        displaced = []
        for other in self._queue.jobs():
            job_id = other.submission.job_id
            if job_id in refused_ids and not other.may_have_started:
                self._note_refused(other, "displaced", now_ms)
                retry_after_ms = shedding.spread_retry_ms(verdict.room_after_ms, job_id)
                displaced.append((other, retry_after_ms))
        job_id = job.submission.job_id
        is_refused = job_id in refused_ids
        _log.info(
            "load shed",
            job=job_id,
            route=job.route.name,
            priority=job.route.priority,
            protected=job.is_protected,
            underserved=job.is_underserved,
            refused=is_refused,
            displaced=" ".join(other.submission.job_id for other, _ in displaced),
            late=verdict.late,
            end_ms=int(verdict.end_ms),
            objective_ms=int(forecast.objective_ms),
            room_after_ms=int(verdict.room_after_ms),
            waiting=len(plan.waiting),
            elsewhere=len(plan.elsewhere),
            free_cpu=plan.free_cpu,
            room_age_ms=int(_room_age_ms(self._fleet, now_ms)),
            served_share=round(self._guard.share(job.route), 2),
        )
        if not is_refused:
            return Decision(displaced=tuple(displaced))
        self._note_refused(job, "no_room", now_ms)
        retry_after_ms = shedding.spread_retry_ms(verdict.room_after_ms, job_id)
        return Decision(
            job_.Outcome(job_.State.REFUSED, _NO_ROOM, retry_after_ms),
            _inputs(forecast, verdict.end_ms),
            tuple(displaced),
        )

    def _note_refused(self, job, reason, now_ms):
        self._guard.note_refused(job.route, job.work, now_ms)
        self._metrics.count(metrics.Counter.REFUSED, "overloaded")
        self._metrics.count(metrics.Counter.SHED, str(job.route.priority), reason)

    def _plan(self, job, forecast):
        waiting = []
        elsewhere = collections.Counter(forecast.ahead)
        for other in self._queue.jobs():
            claim = self._claim(other, job.accepted_ms)
            elsewhere.subtract(claim.loads)
            if other.route.service == job.route.service:
                # Others use other workers, so refusing them would free no room.
                waiting.append(claim)
        return shedding.Plan(
            forecast.free_cpu,
            forecast.running,
            tuple(elsewhere.elements()),
            tuple(waiting),
            dataclasses.replace(
                self._claim(job, job.accepted_ms), is_underserved=job.is_underserved
            ),
        )

    def _claim(self, job, now_ms):
        """Return the Claim of a job."""
        return delay_cost.Claim(
            job.submission.job_id,
            job.route.name,
            job.route.priority,
            job.key,
            job.accepted_ms,
            job.due_ms - now_ms,
            job.work,
            tuple(
                admission.Load(
                    task.step.needs.cpu,
                    self._rack_demand.forecast_ms(job, task.step, now_ms),
                )
                for task in job.all_tasks()
                if task.phase is owned_job.Phase.WAITING
            ),
            job.may_have_started,
            job.is_protected,
        )

    def _forecast(self, job):
        entries = subset.sharing_entries(len(self._cluster_state.members.addresses))
        return forecasts.new_forecast(
            self._fleet, self._queue, job, entries, self._rack_demand
        )

    def _holds_all(self, job):
        """Return whether this entry has workers that could run each step of a job."""
        service = job.route.service
        return all(self._fleet.holds(service, step) for step in job.submission.steps)


def _failed(reason):
    return Decision(job_.Outcome(job_.State.FAILED, reason))


def _inputs(forecast, end_ms):
    """Return what a refusal for lack of room rests on, for the log."""
    return {
        "end_ms": int(end_ms),
        "objective_ms": int(forecast.objective_ms),
        "ahead": len(forecast.ahead),
        "free_cpu": forecast.free_cpu,
        "serving_cpu": sum(load.cpu for load in forecast.running),
    }


def _room_age_ms(fleet, now_ms):
    """Return the age of the oldest report of room among the workers in use."""
    ages = (now_ms - worker.room_received_ms for worker in fleet if worker.is_accepting)
    return max(ages, default=0.0)
