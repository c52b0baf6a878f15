"""The fleet: the workers as an entry sees them.

A `Worker` is one life of an agent with the worker beside it. What the entry knows of
its room is what the agent said last, less what the entry has sent since.
"""

from jujubeglade.direct import contract, health, job

#: An agent that does not come back has stopped what it ran for this entry after
#: `contract.SILENCE_MS`; if it could not, the worker's hold has run out. This is for
#: a slow clock, a call on its way, and the stop itself.
_STOP_MARGIN_MS = 250
#: A worker reports within this time after its agent has come.
_REPORT_MS = 2000
#: Agents that run dial an entry that has come back within this time.
_DIAL_MS = 1000
_NO_ROOM = contract.Room("", (), job.NOTHING, job.NOTHING, False, 0, 0, 0)


class Worker:
    """One life of an agent."""

    __slots__ = (
        "_begun",
        "_free",
        "_link",
        "_room",
        "_sent",
        "health",
        "holding",
        "identity",
        "joined_ms",
        "known",
        "lost_ms",
        "room_ms",
    )

    def __init__(self, opened, now_ms):
        """Begin with an open link.

        Args:
          opened: A Link.
          now_ms: A number, the monotonic clock.
        """
        self.identity = opened.remote
        self.health = health.new_health()
        self.joined_ms = now_ms
        #: The tasks that it may run for this entry, by TaskName.
        self.holding = {}
        #: When the link was lost; None while it is open.
        self.lost_ms = None
        #: When the room was heard, on the monotonic clock.
        self.room_ms = 0.0
        #: The revisions that the agent holds, of operators' state and members.
        self.known = (0, 0)
        self._begun = 0
        self._free = job.NOTHING
        self._link = opened
        self._room = _NO_ROOM
        # What was sent and is not in the agent's room yet, by number.
        self._sent = {}

    @property
    def link(self):
        """Return the link, which may be closed."""
        return self._link

    @property
    def room(self):
        """Return the Room that the agent gave last."""
        return self._room

    @property
    def free(self):
        """Return what is free as far as this entry knows, as a Resources."""
        return self._free

    @property
    def zone(self):
        """Return the availability zone, as a string."""
        return self.identity.zone

    @property
    def is_accepting(self):
        """Tell whether attempts may be sent."""
        return self.lost_ms is None and self._room.accepting

    def is_expected(self, now_ms):
        """Tell whether the agent has just come and its worker has yet to report.

        Args:
          now_ms: A number, the monotonic clock.
        """
        is_bare = self.lost_ms is None and not self._room.service
        return is_bare and now_ms - self.joined_ms < _REPORT_MS

    def relink(self, opened):
        """Go on with a new link.

        Args:
          opened: A Link.
        """
        self._link = opened
        self.lost_ms = None
        self.known = (0, 0)
        self._begun = 0
        self._sent.clear()
        self._room = _NO_ROOM
        self._free = job.NOTHING

    def take_room(self, room):
        """Take over what the agent says.

        Args:
          room: A Room.
        """
        self._room = room
        self.known = (room.revision, room.members)
        for number in [each for each in self._sent if each <= room.begun]:
            del self._sent[number]
        free = room.free
        for needs in self._sent.values():
            free = free.minus(needs)
        self._free = free

    def note_ended(self, needs):
        """Count the room of an attempt of this entry that has ended as free.

        The agent has freed it; its next Room says so too.

        Args:
          needs: A Resources.
        """
        self._free = self._free.plus(needs)

    def begin(self, task, run, step, spec, left_ms):
        """Send an attempt.

        Args:
          task: A TaskName.
          run: An integer.
          step: The task's Step.
          spec: A string.
          left_ms: A number, after which the attempt is of no use.
        """
        self._begun += 1
        self._sent[self._begun] = step.needs
        self._free = self._free.minus(step.needs)
        self._link.send(
            contract.Begin(
                task,
                run,
                self._room.service,
                spec,
                step.needs,
                step.label,
                self._begun,
                left_ms,
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
    """The workers that an entry knows."""

    __slots__ = ("_begun_ms", "_gone_after_ms", "_largest", "_workers")

    def __init__(self, hold_ms, now_ms):
        """Start with no worker.

        Args:
          hold_ms: An integer, the longest hold of a worker.
          now_ms: A number, the monotonic clock.
        """
        self._begun_ms = now_ms
        self._workers = {}
        # The largest worker seen of each service.
        self._largest = {}
        self._gone_after_ms = contract.SILENCE_MS + hold_ms + _STOP_MARGIN_MS

    def __iter__(self):
        """Iterate over the workers, lost ones among them."""
        return iter(tuple(self._workers.values()))

    def find(self, incarnation):
        """Find a worker by the incarnation of its agent; None if unknown."""
        return self._workers.get(incarnation)

    def is_gathering(self, now_ms):
        """Tell whether more workers are about to be known.

        That is so when this entry has just started, and while agents have just come
        whose workers have yet to report: after a restart of either or of both.

        Args:
          now_ms: A number, the monotonic clock.
        """
        if now_ms - self._begun_ms < _DIAL_MS:
            return True
        return any(each.is_expected(now_ms) for each in self._workers.values())

    def join(self, opened, now_ms):
        """Take an agent's link.

        Args:
          opened: A Link.
          now_ms: A number, the monotonic clock.

        Returns:
          A Worker.
        """
        incarnation = opened.remote.incarnation
        known = self._workers.get(incarnation)
        if known is None:
            known = self._workers[incarnation] = Worker(opened, now_ms)
        else:
            known.relink(opened)
        return known

    def note_room(self, known, room, now_ms):
        """Take over the room of a worker.

        Args:
          known: A Worker.
          room: A Room.
          now_ms: A number, the monotonic clock.
        """
        known.take_room(room)
        known.room_ms = now_ms
        total = room.total
        largest = self._largest.get(room.service, job.NOTHING)
        self._largest[room.service] = job.Resources(
            max(largest.cpu, total.cpu),
            max(largest.memory_mb, total.memory_mb),
            max(largest.gpus, total.gpus),
        )

    def could_ever_run(self, service, needs):
        """Tell whether a worker seen so far is large enough; true if none was seen.

        Args:
          service: A string.
          needs: A Resources.
        """
        largest = self._largest.get(service)
        return largest is None or largest.covers(needs)

    def has_others(self, service, incarnations):
        """Tell whether a service has accepting workers beside some.

        Args:
          service: A string.
          incarnations: A set of strings; empty gives false.
        """
        return bool(incarnations) and any(
            known.is_accepting
            and known.room.service == service
            and known.identity.incarnation not in incarnations
            for known in self
        )

    def gone(self, now_ms):
        """List the workers on which nothing of this entry can run any more.

        An agent's next life says that it accepts attempts only once everything of
        its former life has ended.

        Args:
          now_ms: A number, the monotonic clock.

        Returns:
          A list of Workers.
        """
        reborn = {
            each.identity.name: each.identity.incarnation
            for each in self._workers.values()
            if each.is_accepting
        }
        return [
            each
            for each in self._workers.values()
            if each.lost_ms is not None
            and (
                now_ms - each.lost_ms > self._gone_after_ms
                or reborn.get(each.identity.name, "") != ""
            )
        ]

    def forget(self, known):
        """Forget a worker.

        Args:
          known: A Worker.
        """
        self._workers.pop(known.identity.incarnation, None)


def new_fleet(hold_ms, now_ms):
    """Make the fleet of an entry that has just started.

    Args:
      hold_ms: An integer, the longest hold of a worker.
      now_ms: A number, the monotonic clock.

    Returns:
      A Fleet.
    """
    return Fleet(hold_ms, now_ms)
