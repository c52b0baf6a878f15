"""The demand for racks that one entry has seen, and its decisions that depend on it.

The state is soft: an entry that restarts has seen no demand, and learns it again from
the jobs of the next second.
"""

import collections
import math

from jujubeglade.core import log, metrics
from jujubeglade.direct import locality, policy, subset

#: Demand that has not been renewed for this long, ten half-lives, is dropped.
_FORGET_MS = 10_000.0
_NO_RACKS = {}

_log = log.get(__name__)


class RackDemand:
    """The racks as one entry sees them."""

    __slots__ = (
        "_cluster_state",
        "_computed_ms",
        "_demands",
        "_fleet",
        "_metrics",
        "_penalty",
        "_racks",
        "_should_wait",
    )

    def __init__(self, fleet, cluster_state, metrics, options):
        """Start without demand.

        Args:
          fleet: A Fleet.
          cluster_state: A ClusterState.
          metrics: A Metrics.
          options: An Options.
        """
        self._fleet = fleet
        self._cluster_state = cluster_state
        self._metrics = metrics
        self._penalty = options.remote_penalty
        self._should_wait = policy.find("locality", "in_time")
        self._demands = {}
        # The Racks by service and name as they were at one time on the monotonic clock.
        self._racks = _NO_RACKS
        self._computed_ms = -math.inf

    def note(self, job, now_ms):
        """Count the work of a job that arrives, whether or not it is accepted.

        Args:
          job: An OwnedJob.
          now_ms: A number, the monotonic clock.
        """
        if not self._acts(job):
            return
        for step in job.submission.steps:
            if step.rack:
                key = job.route.service, step.rack
                demand = self._demands.get(key, locality.Demand())
                work = step.count * step.needs.cpu * step.estimate_ms
                self._demands[key] = demand.plus(work, now_ms)
                self._computed_ms = -math.inf

    def racks(self, service, now_ms):
        """Return the racks that tasks lately asked for.

        Other entries see as much demand as this one on average, and share its workers.

        Args:
          service: A string.
          now_ms: A number, the monotonic clock.

        Returns:
          A dict from names to Racks.
        """
        if not self._demands:
            return _NO_RACKS
        if self._computed_ms != now_ms:
            self._computed_ms = now_ms
            self._racks = self._compute_racks(now_ms)
        return self._racks.get(service, _NO_RACKS)

    def avoidable(self, job, now_ms):
        """Return the racks that the tasks of a job leave to tasks that ask for them.

        Args:
          job: An OwnedJob.
          now_ms: A number, the monotonic clock.

        Returns:
          A dict from names to Racks; empty for a route on which locality does not act.
        """
        if not self._acts(job):
            return _NO_RACKS
        return self.racks(job.route.service, now_ms)

    def _compute_racks(self, now_ms):
        """Drop outdated demand, and add up the capacity of the racks that are left.

        Returns:
          A dict from services to dicts from names to Racks.
        """
        self._demands = {
            key: demand
            for key, demand in self._demands.items()
            if now_ms - demand.at_ms < _FORGET_MS
        }
        capacity = dict.fromkeys(self._demands, 0)
        for worker in self._fleet:
            if self._is_available(worker, now_ms):
                for label in worker.room.labels:
                    key = worker.room.service, label
                    if key in capacity:
                        capacity[key] += worker.room.total.cpu
        entries = subset.sharing_entries(len(self._cluster_state.members.addresses))
        racks = collections.defaultdict(dict)
        for (service, name), demand in self._demands.items():
            demand_cpu = max(1, entries) * demand.cpu(now_ms)
            racks[service][name] = locality.Rack(demand_cpu, capacity[service, name])
        return racks

    def expected_ms(self, task, worker):
        """Return the expected run time of a task on a worker of usual speed, in ms.

        Args:
          task: An OwnedTask.
          worker: A Worker.
        """
        estimate_ms = task.step.estimate_ms
        is_longer = self._acts(task.job) and self.is_outside(task, worker)
        return estimate_ms * self._penalty if is_longer else estimate_ms

    def forecast_ms(self, job, step, now_ms):
        """Return the expected run time of a step's tasks that have no worker yet.

        They run outside of their rack if it has no worker. That the demand exceeds the
        capacity of a rack doesn't count here: the demand at other entries is assumed,
        and no job is refused for it.

        Args:
          job: An OwnedJob.
          step: One of its Steps.
          now_ms: A number, the monotonic clock.
        """
        if not step.rack or not self._acts(job):
            return step.estimate_ms
        rack = self.racks(job.route.service, now_ms).get(step.rack)
        has_no_worker = rack is not None and not rack.capacity_cpu
        return step.estimate_ms * (self._penalty if has_no_worker else 1)

    def is_outside(self, task, worker):
        """Return whether a worker is outside of the rack of a task's data.

        Args:
          task: An OwnedTask.
          worker: A Worker.
        """
        return locality.is_outside(task.step, worker.room.labels)

    def holds_back(self, task, worker, excluded, now_ms):
        """Decide whether a task waits for its rack instead of running elsewhere.

        Args:
          task: An OwnedTask.
          worker: A Worker with room for it, the best one.
          excluded: A frozenset of agents' incarnations that must not run it.
          now_ms: A number, the monotonic clock.

        Returns:
          A boolean.
        """
        task.is_held = False
        if not self._acts(task.job) or not self.is_outside(task, worker):
            return False
        wait = locality.Wait(
            task.job.due_ms
            - now_ms
            - locality.rest_ms(task.job.submission.steps, task.name.step),
            self._inside_ms(task, excluded, now_ms),
            self.expected_ms(task, worker) * worker.health.slowdown(now_ms),
        )
        task.is_held = self._should_wait(wait)
        if task.is_held and not task.was_held:
            task.was_held = True
            self._log_held(task, worker, wait, now_ms)
        return task.is_held

    def _inside_ms(self, task, excluded, now_ms):
        """Return the expected run time on the fastest worker of the task's rack."""
        service = task.job.route.service
        return min(
            (
                task.step.estimate_ms * worker.health.slowdown(now_ms)
                for worker in self._fleet
                if worker.room.service == service
                and task.step.rack in worker.room.labels
                and (not task.step.label or task.step.label in worker.room.labels)
                and worker.room.total.covers(task.step.needs)
                and worker.identity.incarnation not in excluded
                and self._is_available(worker, now_ms)
            ),
            default=math.inf,
        )

    def _is_available(self, worker, now_ms):
        """Return whether attempts can be sent to a worker, now or as room is freed."""
        return (
            worker.is_accepting
            and not worker.is_quiet(now_ms)
            and not worker.health.is_paused(now_ms)
            and worker.zone not in self._cluster_state.evacuations.zones
        )

    def count_sent(self, task, worker):
        """Count an attempt by whether its worker is in the rack of its data.

        Args:
          task: An OwnedTask.
          worker: A Worker.
        """
        if task.step.rack:
            place = "outside" if self.is_outside(task, worker) else "inside"
            self._metrics.count(metrics.Counter.PLACED, place)

    def _acts(self, job):
        return locality.acts(self._penalty, job.route.slack_factor)

    def _log_held(self, task, worker, wait, now_ms):
        racks = self.racks(task.job.route.service, now_ms)
        rack = racks.get(task.step.rack, locality.NO_RACK)
        _log.info(
            "attempt held back for its rack",
            task=task.name,
            rack=task.step.rack,
            slack_ms=int(wait.slack_ms),
            inside_ms=int(wait.inside_ms),
            outside_ms=int(wait.outside_ms),
            demand_cpu=int(rack.demand_cpu),
            capacity_cpu=rack.capacity_cpu,
            instead_of=worker.identity.name,
            room_age_ms=int(now_ms - worker.room_received_ms),
        )
