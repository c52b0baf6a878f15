"""Cluster state: what this process knows of the operators' will and of the entries.

Each view is complete at one revision of the store and is replaced only by a view of a
higher revision, so that a process never goes back to an older one. Views come from the
process's own watch of the store and from its peers, so that a process that can't use
the store gets them too: peers exchange evacuations and members with their heartbeats
(`peer_views`), at once when a zone has been evacuated, and an entry requests the
configuration from another entry (`configuration_fetch`).
"""

from jujubeglade.core import log
from jujubeglade.direct import contract, route

_log = log.get(__name__)


class UnexpectedMessageError(ValueError):
    """A peer sent a message that this process has no use for.

    The link is closed, as with any peer that breaks the protocol.
    """

    def __init__(self, name, source):
        """Describe it.

        Args:
          name: A string, the class of the message.
          source: A string, who sent it.
        """
        super().__init__(
            f"{source} sent a {name}; run the same version of jujubeglade on both sides"
        )


class ClusterState:
    """The newest views that one process has."""

    __slots__ = ("_subscribers", "_views")

    def __init__(self):
        """Create a cluster state without views."""
        self._views = {
            route.Configuration: route.NO_CONFIGURATION,
            route.Evacuations: route.NO_EVACUATIONS,
            contract.Members: contract.NO_MEMBERS,
        }
        self._subscribers = []

    @property
    def configuration(self):
        """Return the newest Configuration; `route.NO_CONFIGURATION` without one."""
        return self._views[route.Configuration]

    @property
    def evacuations(self):
        """Return the newest Evacuations; `route.NO_EVACUATIONS` without any."""
        return self._views[route.Evacuations]

    @property
    def members(self):
        """Return the newest Members."""
        return self._views[contract.Members]

    def subscribe(self, function):
        """Call a function with the view after each change of what a view says."""
        self._subscribers.append(function)

    def offer(self, view, source):
        """Replace the current view if the given one is newer.

        Args:
          view: A Configuration, an Evacuations or a Members.
          source: A string, the origin of the view, for the log.

        Returns:
          A boolean, whether the view was replaced.

        Raises:
          UnexpectedMessageError: A peer sent what is no view.
        """
        kind = type(view)
        former = self._views.get(kind)
        if former is None:
            raise UnexpectedMessageError(kind.__name__, source)
        if view.revision <= former.revision:
            return False
        self._views[kind] = view
        if _are_same_evacuations(former, view):
            # Each read of the store has the revision of that moment.
            return True
        _log_view[kind](view, source)
        for function in self._subscribers:
            function(view)
        return True


def _are_same_evacuations(former, view):
    if not isinstance(view, route.Evacuations) or former is route.NO_EVACUATIONS:
        return False
    return former.zones == view.zones


def _log_configuration(view, source):
    _log.info(
        "configuration applied",
        revision=view.revision,
        version=view.version,
        routes=len(view.routes),
        source=source,
    )


def _log_evacuations(view, source):
    _log.info(
        "evacuations applied",
        revision=view.revision,
        zones=",".join(view.zones),
        source=source,
    )


def _log_members(view, source):
    _log.info(
        "entries changed",
        revision=view.revision,
        count=len(view.addresses),
        source=source,
    )


_log_view = {
    route.Configuration: _log_configuration,
    route.Evacuations: _log_evacuations,
    contract.Members: _log_members,
}


def new_cluster_state():
    """Make the cluster state of a process that has just started.

    Returns:
      A ClusterState.
    """
    return ClusterState()
