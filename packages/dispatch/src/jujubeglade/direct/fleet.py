"""The fleet: the workers as an entry sees them.

A `Worker` stands for one incarnation of an agent with the worker beside it. The entry's
view of its room is the agent's last report less what the entry has sent since.
"""

import collections
import math

from jujubeglade.direct import contract, health, job, peer_views

#: An agent that lost its link stops what it ran for this entry after
#: `contract.SILENCE_TIMEOUT_MS`; if it can't, the worker lease expires. The margin
#: allows for a slow clock, a call in flight, and the stop itself.
_STOP_MARGIN_MS = 250
#: An agent that has sent nothing for this long gets no new attempts: more than two
#: heartbeats are missing. If its connection is gone, they would wait until it counts as
#: lost; if it is slow, its next message ends this.
_QUIET_MS = 350
#: A worker reports within this time after its agent has connected.
_FIRST_REPORT_MS = 2000
#: Running agents connect to a restarted entry within this time.
_REDIAL_MS = 1000
_NO_ROOM = contract.Room(
    "", (), job.NOTHING, job.NOTHING, job.NOTHING, False, 0, 0, 0, 0, 0.0, False
)


class Worker:
    """One incarnation of an agent with its worker."""

    __slots__ = (
        "_echo_ms",
        "_last_begin",
        "_free",
        "_link",
        "_room",
        "_seen_ms",
        "_unreported_needs",
        "_unreported_suspect",
        "_unreported_total",
        "_withheld_cpu",
        "announced_need_ms",
        "health",
        "assigned_tasks",
        "identity",
        "joined_ms",
        "lost_ms",
        "room_received_ms",
        "views",
    )

    def __init__(self, link, now_ms):
        """Create a worker with an open link.

        Args:
          link: A Link.
          now_ms: A number, the monotonic clock.
        """
        self.identity = link.remote
        self.health = health.new_health()
        self.joined_ms = now_ms
        #: The tasks that it may run for this entry, by TaskName.
        self.assigned_tasks = {}
        #: When the link was lost; None while it is open.
        self.lost_ms = None
        #: When the room was received, on the monotonic clock.
        self.room_received_ms = 0.0
        #: By when this entry needs room, as the agent was last told.
        self.announced_need_ms = math.inf
        #: The PeerViews of the link.
        self.views = peer_views.PeerViews()
        self._last_begin = 0
        self._free = job.NOTHING
        self._link = link
        self._room = _NO_ROOM
        # The times of the Rooms that had been received at the last tick and at the one
        # before it.
        self._seen_ms = 0.0
        self._echo_ms = 0.0
        # The Begins that the agent's Room does not include yet: their numbers, in
        # order, with the needs of each attempt; and all these needs together.
        self._unreported_needs = collections.deque()
        self._unreported_total = job.NOTHING
        # The number of the last Begin of a suspect; 0 once the Room includes it.
        self._unreported_suspect = 0
        # The free thousandths of a core that other entries are offered.
        self._withheld_cpu = 0

    @property
    def link(self):
        """Return the link, which may be closed."""
        return self._link

    @property
    def room(self):
        """Return the Room that the agent sent last."""
        return self._room

    @property
    def echo_ms(self):
        """Return the time of a Room that had been received one tick before the last.

        The callers that had left by then have been collected since; the tick between
        leaves time to those whose departure was still under way.
        """
        return self._echo_ms

    @property
    def free(self):
        """Return the free resources as far as this entry knows, as a Resources."""
        return self._free

    def covers(self, needs):
        """Return whether needs fit the free resources that this entry may use.

        Args:
          needs: A Resources.
        """
        # Asked of each worker for each task, so that it creates no objects.
        usable_cpu = self._free.cpu - self._withheld_cpu
        return needs.cpu <= usable_cpu and self._free.covers(needs)

    @property
    def zone(self):
        """Return the availability zone, as a string."""
        return self.identity.zone

    @property
    def is_accepting(self):
        """Return whether attempts may be sent."""
        return self.lost_ms is None and self._room.accepting

    @property
    def accepts_suspects(self):
        """Return whether a suspect may be sent; one at a time is on probation."""
        return not self._room.on_probation and not self._unreported_suspect

    @property
    def awaited_attempts(self):
        """Return the attempts here whose end an open job waits for.

        Returns:
          A set of pairs of a TaskName and a run.
        """
        return {
            (task.name, task.run)
            for task in self.assigned_tasks.values()
            if not task.job.answer.done()
        }

    def is_quiet(self, now_ms):
        """Return whether the agent's heartbeats are overdue, so that it may be lost.

        Args:
          now_ms: A number, the monotonic clock.
        """
        return now_ms - self._link.last_received_ms > _QUIET_MS

    def awaits_report(self, now_ms):
        """Return whether the agent has just connected and its worker has yet to report.

        Args:
          now_ms: A number, the monotonic clock.
        """
        has_no_report = self.lost_ms is None and not self._room.service
        return has_no_report and now_ms - self.joined_ms < _FIRST_REPORT_MS

    def relink(self, link):
        """Replace the link; the agent sends its room again.

        Args:
          link: A Link.
        """
        self._link = link
        self.lost_ms = None
        self.announced_need_ms = math.inf
        self.views = peer_views.PeerViews()
        self._last_begin = 0
        self._unreported_needs.clear()
        self._unreported_total = job.NOTHING
        self._unreported_suspect = 0
        self._room = _NO_ROOM
        self._free = job.NOTHING
        self._withheld_cpu = 0
        self._seen_ms = 0.0
        self._echo_ms = 0.0

    def tick(self):
        """Make the time of the Room of the last tick the one that is echoed."""
        self._echo_ms = self._seen_ms
        self._seen_ms = self._room.sent_ms

    def update_room(self, room):
        """Handle a Room of the agent.

        Args:
          room: A Room.
        """
        self._room = room
        self._withheld_cpu = room.withheld_cpu
        self.views.note(room.evacuations, room.members)
        self._forget_reported(room.last_begin)
        if room.last_begin >= self._unreported_suspect:
            self._unreported_suspect = 0
        self._free = room.free.minus(self._unreported_total)

    def _forget_reported(self, last_begin):
        """Forget the needs of the Begins that a Room includes."""
        while self._unreported_needs and self._unreported_needs[0][0] <= last_begin:
            _, needs = self._unreported_needs.popleft()
            self._unreported_total = self._unreported_total.minus(needs)

    def forfeit(self):
        """Use no more of the room that is free now, as others are offered it."""
        self._withheld_cpu = max(0, self._free.cpu)

    def note_ended(self, needs):
        """Count the resources of an ended attempt of this entry as free.

        The agent has freed them and will include them in its next Room.

        Args:
          needs: A Resources.
        """
        self._free = self._free.plus(needs)

    def begin(self, task, left_ms):
        """Send an attempt.

        Args:
          task: An OwnedTask.
          left_ms: A number, the time in ms after which the attempt is too late.
        """
        step = task.step
        self._last_begin += 1
        if task.is_suspect:
            self._unreported_suspect = self._last_begin
        self._unreported_needs.append((self._last_begin, step.needs))
        self._unreported_total = self._unreported_total.plus(step.needs)
        self._free = self._free.minus(step.needs)
        self._link.send(
            contract.Begin(
                task.name,
                task.run,
                self._room.service,
                task.job.submission.spec,
                step.needs,
                step.label,
                self._last_begin,
                left_ms,
                self._room.sent_ms,
                task.is_suspect,
            )
        )

    def halt(self, task, run):
        """Stop an attempt.

        Args:
          task: A TaskName.
          run: An integer.
        """
        self._link.send(contract.Halt(task, run))


