"""How recently an entry's configuration was confirmed, and the permits it may grant.

A confirmation for a time T guarantees that this entry has every change that was
accepted before T. The entry confirms its configuration by a read of the store or, while
the store does not answer, by the votes of a majority of the entries; T is the time at
which the read or the vote started. For `PERMIT_MS` after T the entry may grant permits
under the revision it has::

    freshness.permit(clock.now_ms())    # Permit(revision=12, remaining_ms=1650.0)

Every majority includes at least one entry that acknowledged an accepted change. If one
entry can't reach the store while the others can, it therefore gets the change from one
of the entries that it asks, or it finds no majority and its permits expire.
"""

import asyncio
import dataclasses

from jujubeglade.core import clock, log
from jujubeglade.entry import vote

PERMIT_MS = 2500
CHECK_INTERVAL_MS = 500
_STALE_CONFIRMATION_MS = 1100

_log = log.get(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class Permit:
    """A right to start tasks.

    Attributes:
      revision: An integer, the revision of the configuration to start them under.
      remaining_ms: A number, how long the permit lasts; the agent counts it from the
        time at which it asked. 0 means no permit.
    """

    revision: int
    remaining_ms: float


class Freshness:
    """The last confirmation of one entry's configuration."""

    __slots__ = (
        "_ask",
        "_clock",
        "_confirmed_ms",
        "_fetch",
        "_latest",
        "_permit_ms",
        "_voter",
    )

    def __init__(self, voter, latest, entry_clock, ask, fetch, permit_ms=PERMIT_MS):
        """Create the state of an entry that has not confirmed anything yet.

        Args:
          voter: A Voter, this entry's.
          latest: A LatestDocument.
          entry_clock: A Clock.
          ask: A coroutine function of a peer's name and a message, to a Result of
            the peer's answer.
          fetch: A coroutine function of a peer's name, to a Result of the Document
            of the highest revision that the peer has; see `vote.fetcher`.
          permit_ms: An integer, how long a permit lasts; the same at all entries.
        """
        self._voter = voter
        self._latest = latest
        self._clock = entry_clock
        self._ask = ask
        self._fetch = fetch
        self._permit_ms = permit_ms
        self._confirmed_ms = None

    @property
    def confirmed_ms(self):
        """The time at which the last confirmation started; None before the first."""
        return self._confirmed_ms

    def permit(self, now_ms):
        """Return the permit that may be granted now.

        Args:
          now_ms: A number, the current time of the clock.

        Returns:
          A Permit.
        """
        remaining_ms = 0
        if self._confirmed_ms is not None:
            remaining_ms = max(0, self._confirmed_ms + self._permit_ms - now_ms)
        return Permit(self._latest.revision, remaining_ms)

    def on_store_read(self, begin_ms):
        """Confirm the configuration by a read of the store.

        The document that was read has been offered to the LatestDocument before.

        Args:
          begin_ms: A number, the time at which the read started.
        """
        self._voter.on_store_read()
        self._confirm(begin_ms)

    async def run(self):
        """Check the confirmation periodically; ask the other entries if it is stale."""
        while True:
            await asyncio.sleep(clock.seconds(CHECK_INTERVAL_MS))
            if self.confirmation_is_stale():
                await self.confirm_by_majority()

    def confirmation_is_stale(self):
        """Tell whether the last confirmation is so old that peers must be asked.

        Returns:
          A boolean; true before the first confirmation.
        """
        if self._confirmed_ms is None:
            return True
        return self._clock.now_ms() - self._confirmed_ms >= _STALE_CONFIRMATION_MS

    async def confirm_by_majority(self):
        """Confirm the configuration by the votes of a majority of the entries.

        Returns:
          A boolean, whether it was confirmed.
        """
        begin_ms = self._clock.now_ms()
        votes = await self._collect_votes()
        if len(votes) < self._voter.majority:
            _log.debug("no majority", votes=len(votes))
            return False
        if not await self._catch_up(votes):
            return False
        self._voter.record_votes(votes)
        self._confirm(begin_ms)
        return True

    async def _collect_votes(self):
        """Collect the votes that count, including this entry's own.

        Returns:
          A dict from the name of an entry to its Vote.
        """
        name = self._voter.name
        question = vote.Question(name, self._latest.revision)
        votes = await vote.ask_all(self._ask, self._voter.others, question)
        votes[name] = self._voter.vote()
        return {
            voter: cast_vote for voter, cast_vote in votes.items() if cast_vote.counts
        }

    async def _catch_up(self, votes):
        """Fetch the document of the highest revision among the votes.

        Args:
          votes: A dict from the name of an entry to its Vote.

        Returns:
          A boolean, whether this entry now has at least the highest revision.
        """
        holder = max(votes, key=lambda voter: votes[voter].revision)
        highest_revision = votes[holder].revision
        if highest_revision > self._latest.revision:
            answer = await vote.with_timeout(self._fetch(holder))
            if answer.is_ok():
                self._latest.offer(answer.ok_value)
        return self._latest.revision >= highest_revision

    def _confirm(self, begin_ms):
        """Record a confirmation unless a later one is recorded."""
        if self._confirmed_ms is None or begin_ms > self._confirmed_ms:
            self._confirmed_ms = begin_ms
