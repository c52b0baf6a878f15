"""Owners: the entries for which an agent runs attempts.

An owner is one incarnation of an entry. What runs for it is stopped when nothing was
received from it for `contract.SILENCE_TIMEOUT_MS`, on a clock that also counts while
this VM is suspended.

A message that arrives does not tell when it was sent: it may have waited in a buffer
while this VM was suspended. So an owner echoes the times of this agent's messages. It
was alive at the latest time that it has echoed, and waited for its clients' jobs then.
"""

import collections
import dataclasses
import math

from jujubeglade.core import log
from jujubeglade.direct import contract, job, peer_views

#: The number of Ended messages kept for an owner until it has them, in case its link
#: fails.
_MAX_ENDED = 512
#: An owner whose latest echo is older than this counts as lost, if its link is too.
#: The worker lease ends soon after, with all that runs there.
_MAX_ECHO_AGE_MS = 900
#: How long a link stays open at least once its owner is left to other agents.
_RETIREMENT_MS = 1000
#: The weight of one task in the average of what an owner's tasks need.
_TASK_WEIGHT = 0.1

_log = log.get(__name__)


class Owner:
    """One incarnation of an entry, as an agent sees it."""

    __slots__ = (
        "_ended",
        "_largest",
        "_link",
        "_linked_ms",
        "_room_sent_ms",
        "alive_ms",
        "last_begin",
        "last_received_ms",
        "identity",
        "address",
        "configuration_revision",
        "retiring_since_ms",
        "need_received_ms",
        "offered_cpu",
        "offered_until_ms",
        "room_needed_by_ms",
        "silence_ms",
        "task_cpu",
        "views",
    )

    def __init__(self, link, now_ms):
        """Create an owner with an open link.

        Args:
          link: A Link.
          now_ms: A number, the clock that also counts while the VM is suspended.
        """
        self.identity = link.remote
        self.last_received_ms = now_ms
        #: When it was last known to be alive, by its echoes; 0 before the first one.
        self.alive_ms = 0.0
        #: The time between the last two messages.
        self.silence_ms = 0.0
        #: The number of the last Begin received on the link.
        self.last_begin = 0
        #: The address at which it was dialed.
        self.address = ""
        #: Since when it gets no room because other agents serve it; None if it does.
        self.retiring_since_ms = None
        #: The PeerViews of the link.
        self.views = peer_views.PeerViews()
        #: The revision of the Configuration that it has.
        self.configuration_revision = 0
        #: By when it needs room, on the monotonic clock; infinite if it needs none.
        self.room_needed_by_ms = math.inf
        #: When its last Beat arrived, on the monotonic clock.
        self.need_received_ms = now_ms
        #: The free thousandths of a core that it is offered and has not used, and until
        #: when they are held for it, on the monotonic clock; see `offers`.
        self.offered_cpu = 0
        self.offered_until_ms = 0.0
        #: What its tasks need on average, in thousandths of a core; 0 before the first.
        self.task_cpu = 0
        self._link = link
        self._linked_ms = now_ms
        # Pairs of the time of the last Room sent before, and an Ended.
        self._ended = collections.deque(maxlen=_MAX_ENDED)
        self._room_sent_ms = 0.0
        # The largest worker that it has heard of, by service.
        self._largest = {}

    @property
    def link(self):
        """Return the link, which may be closed."""
        return self._link

    @property
    def ended(self):
        """Return the Ended messages that the owner may not have, as a tuple."""
        return tuple(ended for _, ended in self._ended)

    @property
    def is_retiring(self):
        """Return whether other agents serve this owner from now on."""
        return self.retiring_since_ms is not None

    def largest(self, service):
        """Return the most of each resource that a worker of a service has.

        Args:
          service: A string.

        Returns:
          A Resources, as far as the owner has heard.
        """
        return self._largest.get(service, job.NOTHING)

    def relink(self, link, now_ms):
        """Replace the link; messages in flight on the previous one are lost.

        Args:
          link: A Link.
          now_ms: A number, the clock that also counts while the VM is suspended.
        """
        self._link = link
        self._linked_ms = now_ms
        self.last_received_ms = now_ms
        self.last_begin = 0
        self.views = peer_views.PeerViews()
        self.room_needed_by_ms = math.inf

    def note_received(self, now_ms):
        """Record that a message has arrived.

        Args:
          now_ms: A number, the clock that also counts while the VM is suspended.
        """
        self.silence_ms = now_ms - self.last_received_ms
        self.last_received_ms = now_ms

    def is_silent(self, now_ms):
        """Return whether the owner counts as lost.

        Args:
          now_ms: A number, the clock that also counts while the VM is suspended.
        """
        if now_ms - self.last_received_ms > contract.SILENCE_TIMEOUT_MS:
            return True
        return now_ms - max(self.alive_ms, self._linked_ms) > _MAX_ECHO_AGE_MS

    def note_begin(self, begin):
        """Handle a Begin.

        Args:
          begin: A Begin.
        """
        self.last_begin = begin.number
        difference = begin.needs.cpu - self.task_cpu
        self.task_cpu += difference * (_TASK_WEIGHT if self.task_cpu else 1)
        self.offered_cpu = max(0, self.offered_cpu - begin.needs.cpu)
        self.note_echo(begin.echo_ms)

    def note_echo(self, echo_ms):
        """Record an echo of a time of this agent.

        A link delivers in order, so that the owner has all that was sent before the
        Room whose time it echoes.

        Args:
          echo_ms: A number; 0 for none.
        """
        self.alive_ms = max(self.alive_ms, echo_ms)
        while self._ended and self._ended[0][0] < echo_ms:
            self._ended.popleft()

    def note_beat(self, beat, now_ms):
        """Handle a Beat.

        Args:
          beat: A Beat.
          now_ms: A number, the monotonic clock.
        """
        self.views.note(beat.evacuations, beat.members)
        self.configuration_revision = beat.configuration
        if beat.service:
            self._largest[beat.service] = beat.largest
        self.need_received_ms = now_ms
        self.room_needed_by_ms = now_ms + beat.slack_ms
        self.note_echo(beat.echo_ms)

    def send_room(self, room):
        """Send the room of the worker, with what concerns this owner alone.

        Args:
          room: A Room, the same for all owners.
        """
        own_room = dataclasses.replace(
            room,
            accepting=room.accepting and not self.is_retiring,
            last_begin=self.last_begin,
        )
        self._room_sent_ms = room.sent_ms
        self.send(own_room)

    def send(self, body):
        """Send a message, and keep an Ended to send again after a link failure.

        Args:
          body: A message of `contract`.
        """
        if isinstance(body, contract.Ended):
            self._ended.append((self._room_sent_ms, body))
        self._link.send(body)


