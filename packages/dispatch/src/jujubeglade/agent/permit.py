"""The permit under which this agent starts tasks.

Entries grant permits in answer to heartbeats. A permit says that until it ends no
accepted change above its revision can be in force. It therefore serves an agent
that has applied that revision or a higher one, and the latest end counts. The
configuration itself says whether this agent's zone or worker is drained.
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
        """Start with no permit.

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
        """Apply a configuration unless a higher revision is held.

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
        """Take a permit an entry granted.

        Args:
          permit: A member.Permit.
        """
        if permit.revision <= self.revision:
            ends_ms = permit.sent_ms + permit.remaining_ms
            self._ends_ms = max(self._ends_ms, ends_ms)

    def remaining_ms(self):
        """Tell how long starts are permitted, in ms; 0 when they are not."""
        return max(0, int(self._ends_ms - self._clock.now_ms()))

    def missing_ms(self):
        """Tell for how long no start has been permitted, in ms; 0 when one is."""
        return max(0, int(self._clock.now_ms() - self._ends_ms))

    def is_drained(self, zone, name):
        """Tell whether a zone or a worker is out of service.

        Args:
          zone: A string, an availability zone.
          name: A string, the name of an agent.
        """
        return zone in self._drained_zones or name in self._drained_workers

    def refusal(self):
        """Tell why nothing may start here.

        Returns:
          A Reject, or None when starts are permitted.
        """
        if self.is_drained(self._identity.zone, self._identity.name):
            return contract.Reject.DRAINED
        if self.remaining_ms() == 0:
            return contract.Reject.NO_PERMIT
        return None
