"""Cluster state: the operators' state and the entries, as this process received them.

Each view is complete at one revision of the store and is replaced only by a view of a
higher revision, so that a process never goes back to an older one. Views come from the
process's own watch of the store and from its peers, so that a process that can't use
the store gets them too.
"""

from jujubeglade.core import log
from jujubeglade.direct import contract, route

_log = log.get(__name__)


class ClusterState:
    """The newest views that one process has."""

    __slots__ = ("_subscribers", "_views")

    def __init__(self):
        """Create a cluster state without views."""
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
        """Replace the current view if the given one is newer.

        Args:
          view: An OperatorState or a Members.
          source: A string, the origin of the view, for the log.

        Returns:
          A boolean, whether the view was replaced.
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
          revision: An integer, the revision of the peer's OperatorState.
          members: An integer, the revision of the peer's Members.

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
