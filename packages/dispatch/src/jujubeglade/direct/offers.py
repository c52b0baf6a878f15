"""Offers: how much of its worker's free room an agent shows to each owner.

Under overload, an owner that is offered room may no longer need it, as its jobs have
found room elsewhere or have been refused. Without a further offer the room stays idle
until the next announcement, although other owners wait. Room that is shown to all at
once gets attempts from all at once, most of which are refused. This answers a lasting
load of more than the workers can run, at entries that share these workers.

The agent decides for its own worker; see docs/design/offers.md.
"""

import asyncio
import dataclasses
import math

from jujubeglade.core import clock, log
from jujubeglade.core import metrics as metrics_
from jujubeglade.direct import policy

#: An entry answers an offer within this time, or the room is offered to the next one:
#: a round trip between zones and a round of its scheduler.
_ANSWER_MS = 10
#: An owner that is shown a part of the free room is shown as much as this many average
#: tasks need: sizes vary, and a task runs only where all of its needs fit.
_TASKS_PER_SHARE = 2
#: A need that is sooner or later by less than this is the same one: heartbeats repeat
#: it, and their transit times vary. It is below the margin at which entries announce a
#: change (`heartbeats`).
_SAME_NEED_MS = 10
#: Offers are logged at most once in this time by an agent.
_LOG_INTERVAL_MS = 1000

