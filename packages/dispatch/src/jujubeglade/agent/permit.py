"""The permit under which this agent starts tasks.

Entries grant permits in answer to heartbeats. A permit guarantees that until it ends
no accepted change above its revision can be in force. It is therefore valid for an
agent that has applied that revision or a higher one; of several permits the one that
ends last counts. The configuration determines whether this agent's zone or worker is
drained.
"""

import json

from jujubeglade.core import contract


class Permits:
    """The permit and the configuration in force at one agent."""

    __slots__ = (
        "_clock",
        "_drained_workers",
        "_drained_zones",
        "_ends_ms",
        "_identity",
        "document",
        "revision",
    )

    def __init__(self, clock, identity):
        """Create an object without a permit and a configuration.

        Args:
          clock: A Clock.
          identity: An Identity, of this agent.
        """
        self._clock = clock
        self._identity = identity
        self._ends_ms = 0.0
        self._drained_zones = frozenset()
        self._drained_workers = frozenset()
        self.revision = 0
        self.document = {}

    def apply(self, configuration):
        """Apply a configuration unless the same or a higher revision is in force.

        Args:
          configuration: A member.Configuration.

        Returns:
          A boolean, whether it was applied.
        """
        if configuration.revision <= self.revision:
            return False
        document = json.loads(configuration.document)
        self.document = document
        self._drained_zones = frozenset(document.get("drained_zones", ()))
        self._drained_workers = frozenset(document.get("drained_workers", ()))
        self.revision = configuration.revision
        return True

    def grant(self, permit):
        """Add a permit that an entry granted.

        Args:
          permit: A member.Permit.
        """
        if permit.revision <= self.revision:
            ends_ms = permit.sent_ms + permit.remaining_ms
            self._ends_ms = max(self._ends_ms, ends_ms)

    def remaining_ms(self):
        """Return how long starts are still permitted, in ms; 0 when they are not."""
        return max(0, int(self._ends_ms - self._clock.now_ms()))

    def expired_for_ms(self):
        """Return for how long no start has been permitted, in ms; 0 if one is now."""
        return max(0, int(self._clock.now_ms() - self._ends_ms))

    def is_drained(self, zone, name):
        """Return whether a zone or a worker is drained.

        Args:
          zone: A string, an availability zone.
          name: A string, the name of an agent.
        """
        return zone in self._drained_zones or name in self._drained_workers

    def refusal(self):
        """Return why nothing may start here.

        Returns:
          A RejectReason, or None when starts are permitted.
        """
        if self.is_drained(self._identity.zone, self._identity.name):
            return contract.RejectReason.DRAINED
        if self.remaining_ms() == 0:
            return contract.RejectReason.NO_PERMIT
        return None