class Fleet:
    """The workers known to an entry."""

    __slots__ = ("_started_ms", "_gone_after_ms", "_largest", "_workers")

    def __init__(self, lease_ms, now_ms):
        """Create a fleet without workers.

        Args:
          lease_ms: An integer, the longest lease of a worker.
          now_ms: A number, the monotonic clock.
        """
        self._started_ms = now_ms
        self._workers = {}
        # For each service, the most of each resource that a worker has, also of the
        # workers that serve only other entries.
        self._largest = {}
        self._gone_after_ms = contract.SILENCE_TIMEOUT_MS + lease_ms + _STOP_MARGIN_MS

    def __len__(self):
        """Return the number of workers, including lost ones."""
        return len(self._workers)

    def __iter__(self):
        """Iterate over the workers, including lost ones."""
        return iter(tuple(self._workers.values()))

    def find(self, incarnation):
        """Return the worker with an agent's incarnation; None if there is none."""
        return self._workers.get(incarnation)

    def expects_workers(self, now_ms):
        """Return whether more workers are about to become available.

        That is so when this entry has just started, and while the workers of agents
        that have just connected have yet to report, as after a restart of either side.

        Args:
          now_ms: A number, the monotonic clock.
        """
        if now_ms - self._started_ms < _REDIAL_MS:
            return True
        return any(worker.awaits_report(now_ms) for worker in self._workers.values())

    def join(self, link, now_ms):
        """Add a worker, or replace its link if it is known.

        Args:
          link: A Link.
          now_ms: A number, the monotonic clock.

        Returns:
          A Worker.
        """
        incarnation = link.remote.incarnation
        worker = self._workers.get(incarnation)
        if worker is None:
            worker = self._workers[incarnation] = Worker(link, now_ms)
        else:
            worker.relink(link)
        return worker

    def update_room(self, worker, room, now_ms):
        """Handle a Room of a worker.

        Args:
          worker: A Worker.
          room: A Room.
          now_ms: A number, the monotonic clock.
        """
        worker.update_room(room)
        worker.room_received_ms = now_ms
        heard = room.total.maximum(room.largest)
        self._largest[room.service] = self.largest(room.service).maximum(heard)

    def largest(self, service):
        """Return the most of each resource that a worker of a service has.

        Args:
          service: A string.

        Returns:
          A Resources; `job.NOTHING` if no worker has reported.
        """
        return self._largest.get(service, job.NOTHING)

    def holds(self, service, step):
        """Return whether a worker that serves this entry could run a step's tasks.

        Args:
          service: A string.
          step: A Step.
        """
        return any(
            worker.room.service == service
            and worker.room.total.covers(step.needs)
            and (not step.label or step.label in worker.room.labels)
            for worker in self._workers.values()
        )

    def could_ever_run(self, service, needs):
        """Return whether needs fit the largest worker, whichever entries it serves.

        It is true if no worker has reported.

        Args:
          service: A string.
          needs: A Resources.
        """
        largest = self._largest.get(service)
        return largest is None or largest.covers(needs)

    def has_others(self, service, incarnations):
        """Return whether a service has accepting workers other than the given ones.

        Args:
          service: A string.
          incarnations: A set of strings; false if it is empty.
        """
        return bool(incarnations) and any(
            worker.is_accepting
            and worker.room.service == service
            and worker.identity.incarnation not in incarnations
            for worker in self
        )

    def gone(self, now_ms):
        """List the workers on which no task of this entry can run any more.

        The next incarnation of an agent accepts attempts only once all attempts of the
        previous incarnation have ended.

        Args:
          now_ms: A number, the monotonic clock.

        Returns:
          A list of Workers.
        """
        accepting = {
            worker.identity.name: worker.identity.incarnation
            for worker in self._workers.values()
            if worker.is_accepting
        }
        return [
            worker
            for worker in self._workers.values()
            if worker.lost_ms is not None
            and (
                now_ms - worker.lost_ms > self._gone_after_ms
                or accepting.get(worker.identity.name, "") != ""
            )
        ]

    def remove(self, worker):
        """Remove a worker.

        Args:
          worker: A Worker.
        """
        self._workers.pop(worker.identity.incarnation, None)


def new_fleet(lease_ms, now_ms):
    """Make the fleet of an entry that has just started.

    Args:
      lease_ms: An integer, the longest lease of a worker.
      now_ms: A number, the monotonic clock.

    Returns:
      A Fleet.
    """
    return Fleet(lease_ms, now_ms)
