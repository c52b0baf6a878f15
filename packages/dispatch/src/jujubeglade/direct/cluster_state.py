"""Cluster state: the newest that this process knows of the operators and the entries.

Each view is complete at one revision of the store, and only a higher revision
replaces it; a process therefore never falls back. Views come from the process's own
watch of the store and from its peers, so that a process which the store turns away
learns them all the same.
"""

from jujubeglade.core import log
from jujubeglade.direct import contract, route

_log = log.get(__name__)


class ClusterState:
    """What one process holds."""

    __slots__ = ("_subscribers", "_views")

    def __init__(self):
        """Start with no view at all."""
        self._views = {
            route.OperatorState: route.NO_STATE,
            contract.Members: contract.NO_MEMBERS,
        }
        self._subscribers = []

    @property
    def operators(self):
        """Return the newest OperatorState."""
        return self._views[route.OperatorState]

    @property
    def members(self):
        """Return the newest Members."""
        return self._views[contract.Members]

    def subscribe(self, function):
        """Call a function without arguments after each change."""
        self._subscribers.append(function)

    def offer(self, view, source):
        """Take a view over if it is newer than the one held.

        Args:
          view: An OperatorState or a Members.
          source: A string, where it comes from, for the log.

        Returns:
          A boolean, whether it was taken.
        """
        kind = type(view)
        if view.revision <= self._views[kind].revision:
            return False
        self._views[kind] = view
        if kind is route.OperatorState:
            self._log_operators(view, source)
        else:
            count = len(view.addresses)
            _log.info("entries changed", revision=view.revision, count=count)
        for function in self._subscribers:
            function()
        return True

    def newer_than(self, revision, members):
        """List the views that a peer lacks.

        Args:
          revision: An integer, of the peer's OperatorState.
          members: An integer, of the peer's Members.

        Returns:
          A list of messages.
        """
        views = []
        if self.operators.revision > revision:
            views.append(self.operators)
        if self.members.revision > members:
            views.append(self.members)
        return views

    def _log_operators(self, view, source):
        configuration = view.configuration
        _log.info(
            "operator state applied",
            revision=view.revision,
            version=configuration.version if configuration else 0,
            evacuated=",".join(view.evacuated),
            source=source,
        )


def new_cluster_state():
    """Make the cluster state of a process that has just started.

    Returns:
      A ClusterState.
    """
    return ClusterState()
