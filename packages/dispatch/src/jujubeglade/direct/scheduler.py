"""The scheduler: sends waiting tasks to workers as room becomes free.

A task for which no worker had room can only fit on a worker whose room has grown since,
so a round considers only such workers. New jobs are offered to the whole fleet, and at
intervals all jobs are. With many workers and long queues, the cost of a round is then
proportional to what has changed, not to jobs times workers.
"""

import asyncio

from jujubeglade.direct import placement, policy, queueing

#: A round tries no further jobs once this many have found too little room.
_MAX_UNPLACED_JOBS = 8


class Scheduler:
    """The queue of one entry, and the rounds that send its tasks to workers."""

    __slots__ = (
        "_cluster_state",
        "_clock",
        "_dispatcher",
        "_fleet",
        "_is_scheduled",
        "_offers_all",
        "_place",
        "_queue",
        "_grown_workers",
        "_rack_demand",
        "_spread_as",
        "_zone",
    )

    def __init__(
        self, clock, fleet, zone, cluster_state, dispatcher, rack_demand, spread_as
    ):
        """Create a scheduler with an empty queue.

        Args:
          clock: A Clock.
          fleet: A Fleet.
          zone: A string, the availability zone of the entry.
          cluster_state: A ClusterState.
          dispatcher: The Dispatcher, with `send(task, worker, now_ms, candidates)`,
            `may_send(task)`, `refuse_late(job)`, `drop_departed()` and `on_round()`.
          rack_demand: A RackDemand.
          spread_as: A function without arguments that returns the name of the entry if
            entries coordinate; else an empty string.
        """
        self._clock = clock
        self._fleet = fleet
        self._zone = zone
        self._cluster_state = cluster_state
        self._dispatcher = dispatcher
        self._queue = queueing.Queue()
        self._rack_demand = rack_demand
        self._spread_as = spread_as
        self._place = policy.find("placement", "wanted_racks")
        self._is_scheduled = False
        # Whether the next round offers all jobs to the whole fleet.
        self._offers_all = False
        # The workers whose room has grown since the last round, as keys in that order:
        # the choice among equal ones must not depend on their addresses in memory.
        self._grown_workers = {}

    @property
    def queue(self):
        """Return the Queue."""
        return self._queue

    def room_needed_by_ms(self):
        """Return by when room is needed, on the monotonic clock; infinite if never."""
        return self._queue.first_key()

    def add(self, job):
        """Queue a job, and schedule a round.

        Args:
          job: An OwnedJob.
        """
        job.was_offered = False
        self._queue.add(job)
        self._run_soon()

    def refresh(self, worker):
        """Include a worker that may have more room in the next round.

        Args:
          worker: A Worker.
        """
        self._grown_workers[worker] = None
        if len(self._queue):
            self._run_soon()

    def refresh_all(self):
        """Offer all jobs to the whole fleet in the next round."""
        self._offers_all = True
        if len(self._queue):
            self._run_soon()

    def run_if_scheduled(self):
        """Run a scheduled round now, so that only jobs without room stay queued."""
        if self._is_scheduled:
            self._run()

    def _run_soon(self):
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self):
        """Send waiting tasks to workers, in the order of the queue."""
        if not self._is_scheduled:
            return
        self._is_scheduled = False
        # Nothing is received during a round, so that this holds for all that is sent.
        self._dispatcher.drop_departed()
        now_ms = self._clock.now_ms()
        everyone = tuple(self._fleet)
        grown = everyone if self._offers_all else tuple(self._grown_workers)
        self._offers_all = False
        self._grown_workers.clear()
        in_time, late = self._queue.in_turn(now_ms)
        self._offer(in_time, everyone, grown, now_ms)
        expects_workers = self._fleet.expects_workers(now_ms)
        for job in self._offer(late, everyone, grown, now_ms):
            if not (job.may_have_started or job.is_held or expects_workers):
                # Other jobs go first; refuse it so that its client can try elsewhere.
                # One held for its rack can be in time there on a fast worker.
                self._dispatcher.refuse_late(job)
        self._dispatcher.on_round()

    def _offer(self, jobs, everyone, grown, now_ms):
        """Send the ready tasks of some jobs as far as workers have room.

        Jobs that were already offered to the whole fleet are offered only to the
        workers in `grown`.

        Returns:
          A list of the jobs that still wait.
        """
        waiting = []
        unplaced = 0
        for job in jobs:
            if unplaced < _MAX_UNPLACED_JOBS:
                workers = grown if job.was_offered else everyone
                if workers is everyone:
                    # The room elsewhere that a held task left may have been taken.
                    job.forget_held()
                job.was_offered = self._send_ready(job, workers, now_ms)
            if job.ready:
                waiting.append(job)
                # A job that waits for its rack left room that others may use.
                unplaced += not job.is_held
            else:
                self._queue.remove(job)
        return waiting

    def _send_ready(self, job, workers, now_ms):
        """Send the ready tasks of a job as far as workers have room.

        Returns:
          A boolean, false when a task may not be sent yet, and so was not offered.
        """
        waiting = []
        were_offered = True
        held_step = None
        for number, task in enumerate(job.ready):
            if task.step is held_step and not task.has_own_exclusions:
                waiting.append(task)
            elif not self._dispatcher.may_send(task):
                were_offered = False
                waiting.append(task)
            elif self._send(task, workers, now_ms):
                continue
            elif task.is_held:
                if not task.has_own_exclusions:
                    held_step = task.step
                waiting.append(task)
            elif task.is_suspect:
                # Others may have room where no further suspect may start.
                waiting.append(task)
            else:
                # The remaining tasks are mostly alike and would find no room either.
                waiting.extend(job.ready[number:])
                break
        job.ready = waiting
        return were_offered

    def _send(self, task, workers, now_ms):
        """Send a task to one of the workers; return whether one had room."""
        racks = self._rack_demand.avoidable(task.job, now_ms)
        request = placement.request_of(
            task, self._fleet, self._zone, racks, self._spread_as()
        )
        evacuated = self._cluster_state.evacuations.zones
        usable = [worker for worker in workers if worker.covers(request.needs)]
        candidates = placement.candidates(usable, request, evacuated, now_ms)
        if not candidates:
            return False
        worker = self._place(candidates, request, now_ms)
        if self._rack_demand.holds_back(task, worker, request.excluded, now_ms):
            return False
        self._dispatcher.send(task, worker, now_ms, len(candidates))
        return True
