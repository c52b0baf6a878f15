"""How far a change of the configuration has come.

| status     | meaning                                                               |
|------------|-----------------------------------------------------------------------|
| `recorded` | it is in the store; no majority of the entries has acknowledged it    |
| `accepted` | a majority holds it; permits under older revisions run out            |
| `in_force` | no task starts under an older revision any more                       |

A change is in force `freshness.PERMIT_MS` after it was accepted. It is so earlier if
all agents concerned have acknowledged it *and* every entry holds it: until then an
agent that restarts could still get an older permit from an entry that was cut off.

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
        "_held_by_all",
        "_in_force",
        "_latest",
        "_voter",
    )

    def __init__(self, voter, latest, a_clock, ask):
        """Start without any accepted revision.

        Args:
          voter: A Voter, this entry's.
          latest: A Latest.
          a_clock: A Clock.
          ask: A coroutine function of a peer's name and a message, to a Result of
            the peer's answer.
        """
        self._voter = voter
        self._latest = latest
        self._clock = a_clock
        self._ask = ask
        # Accepted revisions that are not yet in force, with the time of acceptance.
        self._accepted = {}
        self._in_force = 0
        self._held_by_all = 0

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
        self._count(document.revision, len(holders) + 1)
        return self.stage(document.revision)

    def agents_acknowledged(self, revision):
        """Note that all agents concerned apply a revision or a higher one.

        Args:
          revision: An integer.
        """
        if revision <= self._held_by_all:
            self._in_force = max(self._in_force, revision)

    def stage(self, revision):
        """Tell how far a revision has come; a higher one speaks for it too.

        Args:
          revision: An integer, one that is in the store.

        Returns:
          A Stage.
        """
        self._age()
        if revision <= self._in_force:
            return Stage.IN_FORCE
        if any(accepted >= revision for accepted in self._accepted):
            return Stage.ACCEPTED
        return Stage.RECORDED

    def _count(self, revision, holders):
        """Note how many entries hold a revision, this one among them."""
        if holders >= self._voter.majority:
            self._accepted.setdefault(revision, self._clock.now_ms())
        if holders == len(self._voter.others) + 1:
            self._held_by_all = max(self._held_by_all, revision)

    def _age(self):
        """Move the revisions whose older permits have run out."""
        over_ms = self._clock.now_ms() - freshness.PERMIT_MS
        for revision, accepted_ms in list(self._accepted.items()):
            if accepted_ms <= over_ms:
                self._in_force = max(self._in_force, revision)
                del self._accepted[revision]
