"""The progress of a configuration change, from the store until it is in force.

| status     | meaning                                                               |
|------------|-----------------------------------------------------------------------|
| `recorded` | it is in the store; no majority of the entries has acknowledged it    |
| `accepted` | a majority has it; permits under older revisions expire               |
| `in_force` | no task starts under an older revision any more                       |

A change is in force one permit lifetime after it was accepted. It is not enough that
all agents have applied it earlier: a start that an agent checked under the older
revision may still be on its way to the upstream.

The entry that spreads a change must keep running until a majority has acknowledged it:
an entry that acknowledges the change and then restarts has lost it, and gets it again
from the spreading entry before its votes count.
"""

import asyncio
import enum

from jujubeglade.core import clock, configuration
from jujubeglade.entry import freshness, vote


class Stage(enum.StrEnum):
    """The status of a revision; see the module's table."""

    RECORDED = "recorded"
    ACCEPTED = "accepted"
    IN_FORCE = "in_force"


class Acceptance:
    """The revisions that this entry has recorded as accepted or in force."""

    __slots__ = (
        "_accepted_ms",
        "_ask",
        "_clock",
        "_highest_in_force",
        "_latest",
        "_permit_ms",
        "_voter",
    )

    def __init__(self, voter, latest, entry_clock, ask, permit_ms=freshness.PERMIT_MS):
        """Create a record without any accepted revision.

        Args:
          voter: A Voter, this entry's.
          latest: A LatestDocument.
          entry_clock: A Clock.
          ask: A coroutine function of a peer's name and a message, to a Result of
            the peer's answer.
          permit_ms: An integer, how long a permit lasts; the same at all entries.
        """
        self._voter = voter
        self._latest = latest
        self._permit_ms = permit_ms
        self._clock = entry_clock
        self._ask = ask
        # The time of acceptance by revision, for those that are not yet in force.
        self._accepted_ms = {}
        self._highest_in_force = 0

    async def run(self):
        """Spread each latest document until a majority of the entries has it."""
        while True:
            if self.stage(self._latest.revision) is Stage.RECORDED:
                await self.spread()
            await asyncio.sleep(clock.seconds(freshness.CHECK_INTERVAL_MS))

    async def spread(self):
        """Send the latest document to the other entries and count those that have it.

        Returns:
          A Stage, the status of the document's revision.
        """
        document = self._latest.document
        name = self._voter.name
        question = vote.Question(name, document.revision)
        votes = await vote.ask_all(self._ask, self._voter.others, question)
        outdated_peers = [
            peer for peer in votes if votes[peer].revision < document.revision
        ]
        offer = vote.Offer(name, configuration.dump(document))
        acknowledgements = await vote.ask_all(self._ask, outdated_peers, offer)
        answers = votes | acknowledgements
        holders = [
            peer for peer in answers if answers[peer].revision >= document.revision
        ]
        self._accept_if_majority(document.revision, len(holders) + 1)
        return self.stage(document.revision)

    def stage(self, revision):
        """Return the status of a revision.

        A higher accepted revision includes it, so its status is that one's at least.

        Args:
          revision: An integer, a revision that is in the store.

        Returns:
          A Stage.
        """
        self._update_in_force()
        if revision <= self._highest_in_force:
            return Stage.IN_FORCE
        if any(
            accepted_revision >= revision for accepted_revision in self._accepted_ms
        ):
            return Stage.ACCEPTED
        return Stage.RECORDED

    def _accept_if_majority(self, revision, holder_count):
        """Record a revision as accepted if a majority of the entries has it."""
        if holder_count >= self._voter.majority:
            self._accepted_ms.setdefault(revision, self._clock.now_ms())

    def _update_in_force(self):
        """Mark as in force the revisions accepted at least a permit lifetime ago."""
        cutoff_ms = self._clock.now_ms() - self._permit_ms
        for revision, accepted_ms in list(self._accepted_ms.items()):
            if accepted_ms <= cutoff_ms:
                self._highest_in_force = max(self._highest_in_force, revision)
                del self._accepted_ms[revision]