def retire(owners, unwanted, now_ms):
    """Mark the owners that other agents serve, and unmark the others.

    Args:
      owners: A dict of Owners by incarnation.
      unwanted: A set of addresses.
      now_ms: A number, the clock that also counts while the VM is suspended.
    """
    for owner in owners.values():
        if owner.address not in unwanted:
            owner.retiring_since_ms = None
        elif not owner.is_retiring:
            owner.retiring_since_ms = now_ms


def close_retired(owners, runner, now_ms):
    """Close the links to retiring owners for which nothing runs any more.

    An owner is given time to learn that it gets no more room, so that it has sent no
    attempt when its link closes.

    Args:
      owners: A dict of Owners by incarnation.
      runner: A Runner.
      now_ms: A number, the clock that also counts while the VM is suspended.
    """
    for owner in owners.values():
        if not owner.is_retiring or not owner.link.is_open:
            continue
        has_waited = now_ms - owner.retiring_since_ms > _RETIREMENT_MS
        if has_waited and not runner.runs_for(owner):
            _log.info("owner left to other agents", owner=owner.identity.name)
            owner.link.close()


def drop_silent(owners, runner, now_ms):
    """Stop what runs for silent owners, and forget those for which nothing runs.

    An owner whose attempts are still being stopped is kept: should it be reached again,
    the roster has to list them, or it would take them as never started.

    Args:
      owners: A dict of Owners by incarnation; those that are forgotten are removed.
      runner: A Runner.
      now_ms: A number, the clock that also counts while the VM is suspended.
    """
    for incarnation, owner in list(owners.items()):
        if not owner.is_silent(now_ms):
            continue
        owner.link.abort()
        if runner.drop_owner(owner):
            del owners[incarnation]
