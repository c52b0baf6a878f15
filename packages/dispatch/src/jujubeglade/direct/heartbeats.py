"""Heartbeats of an entry: to every agent at an interval, and when its need changes.

A heartbeat also tells by when the entry needs room, which decides to whom an agent
offers freed room first (`sharing`). While jobs wait, that changes with almost every
job, so it is announced at most once in an interval that grows with the number of
agents: the message rate of an entry does not.
"""

import dataclasses
import math

from jujubeglade.core import message
from jujubeglade.core import metrics as metrics_
from jujubeglade.direct import contract, job

#: The shortest time between two announcements of when room is needed.
_MIN_NEED_INTERVAL_MS = 10
#: The same for each agent to which it is announced.
_NEED_INTERVAL_PER_AGENT_MS = 1
#: Where entries coordinate, so many agents are told at a time, which bounds the rate of
#: messages as telling all agents at their interval does.
_AGENTS_AT_A_TIME = _MIN_NEED_INTERVAL_MS // _NEED_INTERVAL_PER_AGENT_MS
#: An agent isn't told of a need that differs by less than this: the order of entries
#: hardly changes by it.
_NEED_MARGIN_MS = 20


class Heartbeats:
    """Sends the heartbeats of one entry."""

    __slots__ = (
        "_announced_need_ms",
        "_clock",
        "_cluster_state",
        "_fleet",
        "_metrics",
        "_options",
        "_scheduler",
        "_announced_ms",
        "_sent_ms",
        "_unanswered",
    )

    def __init__(self, clock, fleet, cluster_state, scheduler, options, metrics):
        """Prepare to send; nothing has been sent yet.

        Args:
          clock: A Clock.
          fleet: A Fleet.
          cluster_state: A ClusterState.
          scheduler: The Scheduler, with `room_needed_by_ms()`.
          options: An Options.
          metrics: A Metrics.
        """
        self._options = options
        self._metrics = metrics
        self._clock = clock
        self._fleet = fleet
        self._cluster_state = cluster_state
        self._scheduler = scheduler
        # The time by which room is needed as last announced, and when a heartbeat
        # was last sent to all agents.
        self._announced_need_ms = math.inf
        self._sent_ms = 0.0
        self._announced_ms = 0.0
        # The workers whose room has arrived since the last round.
        self._unanswered = {}

    def send(self):
        """Send each agent a heartbeat with the time of a Room of its own."""
        heartbeat = self._heartbeat()
        self._note_sent(heartbeat)
        for worker in self._fleet:
            worker.announced_need_ms = self._announced_need_ms
            worker.link.send(self._with_own_fields(heartbeat, worker))

    def send_to(self, worker):
        """Send one agent a heartbeat.

        Args:
          worker: A Worker.
        """
        worker.announced_need_ms = self._scheduler.room_needed_by_ms()
        worker.link.send(self._with_own_fields(self._heartbeat(), worker))

    def on_room(self, worker):
        """Answer the Room of an agent, unless a round decides first whether to use it.

        Args:
          worker: A Worker.
        """
        if worker.room.free.cpu > worker.room.withheld_cpu and self._coordinates():
            self._unanswered[worker] = None
            if self._scheduler.room_needed_by_ms() == math.inf:
                self._decline()

    def on_round(self):
        """Announce by when room is needed, after waiting tasks have been sent."""
        self._decline()
        self.announce_need()

    def _coordinates(self):
        entries = len(self._cluster_state.members.addresses)
        return self._options.coordinates(entries)

    def _decline(self):
        """Leave room that this entry has received and not used to other entries.

        An agent that knows a sooner need than the present one is told. One whose room
        suits none of the waiting tasks offers it to others without being told; what a
        later task needs is offered again.
        """
        needed_by_ms = self._scheduler.room_needed_by_ms()
        for worker in self._unanswered:
            if needed_by_ms - worker.announced_need_ms > _NEED_MARGIN_MS:
                self._metrics.count(metrics_.Counter.DECLINED)
                self.send_to(worker)
            if worker.announced_need_ms < math.inf:
                worker.forfeit()
        self._unanswered.clear()

    def announce_need(self):
        """Tell agents by when room is needed, if it has changed."""
        if self._coordinates():
            self._announce_to_some()
            return
        if self._scheduler.room_needed_by_ms() == self._announced_need_ms:
            return
        interval_ms = max(
            _MIN_NEED_INTERVAL_MS, _NEED_INTERVAL_PER_AGENT_MS * len(self._fleet)
        )
        if self._clock.now_ms() - self._sent_ms < interval_ms:
            return
        heartbeat = self._heartbeat()
        self._note_sent(heartbeat)
        encoded = message.encode(heartbeat)
        for worker in self._fleet:
            worker.announced_need_ms = self._announced_need_ms
            worker.link.send(heartbeat, encoded)

    def _announce_to_some(self):
        """Tell some agents that room is needed sooner than they know.

        All agents at once can only be told at an interval that grows with their number,
        which is too long for urgent work. Those that were told of the latest need come
        first.
        """
        needed_by_ms = self._scheduler.room_needed_by_ms()
        now_ms = self._clock.now_ms()
        is_too_soon = now_ms - self._announced_ms < _MIN_NEED_INTERVAL_MS
        if needed_by_ms == math.inf or is_too_soon:
            return
        self._announced_ms = now_ms
        outdated = [
            worker
            for worker in self._fleet
            if worker.is_accepting
            and worker.announced_need_ms - needed_by_ms > _NEED_MARGIN_MS
        ]
        if not outdated:
            return
        outdated.sort(key=lambda worker: -worker.announced_need_ms)
        heartbeat = self._heartbeat()
        encoded = message.encode(heartbeat)
        for worker in outdated[:_AGENTS_AT_A_TIME]:
            worker.announced_need_ms = needed_by_ms
            worker.link.send(heartbeat, encoded)

    def _note_sent(self, heartbeat):
        self._sent_ms = self._clock.now_ms()
        self._announced_need_ms = self._sent_ms + heartbeat.slack_ms

    def _with_own_fields(self, heartbeat, worker):
        """Return a heartbeat with what concerns one agent alone."""
        service = worker.room.service
        return dataclasses.replace(
            heartbeat,
            service=service,
            largest=self._fleet.largest(service),
            echo_ms=worker.echo_ms,
        )

    def _heartbeat(self):
        return contract.Beat(
            self._cluster_state.configuration.revision,
            self._cluster_state.evacuations.revision,
            self._cluster_state.members.revision,
            "",
            job.NOTHING,
            self._scheduler.room_needed_by_ms() - self._clock.now_ms(),
            0.0,
        )
