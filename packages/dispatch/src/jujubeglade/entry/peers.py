"""The streams between entries, by which they agree on the configuration.

Each entry dials every other one named in the settings and asks on that link.
The questions and answers are those of `vote`.
"""

import asyncio
import collections

import result

from jujubeglade.core import clock, link, problem
from jujubeglade.entry import vote

_REDIAL_MS = 300
_MOST_UNANSWERED = 2


class Peers:
    """The other entries, as one entry reaches them."""

    __slots__ = (
        "_addresses",
        "_cluster_key",
        "_identity",
        "_links",
        "_unanswered",
        "_voter",
    )

    def __init__(self, identity, cluster_key, addresses, voter):
        """Start without links.

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
        # How many questions in a row got no answer, by the name of the entry.
        self._unanswered = collections.Counter()

    async def run(self):
        """Keep a link to every other entry."""
        async with asyncio.TaskGroup() as tasks:
            for address in self._addresses:
                tasks.create_task(self._keep(address))

    async def ask(self, name, asked):
        """Put a question to another entry.

        Args:
          name: A string, the name of the entry.
          asked: A question of `vote`, or an audit.Ask.

        Returns:
          A Result of the answer's body, or of a Problem.
        """
        opened = self._links.get(name)
        if opened is None:
            return result.Err(_not_connected(name))
        answered = await opened.ask(asked, vote.ANSWER_MS)
        self._note(name, opened, answered)
        return answered

    async def ask_records(self, asked):
        """Ask all other entries for records that may not be stored yet.

        Args:
          asked: An audit.Ask.

        Returns:
          A pair: a list of audit.Batches, and a list of the names of the entries
          that did not answer.
        """
        names = [address.name for address in self._addresses]
        answers = await asyncio.gather(*(self.ask(name, asked) for name in names))
        batches = [answer.ok_value for answer in answers if answer.is_ok()]
        pairs = zip(names, answers, strict=True)
        return batches, [name for name, answer in pairs if answer.is_err()]

    def serve(self, body):
        """Answer another entry.

        Args:
          body: A Question, an Offer or a Fetch.

        Returns:
          The answer's body, or a Problem.
        """
        return self._voter.answer(body)

    def on_message(self, opened, body):
        """Ignore one-way messages: entries send each other none."""

    async def on_request(self, opened, body):
        """Refuse questions on dialed links: they come on accepted ones."""
        return problem.Problem(
            problem.Kind.FRAME, "asked on the wrong link", "run the same version"
        )

    def close(self):
        """Close all links."""
        for opened in list(self._links.values()):
            opened.close()

    def _note(self, name, opened, answered):
        """Close a link on which two questions in a row got no answer.

        The other entry may have closed it long ago, unheard; it is dialed again.
        """
        if answered.is_ok():
            self._unanswered[name] = 0
            return
        self._unanswered[name] += 1
        if self._unanswered[name] >= _MOST_UNANSWERED:
            self._unanswered[name] = 0
            opened.close()

    async def _keep(self, address):
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
            await asyncio.sleep(clock.seconds(_REDIAL_MS))


def _not_connected(name):
    return problem.Problem(
        kind=problem.Kind.STORE,
        message=f"entry {name} is not connected",
        remedy="look whether it runs and can be reached",
        place=name,
    )
