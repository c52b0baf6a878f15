"""How fresh an entry's view of the configuration is, and the permits it may grant.

A confirmation says that no change accepted before a certain time is missing here: a
read of the store that began at that time, or, while the store is silent, an agreement
of a majority of the entries that was begun then. For `PERMIT_MS` after that time the
entry may grant permits under the revision it holds::

    freshness.permit(clock.now_ms())    # Permit(revision=12, remaining_ms=1650.0)

Any later majority holds an entry that acknowledged an accepted change. An entry that
alone has lost the store therefore learns of the change from whoever it asks, or finds
no majority and lets its permits run out.
"""

import asyncio
import dataclasses

from jujubeglade.core import clock, log
from jujubeglade.entry import vote

PERMIT_MS = 2500
HEARTBEAT_MS = 500
_STORE_LATE_MS = 1100

_log = log.get(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class Permit:
    """A right to start tasks.

    Attributes:
      revision: An integer, the configuration to start them under.
      remaining_ms: A number; the agent counts it from the moment it asked. 0 is no
        permit.
    """

    revision: int
    remaining_ms: float


class Freshness:
    """The last confirmation of one entry's view."""

    __slots__ = (
        "_ask",
        "_clock",
        "_confirmed_ms",
        "_fetch",
        "_latest",
        "_permit_ms",
        "_voter",
    )

    def __init__(self, voter, latest, a_clock, ask, fetch, permit_ms=PERMIT_MS):
        """Start unconfirmed.

        Args:
          voter: A Voter, this entry's.
          latest: A LatestDocument.
          a_clock: A Clock.
          ask: A coroutine function of a peer's name and a message, to a Result of
            the peer's answer.
          fetch: A coroutine function of a peer's name, to a Result of the highest
            Document that the peer holds; see `vote.fetcher`.
          permit_ms: An integer, how long a permit lasts; the same at all entries.
        """
        self._voter = voter
        self._latest = latest
        self._clock = a_clock
        self._ask = ask
        self._fetch = fetch
        self._permit_ms = permit_ms
        self._confirmed_ms = None

    @property
    def confirmed_ms(self):
        """When the last confirmation was begun; None before the first one."""
        return self._confirmed_ms

    def permit(self, now_ms):
        """Tell what permit may be granted.

        Args:
          now_ms: A number, the clock's reading.

        Returns:
          A Permit.
        """
        remaining_ms = 0
        if self._confirmed_ms is not None:
            remaining_ms = max(0, self._confirmed_ms + self._permit_ms - now_ms)
        return Permit(self._latest.revision, remaining_ms)

    def on_store_read(self, begin_ms):
        """Note a read of the store, whose document was taken.

        Args:
          begin_ms: A number, when the read began.
        """
        self._voter.on_store_read()
        self._confirm(begin_ms)

    async def run(self):
        """Ask the other entries in each heartbeat in which the store is late."""
        while True:
            await asyncio.sleep(clock.seconds(HEARTBEAT_MS))
            if self.confirmation_is_stale():
                await self.confirm_by_majority()

    def confirmation_is_stale(self):
        """Tell whether the last confirmation has grown old.

        Returns:
          A boolean.
        """
        if self._confirmed_ms is None:
            return True
        return self._clock.now_ms() - self._confirmed_ms >= _STORE_LATE_MS

    async def confirm_by_majority(self):
        """Seek the agreement of a majority of the entries.

        Returns:
          A boolean, whether the view is confirmed.
        """
        begin_ms = self._clock.now_ms()
        votes = await self._votes()
        if len(votes) < self._voter.majority:
            _log.debug("no majority", votes=len(votes))
            return False
        if not await self._catch_up(votes):
            return False
        self._voter.heard(votes)
        self._confirm(begin_ms)
        return True

    async def _votes(self):
        """Collect the votes that count, with this entry's own.

        Returns:
          A dict from the name of an entry to its Vote.
        """
        name = self._voter.name
        question = vote.Question(name, self._latest.revision)
        votes = await vote.ask_all(self._ask, self._voter.others, question)
        votes[name] = self._voter.vote()
        return {voter: cast for voter, cast in votes.items() if cast.counts}

    async def _catch_up(self, votes):
        """Take the highest document among the votes.

        Args:
          votes: A dict from the name of an entry to its Vote.

        Returns:
          A boolean, whether this entry now holds at least the highest revision.
        """
        holder = max(votes, key=lambda voter: votes[voter].revision)
        highest = votes[holder].revision
        if highest > self._latest.revision:
            answer = await vote.bounded(self._fetch(holder))
            if answer.is_ok():
                self._latest.offer(answer.ok_value)
        return self._latest.revision >= highest

    def _confirm(self, begin_ms):
        """Keep the latest confirmation."""
        if self._confirmed_ms is None or begin_ms > self._confirmed_ms:
            self._confirmed_ms = begin_ms
