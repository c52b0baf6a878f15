"""The requests by which entries agree on the configuration, and their answers.

While the store does not answer, the entries named in the settings agree on the
highest revision that any of them has. The vote of an entry counts only if its memory
can't lack an accepted change:

| this entry                                             | its votes count |
|--------------------------------------------------------|-----------------|
| has started and received no votes yet                  | no              |
| has read the store since its start                     | yes             |
| has received a vote that counts from every other entry | yes             |
| is the only entry in the settings, has not read        | no              |

The third row requires votes that count. Otherwise, if two of three entries restart
during an outage, each would make the other's vote count, and a change that only those
two had acknowledged would be outvoted.

Only one process may use a name at a time: a replacement starts after its predecessor
has ended. Otherwise one process could acknowledge a change and the other, which lacks
it, vote under the same name.
"""

import asyncio

import result

from jujubeglade.core import clock, configuration, problem
from jujubeglade.core import message as messages

ANSWER_TIMEOUT_MS = 300


@messages.register(60)
class Question:
    """Ask a peer for its highest revision.

    Attributes:
      asker: A string, the name of the entry that asks.
      revision: An integer, the highest revision that the asker has.
    """

    asker: str
    revision: int


@messages.register(61)
class Vote:
    """The answer to a Question.

    Attributes:
      voter: A string, the name of the entry that answers.
      revision: An integer, the highest revision that the voter has.
      counts: A boolean, whether the vote counts; see the module's table.
    """

    voter: str
    revision: int
    counts: bool


@messages.register(62)
class Offer:
    """Send a peer a document that it is to keep if it is newer than its own.

    Attributes:
      asker: A string, the name of the entry that offers.
      document: Bytes, a Document as `configuration.dump` encodes it.
    """

    asker: str
    document: bytes


@messages.register(63)
class Acknowledgement:
    """The answer to an Offer.

    Attributes:
      voter: A string, the name of the entry that answers.
      revision: An integer, the highest revision that the voter has now.
    """

    voter: str
    revision: int


@messages.register(64)
class Fetch:
    """Ask a peer for its document of the highest revision.

    Attributes:
      asker: A string, the name of the entry that asks.
    """

    asker: str


@messages.register(65)
class Held:
    """The answer to a Fetch.

    Attributes:
      voter: A string, the name of the entry that answers.
      document: Bytes, a Document as `configuration.dump` encodes it.
    """

    voter: str
    document: bytes


class Voter:
    """The voting state of one entry, which answers the requests of its peers."""

    __slots__ = ("_counts", "_latest", "_name", "_others")

    def __init__(self, name, others, latest):
        """Create the state of an entry whose vote does not count yet.

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
        """The number of entries that are a majority, an integer."""
        return (len(self._others) + 1) // 2 + 1

    @property
    def counts(self):
        """Whether the votes of this entry count, a boolean."""
        return self._counts

    def on_store_read(self):
        """Make the votes count, after the document in the store was read and taken."""
        self._counts = True

    def record_votes(self, voters):
        """Make this entry's votes count if all other entries sent votes that count.

        The document of the highest revision among the votes must be taken before.

        Args:
          voters: A collection of strings, the names of the entries whose votes count.
        """
        if self._others and self._others <= frozenset(voters):
            self._counts = True

    def vote(self):
        """Return the vote of this entry.

        Returns:
          A Vote.
        """
        return Vote(self._name, self._latest.revision, self._counts)

    def answer(self, message):
        """Answer the request of a peer.

        Args:
          message: A Question, an Offer or a Fetch.

        Returns:
          A Vote, an Acknowledgement or a Held, respectively.
        """
        match message:
            case Offer():
                return self._accept_offer(message)
            case Fetch():
                return Held(self._name, configuration.dump(self._latest.document))
            case _:
                return self.vote()

    def _accept_offer(self, offer):
        """Keep an offered document if it is newer; ignore a malformed one."""
        parsed = configuration.parse(offer.document)
        if parsed.is_ok():
            self._latest.offer(parsed.ok_value)
        return Acknowledgement(self._name, self._latest.revision)


def fetcher(name, ask):
    """Return a function that fetches the document of a peer.

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


async def with_timeout(answer):
    """Wait for a peer's answer, at most for `ANSWER_TIMEOUT_MS`.

    Args:
      answer: A coroutine of a Result.

    Returns:
      A Result; of a Problem if no answer arrived in time.
    """
    try:
        async with asyncio.timeout(clock.seconds(ANSWER_TIMEOUT_MS)):
            return await answer
    except TimeoutError:
        message = f"no answer within {ANSWER_TIMEOUT_MS} ms"
        remedy = "check that the entry runs and can be reached"
        return result.Err(problem.Problem(problem.Kind.STORE, message, remedy))


async def ask_all(ask, peers, message):
    """Send a request to several peers at once.

    Args:
      ask: A coroutine function of a peer's name and a message, to a Result of the
        peer's answer.
      peers: An iterable of strings, their names.
      message: A Question or an Offer.

    Returns:
      A dict from the name of each peer that answered in time to its answer.
    """
    names = sorted(peers)
    answers = await asyncio.gather(
        *(with_timeout(ask(name, message)) for name in names)
    )
    pairs = zip(names, answers, strict=True)
    return {name: answer.ok_value for name, answer in pairs if answer.is_ok()}
