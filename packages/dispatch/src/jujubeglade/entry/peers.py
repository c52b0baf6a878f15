"""The links between entries, on which they agree on the configuration.

Each entry dials every other entry named in the settings, and sends its requests on the
link that it dialed. The requests and answers are those of `vote`.
"""

import asyncio
import collections

import result

from jujubeglade.core import clock, link, problem
from jujubeglade.entry import vote

_REDIAL_INTERVAL_MS = 300
_MAX_UNANSWERED = 2


class Peers:
    """The links of one entry to all other entries."""

    __slots__ = (
        "_addresses",
        "_cluster_key",
        "_identity",
        "_links",
        "_unanswered",
        "_voter",
    )

    def __init__(self, identity, cluster_key, addresses, voter):
        """Create a set of peers without links; `run` dials them.

        Args:
          identity: An Identity, of this entry.
          cluster_key: Bytes.
          addresses: A sequence of EntryAddresses, of all other entries.
          voter: A vote.Voter.
        """
        self._identity = identity
        self._cluster_key = cluster_key
        self._addresses = addresses
        self._voter = voter
        self._links = {}
        # The number of consecutive requests without an answer, by entry name.
        self._unanswered = collections.Counter()

    async def run(self):
        """Keep a link open to every other entry."""
        async with asyncio.TaskGroup() as tasks:
            for address in self._addresses:
                tasks.create_task(self._keep_link(address))

    async def ask(self, name, request):
        """Send a request to another entry.

        Args:
          name: A string, the name of the entry.
          request: A request of `vote`, or an audit.Ask.

        Returns:
          A Result of the answer's body, or of a Problem.
        """
        peer_link = self._links.get(name)
        if peer_link is None:
            return result.Err(_not_connected(name))
        answer = await peer_link.ask(request, vote.ANSWER_TIMEOUT_MS)
        self._count_unanswered(name, peer_link, answer)
        return answer

    async def ask_records(self, request):
        """Ask all other entries for records that may not be stored yet.

        Args:
          request: An audit.Ask.

        Returns:
          A pair: a list of audit.Batches, and a list of the names of the entries
          that did not answer.
        """
        names = [address.name for address in self._addresses]
        answers = await asyncio.gather(*(self.ask(name, request) for name in names))
        batches = [answer.ok_value for answer in answers if answer.is_ok()]
        pairs = zip(names, answers, strict=True)
        return batches, [name for name, answer in pairs if answer.is_err()]

    def serve(self, body):
        """Answer a request of another entry.

        Args:
          body: A Question, an Offer or a Fetch.

        Returns:
          The answer's body, or a Problem.
        """
        return self._voter.answer(body)

    def on_message(self, peer_link, body):
        """Ignore one-way messages: entries send none to each other."""

    async def on_request(self, peer_link, body):
        """Refuse requests: other entries must send them on the links that they dial."""
        return problem.Problem(
            problem.Kind.FRAME,
            "a request must be sent on the link that its sender dialed",
            "run the same version of jujubeglade everywhere",
        )

    def close(self):
        """Close all links."""
        for peer_link in list(self._links.values()):
            peer_link.close()

    def _count_unanswered(self, name, peer_link, answer):
        """Close a link after `_MAX_UNANSWERED` consecutive requests without an answer.

        The other entry may have closed it without this entry noticing; a new link is
        then dialed.
        """
        if answer.is_ok():
            self._unanswered[name] = 0
            return
        self._unanswered[name] += 1
        if self._unanswered[name] >= _MAX_UNANSWERED:
            self._unanswered[name] = 0
            peer_link.close()

    async def _keep_link(self, address):
        while True:
            dialed = await link.dial(
                (address.host, address.port), self._cluster_key, self._identity, self
            )
            if dialed.is_ok():
                self._links[address.name] = dialed.ok_value
                try:
                    await dialed.ok_value.run()
                finally:
                    del self._links[address.name]
            await asyncio.sleep(clock.seconds(_REDIAL_INTERVAL_MS))


def _not_connected(name):
    return problem.Problem(
        kind=problem.Kind.STORE,
        message=f"entry {name} is not connected",
        remedy="check that it runs and can be reached",
        place=name,
    )