_log = log.get(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """What an agent knows of an owner's need of room.

    Attributes:
      owner: A string, the owner's incarnation.
      needed_by_ms: A number, by when it needs room, on the monotonic clock; infinite if
        it needs none.
      was_offered: A boolean, whether the present room was offered to it.
    """

    owner: str
    needed_by_ms: float
    was_offered: bool


@policy.choice("offers", "soonest_need")
def soonest_need(needs):
    """Choose the owner that needs room soonest and wasn't offered the present room.

    Args:
      needs: An iterable of Needs of the owners that can be reached.

    Returns:
      A Need, or None for no offer.
    """
    open_needs = [
        need for need in needs if not need.was_offered and need.needed_by_ms < math.inf
    ]
    return min(open_needs, key=lambda need: need.needed_by_ms, default=None)


@policy.choice("offers", "none")
def none(needs):
    """Offer left room to no owner, so that it is announced later: the baseline."""


def count_shares(free_cpu, task_cpu, owners):
    """Return to how many owners room that none waits for is shown at a time.

    Args:
      free_cpu: A number, the free thousandths of a core.
      task_cpu: A number, what a task needs on average; 0 if that isn't known.
      owners: An integer, the number of owners.

    Returns:
      An integer from 1 to `owners`.
    """
    if not task_cpu:
        return owners
    return min(owners, max(1, int(free_cpu // (_TASKS_PER_SHARE * task_cpu))))


def in_turn(needs, turn):
    """Order owners by who is shown a share of room first.

    Those that wait come first, the soonest need before others; those that don't wait
    follow in turn, so that each sees the worker's room at some time.

    Args:
      needs: A sequence of Needs.
      turn: An integer, the number of shares shown so far.

    Returns:
      A list of the owners' incarnations.
    """
    waiting = [need for need in needs if need.needed_by_ms < math.inf]
    waiting.sort(key=lambda need: need.needed_by_ms)
    idle = [need for need in needs if need.needed_by_ms == math.inf]
    start = turn % len(idle) if idle else 0
    return [need.owner for need in waiting + idle[start:] + idle[:start]]


class Offers:
    """The room of one worker that is offered to some owners and not to others.

    All of it is soft state: a Begin is admitted by the worker's room alone, whether or
    not that room was offered to its owner.
    """

    __slots__ = (
        "_choose",
        "_clock",
        "_describe",
        "_logged_ms",
        "_metrics",
        "_offered",
        "_owners",
        "_timer",
        "_turn",
        "_unlogged",
        "_viewers",
    )

    def __init__(self, clock, owners, describe, metrics):
        """Create offers, none of which is open.

        Args:
          clock: A Clock.
          owners: A dict of Owners by incarnation.
          describe: A function without arguments that returns the Room.
          metrics: A Metrics.
        """
        self._clock = clock
        self._owners = owners
        self._describe = describe
        self._metrics = metrics
        self._choose = policy.find("offers", "soonest_need")
        # The incarnations of the owners that the present room was offered to.
        self._offered = set()
        # The incarnations of those that are shown a share; None if all see all.
        self._viewers = None
        # The number of shares shown so far, so that owners get them in turn.
        self._turn = 0
        # Fires when the last offer has not been answered.
        self._timer = None
        self._logged_ms = -math.inf
        self._unlogged = 0

    def on_freed(self, first):
        """Open an offer of room that an ended attempt has freed.

        Args:
          first: An Owner, that which needs the room soonest.
        """
        self._offered.clear()
        self._open(first, "freed")

    def on_need(self, owner, previous_need_ms):
        """Offer free room after an owner has told of its need.

        Args:
          owner: An Owner.
          previous_need_ms: A number, by when it needed room before.
        """
        if owner.room_needed_by_ms - previous_need_ms > _SAME_NEED_MS:
            if owner.identity.incarnation in self._offered:
                owner.offered_until_ms = 0.0
                self._offer_to_next("declined")
        elif previous_need_ms - owner.room_needed_by_ms > _SAME_NEED_MS:
            # The owner weighed the offer for work that could wait longer, or for none.
            self._offered.discard(owner.identity.incarnation)
            if self._timer is None:
                self._offer_to_next("needed")

    def announced(self, room):
        """Choose what each owner is shown at an announcement.

        Args:
          room: A Room, with all free resources of the worker.

        Returns:
          A list of pairs of an Owner and a Room.
        """
        if self._timer is None:
            # The room may have grown without the end of an attempt, as when the worker
            # accepts attempts again; it would be shown to none of those that wait.
            self._open_next("announced", room)
        self._divide(room.free.cpu)
        is_awaited = self._is_awaited()
        return [
            (owner, self._visible(owner, room, is_awaited))
            for owner in self._owners.values()
        ]

    def shown(self, owner, room):
        """Return the room as one owner is shown it.

        Args:
          owner: An Owner.
          room: A Room, with all free resources of the worker.

        Returns:
          A Room.
        """
        return self._visible(owner, room, self._is_awaited())

    def _divide(self, free_cpu):
        """Choose the owners that are shown a share of room that no owner waits for."""
        needs = list(self._needs())
        count = count_shares(free_cpu, self._task_cpu(), len(needs))
        if count >= len(needs):
            self._viewers = None
            return
        self._viewers = set(in_turn(needs, self._turn)[:count])
        self._turn += count

    def _is_awaited(self):
        """Return whether an owner waits that the present room was not offered to."""
        return self._choose(self._needs()) is not None

    def _visible(self, owner, room, is_awaited):
        free_cpu = room.free.cpu
        visible_cpu = self._visible_cpu(owner, free_cpu, is_awaited)
        # The free room is negative while a worker that has shrunk runs too much.
        withheld_cpu = max(0, free_cpu - visible_cpu)
        return dataclasses.replace(room, withheld_cpu=withheld_cpu)

    def _visible_cpu(self, owner, free_cpu, is_awaited):
        is_offered = self._is_open(owner)
        left_cpu = free_cpu - self._held_cpu(owner)
        if left_cpu <= 0 or (is_awaited and not is_offered):
            return 0
        if is_offered or self._viewers is None:
            return left_cpu
        if owner.identity.incarnation not in self._viewers:
            return 0
        return left_cpu // len(self._viewers)

    def _is_open(self, owner):
        return self._clock.now_ms() < owner.offered_until_ms

    def _held_cpu(self, owner):
        """Return how much of the free room is offered to others than an owner."""
        return sum(
            other.offered_cpu
            for other in self._owners.values()
            if other is not owner and self._is_open(other)
        )

    def _open(self, owner, cause):
        free_cpu = self._describe().free.cpu
        self._offered.add(owner.identity.incarnation)
        owner.offered_cpu = max(0, free_cpu - self._held_cpu(owner))
        self._metrics.count(metrics_.Counter.OFFERED, cause)
        if self._timer is not None:
            if self._is_open(owner):
                # The time-out isn't extended: if attempts end at shorter intervals, an
                # owner that doesn't answer would keep the room idle.
                return
            self._timer.cancel()
        owner.offered_until_ms = self._clock.now_ms() + _ANSWER_MS
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(clock.seconds(_ANSWER_MS), self._on_unanswered)

    def _on_unanswered(self):
        self._timer = None
        self._offer_to_next("unanswered")

    def _offer_to_next(self, cause):
        """Send the free room to the next owner that waits for room."""
        room = self._describe()
        owner = self._open_next(cause, room)
        if owner is not None:
            owner.send_room(self.shown(owner, room))

    def _open_next(self, cause, room):
        """Open an offer to the next owner that waits for room.

        Returns:
          An Owner; None if no offer is opened.
        """
        need = self._choose(self._needs())
        if need is None or not room.accepting:
            return None
        owner = self._owners[need.owner]
        if room.free.cpu <= self._held_cpu(owner):
            return None
        self._open(owner, cause)
        self._log_offer(owner, cause, room)
        return owner

    def _log_offer(self, owner, cause, room):
        now_ms = self._clock.now_ms()
        self._unlogged += 1
        if now_ms - self._logged_ms < _LOG_INTERVAL_MS:
            return
        _log.info(
            "room offered",
            owner=owner.identity.name,
            cause=cause,
            free_cpu=room.free.cpu,
            offered_cpu=owner.offered_cpu,
            slack_ms=int(owner.room_needed_by_ms - now_ms),
            beat_age_ms=int(now_ms - owner.need_received_ms),
            asked=len(self._offered),
            since_last=self._unlogged,
        )
        self._logged_ms = now_ms
        self._unlogged = 0

    def _needs(self):
        return [
            Need(incarnation, owner.room_needed_by_ms, incarnation in self._offered)
            for incarnation, owner in self._owners.items()
            if owner.link.is_open and not owner.is_retiring
        ]

    def _task_cpu(self):
        known = [owner.task_cpu for owner in self._owners.values() if owner.task_cpu]
        return sum(known) / len(known) if known else 0
