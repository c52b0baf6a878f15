"""The pump: gives waiting tasks to workers as there is room.

A task that has found no worker can only find one whose room has grown since, so each
round looks at those alone; jobs that have not been tried, and now and then all, are
offered to the whole fleet. With many workers and much waiting, a round then costs what
has changed, not jobs times workers.
"""

import asyncio

from jujubeglade.direct import placement, policy, queueing

#: So many jobs that find no room end a round.
_MAX_MISSES = 8


class Pump:
    """The queue of one entry and the way out of it."""

    __slots__ = (
        "_cluster_state",
        "_clock",
        "_desk",
        "_fleet",
        "_is_due",
        "_is_whole",
        "_place",
        "_queue",
        "_refreshed",
        "_zone",
    )

    def __init__(self, wall, workers, zone, cluster_state, desk):
        """Begin with an empty queue.

        Args:
          wall: A Clock.
          workers: A Fleet.
          zone: A string, the availability zone of the entry.
          cluster_state: A ClusterState.
          desk: The Dispatcher, with `send(task, worker, now_ms, candidates)`,
            `may_send(task)`, `give_up_late(held)` and `on_round()`.
        """
        self._clock = wall
        self._fleet = workers
        self._zone = zone
        self._cluster_state = cluster_state
        self._desk = desk
        self._queue = queueing.Queue()
        self._place = policy.find("placement", "fast_first")
        self._is_due = False
        # Whether the next round offers everything to the whole fleet.
        self._is_whole = False
        # The workers whose room has grown since the last round.
        self._refreshed = set()

    @property
    def queue(self):
        """Return the Queue."""
        return self._queue

    def room_needed_by_ms(self):
        """Tell by when room is needed, by the monotonic clock; infinite if never."""
        return self._queue.first_key()

    def add(self, held):
        """Let a job wait for workers.

        Args:
          held: An OwnedJob.
        """
        held.was_offered = False
        self._queue.add(held)
        self._run_soon()

    def refresh(self, known):
        """Note that a worker may have more room.

        Args:
          known: A Worker.
        """
        self._refreshed.add(known)
        if len(self._queue):
            self._run_soon()

    def refresh_all(self):
        """Offer everything to the whole fleet in the next round."""
        self._is_whole = True
        if len(self._queue):
            self._run_soon()

    def catch_up(self):
        """Do now what is due, so that only what finds no room counts as waiting."""
        if self._is_due:
            self._run()

    def _run_soon(self):
        if not self._is_due:
            self._is_due = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self):
        """Send waiting tasks to workers, in the order of the queue."""
        if not self._is_due:
            return
        self._is_due = False
        now_ms = self._clock.now_ms()
        grown = tuple(self._fleet) if self._is_whole else tuple(self._refreshed)
        self._is_whole = False
        self._refreshed.clear()
        timely, late = self._queue.in_turn(now_ms)
        self._offer(timely, grown, now_ms)
        is_gathering = self._fleet.is_gathering(now_ms)
        for held in self._offer(late, grown, now_ms):
            if not held.is_touched and not is_gathering:
                # Others go before it: its client is better off elsewhere.
                self._desk.give_up_late(held)
        self._desk.on_round()

    def _offer(self, jobs, grown, now_ms):
        """Send what finds room of some jobs.

        Returns:
          A list of the jobs that still wait.
        """
        waiting = []
        for held in jobs:
            if len(waiting) < _MAX_MISSES:
                workers = grown if held.was_offered else tuple(self._fleet)
                held.was_offered = self._send_ready(held, workers, now_ms)
            if held.ready:
                waiting.append(held)
            else:
                self._queue.remove(held)
        return waiting

    def _send_ready(self, held, workers, now_ms):
        """Send as many tasks of a job as find room.

        Returns:
          A boolean, whether every task that still waits was offered or is like one.
        """
        waiting = []
        were_offered = True
        for number, task in enumerate(held.ready):
            if not self._desk.may_send(task):
                were_offered = False
                waiting.append(task)
            elif not self._send(task, workers, now_ms):
                # The tasks after it are mostly alike and find no room either.
                waiting.extend(held.ready[number:])
                break
        held.ready = waiting
        return were_offered

    def _send(self, task, workers, now_ms):
        """Send a task to one of some workers, if one has room."""
        request = placement.request_of(task, self._fleet, self._zone)
        evacuated = self._cluster_state.operators.evacuated
        found = placement.candidates(workers, request, evacuated, now_ms)
        if not found:
            return False
        chosen = self._place(found, request, now_ms)
        self._desk.send(task, chosen, now_ms, len(found))
        return True
