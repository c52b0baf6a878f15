"""What entries ask and answer each other about the configuration.

While the store does not answer, the entries named in the settings agree on the
highest revision among them. An entry's vote counts only if no accepted change can be
missing from its memory:

| this entry                                           | its votes count |
|------------------------------------------------------|-----------------|
| has started, and heard from nobody                   | no              |
| has read the store since its start                   | yes             |
| has heard from every other entry, each one counting  | yes             |
| stands alone in the settings, and has not read       | no              |

The third line needs counting answers: if two of three entries restart during an
outage, each would otherwise vouch for the other, and the one change that only those
two had acknowledged would be outvoted.

A name belongs to one process at a time: a replacement starts after its predecessor has
ended, since two processes under one name would acknowledge and vote for each other.
"""

import asyncio

import result

from jujubeglade.core import clock, configuration, problem
from jujubeglade.core import message as messages

ANSWER_MS = 300


@messages.register(60)
class Question:
    """Ask a peer for its highest revision.

    Attributes:
      asker: A string, the name of the entry that asks.
      revision: An integer, the highest revision that the asker holds.
    """

    asker: str
    revision: int


@messages.register(61)
class Vote:
    """The answer to a Question.

    Attributes:
      voter: A string, the name of the entry that answers.
      revision: An integer, the highest revision that the voter holds.
      counts: A boolean, whether the vote counts; see the module's table.
    """

    voter: str
    revision: int
    counts: bool


@messages.register(62)
class Offer:
    """Hand a peer a document and ask it to hold it.

    Attributes:
      asker: A string, the name of the entry that offers.
      document: Bytes, a Document as `configuration.dump` renders it.
    """

    asker: str
    document: bytes


@messages.register(63)
class Acknowledgement:
    """The answer to an Offer.

    Attributes:
      voter: A string, the name of the entry that answers.
      revision: An integer, the highest revision that the voter holds now.
    """

    voter: str
    revision: int


@messages.register(64)
class Fetch:
    """Ask a peer for its highest document.

    Attributes:
      asker: A string, the name of the entry that asks.
    """

    asker: str


@messages.register(65)
class Held:
    """The answer to a Fetch.

    Attributes:
      voter: A string, the name of the entry that answers.
      document: Bytes, a Document as `configuration.dump` renders it.
    """

    voter: str
    document: bytes


class Voter:
    """What an entry answers its peers, and whether its vote counts."""

    __slots__ = ("_counts", "_latest", "_name", "_others")

    def __init__(self, name, others, latest):
        """Start as an entry whose vote does not count.

        Args:
          name: A string, the name of this entry.
          others: An iterable of strings, the names of all other entries.
          latest: A LatestDocument.
        """
        self._name = name
        self._others = frozenset(others)
        self._latest = latest
        self._counts = False

    @property
    def name(self):
        """The name of this entry, a string."""
        return self._name

    @property
    def others(self):
        """The names of all other entries, a frozenset of strings."""
        return self._others

    @property
    def majority(self):
        """How many entries are a majority, an integer."""
        return (len(self._others) + 1) // 2 + 1

    @property
    def counts(self):
        """Whether the votes of this entry count, a boolean."""
        return self._counts

    def on_store_read(self):
        """Note that the store was read, and its document taken."""
        self._counts = True

    def heard(self, voters):
        """Note whose counting votes arrived, after the highest document was taken.

        Args:
          voters: A collection of strings, names of entries.
        """
        if self._others and self._others <= frozenset(voters):
            self._counts = True

    def vote(self):
        """Cast the vote of this entry.

        Returns:
          A Vote.
        """
        return Vote(self._name, self._latest.revision, self._counts)

    def answer(self, message):
        """Answer a peer.

        Args:
          message: A Question, an Offer or a Fetch.

        Returns:
          A Vote, an Acknowledgement or a Held, in this order.
        """
        match message:
            case Offer():
                return self._accept_offer(message)
            case Fetch():
                return Held(self._name, configuration.dump(self._latest.document))
            case _:
                return self.vote()

    def _accept_offer(self, offer):
        """Hold an offered document; a malformed one changes nothing."""
        parsed = configuration.parse(offer.document)
        if parsed.is_ok():
            self._latest.offer(parsed.ok_value)
        return Acknowledgement(self._name, self._latest.revision)


def fetcher(name, ask):
    """Make a function that fetches the document of a peer.

    Args:
      name: A string, the name of this entry.
      ask: A coroutine function of a peer's name and a message, to a Result of the
        peer's answer.

    Returns:
      A coroutine function of a peer's name, to a Result of a Document.
    """

    async def fetch(peer):
        answer = await ask(peer, Fetch(name))
        if answer.is_err():
            return answer
        return configuration.parse(answer.ok_value.document)

    return fetch


async def bounded(answer):
    """Wait for a peer's answer, but not for long.

    Args:
      answer: A coroutine of a Result.

    Returns:
      A Result; of a Problem if no answer came within `ANSWER_MS`.
    """
    try:
        async with asyncio.timeout(clock.seconds(ANSWER_MS)):
            return await answer
    except TimeoutError:
        message = f"no answer within {ANSWER_MS} ms"
        remedy = "look whether the entry runs and can be reached"
        return result.Err(problem.Problem(problem.Kind.STORE, message, remedy))


async def ask_all(ask, peers, message):
    """Ask several peers at once.

    Args:
      ask: A coroutine function of a peer's name and a message, to a Result of the
        peer's answer.
      peers: An iterable of strings.
      message: A Question or an Offer.

    Returns:
      A dict from the name of each peer that answered to its answer.
    """
    names = sorted(peers)
    answers = await asyncio.gather(*(bounded(ask(name, message)) for name in names))
    pairs = zip(names, answers, strict=True)
    return {name: answer.ok_value for name, answer in pairs if answer.is_ok()}
