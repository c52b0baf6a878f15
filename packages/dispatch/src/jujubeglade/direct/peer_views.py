"""Peer views: the small views that the peer at the other end of a link has.

Heartbeats tell the revisions of the views that their sender has. The receiver sends its
own view if it is newer, once on each link: a link loses nothing while it is open.
"""


class PeerViews:
    """The revisions of the Evacuations and the Members that a peer has or will have."""

    __slots__ = ("_evacuations", "_members")

    def __init__(self):
        """Assume that the peer has no views."""
        self._evacuations = 0
        self._members = 0

    def note(self, evacuations, members):
        """Record the revisions that a message of the peer tells.

        Args:
          evacuations: An integer.
          members: An integer.
        """
        self._evacuations = max(self._evacuations, evacuations)
        self._members = max(self._members, members)

    def send_newer(self, cluster_state, link):
        """Send the peer the views that it lacks.

        Args:
          cluster_state: A ClusterState.
          link: The Link to the peer.
        """
        evacuations = cluster_state.evacuations
        members = cluster_state.members
        if evacuations.revision > self._evacuations:
            link.send(evacuations)
        if members.revision > self._members:
            link.send(members)
        self.note(evacuations.revision, members.revision)
