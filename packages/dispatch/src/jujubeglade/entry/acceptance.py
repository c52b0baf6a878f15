"""How far a change of the configuration has come.

| status     | meaning                                                               |
|------------|-----------------------------------------------------------------------|
| `recorded` | it is in the store; no majority of the entries has acknowledged it    |
| `accepted` | a majority holds it; permits under older revisions run out            |
| `in_force` | no task starts under an older revision any more                       |

A change is in force the time of a permit after it was accepted. That all agents apply
it earlier is not enough: a start that one of them checked under the older revision may
still be on its way to its upstream.

The entry that spreads a change must live until the majority is complete: an entry that
acknowledges and restarts hears from this one before its votes count again.
"""

import asyncio
import enum

from jujubeglade.core import clock, configuration
from jujubeglade.entry import freshness, vote


class Stage(enum.StrEnum):
    """How far a revision has come; see the module's table."""

    RECORDED = "recorded"
    ACCEPTED = "accepted"
    IN_FORCE = "in_force"


class Acceptance:
    """The revisions that this entry knows to be accepted or in force."""

    __slots__ = (
        "_accepted",
        "_ask",
        "_clock",
        "_in_force",
        "_latest",
        "_permit_ms",
        "_voter",
    )

    def __init__(self, voter, latest, a_clock, ask, permit_ms=freshness.PERMIT_MS):
        """Start without any accepted revision.

        Args:
          voter: A Voter, this entry's.
          latest: A LatestDocument.
          a_clock: A Clock.
          ask: A coroutine function of a peer's name and a message, to a Result of
            the peer's answer.
          permit_ms: An integer, how long a permit lasts; the same at all entries.
        """
        self._voter = voter
        self._latest = latest
        self._permit_ms = permit_ms
        self._clock = a_clock
        self._ask = ask
        # Accepted revisions that are not yet in force, with the time of acceptance.
        self._accepted = {}
        self._in_force = 0

    async def run(self):
        """Spread the latest document until a majority holds it, and each later one."""
        while True:
            if self.stage(self._latest.revision) is Stage.RECORDED:
                await self.spread()
            await asyncio.sleep(clock.seconds(freshness.HEARTBEAT_MS))

    async def spread(self):
        """Bring the latest document to the other entries and count who holds it.

        Returns:
          A Stage, that of the document's revision.
        """
        document = self._latest.document
        name = self._voter.name
        question = vote.Question(name, document.revision)
        votes = await vote.ask_all(self._ask, self._voter.others, question)
        behind = [peer for peer in votes if votes[peer].revision < document.revision]
        offer = vote.Offer(name, configuration.dump(document))
        taken = await vote.ask_all(self._ask, behind, offer)
        held = votes | taken
        holders = [peer for peer in held if held[peer].revision >= document.revision]
        self._record_holders(document.revision, len(holders) + 1)
        return self.stage(document.revision)

    def stage(self, revision):
        """Tell how far a revision has come; a higher one speaks for it too.

        Args:
          revision: An integer, one that is in the store.

        Returns:
          A Stage.
        """
        self._update_in_force()
        if revision <= self._in_force:
            return Stage.IN_FORCE
        if any(accepted >= revision for accepted in self._accepted):
            return Stage.ACCEPTED
        return Stage.RECORDED

    def _record_holders(self, revision, holders):
        """Note how many entries hold a revision, this one among them."""
        if holders >= self._voter.majority:
            self._accepted.setdefault(revision, self._clock.now_ms())

    def _update_in_force(self):
        """Move the revisions whose older permits have run out."""
        over_ms = self._clock.now_ms() - self._permit_ms
        for revision, accepted_ms in list(self._accepted.items()):
            if accepted_ms <= over_ms:
                self._in_force = max(self._in_force, revision)
                del self._accepted[revision]
