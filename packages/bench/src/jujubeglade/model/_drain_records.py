"""The records of the specification `drain`, and the steps that change them."""

import dataclasses
import functools
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The mechanisms of the design; each field is one of them.

    Attributes:
      majority_accepts: A change is accepted only when a majority acknowledged it.
      writer_applied: The writer counts acknowledgements only after it has applied the
        change itself, and forgets them when it restarts.
      amnesiacs_excluded: An entry that started afresh is in no majority.
      joins_by_counted: An entry joins by hearing only entries that count themselves.
      joins_by_all: An entry without the store joins by hearing all, not a majority.
      counts_from_question: An agent counts its permit from its question.
      confirms_from_begin: An entry counts its view from the begin of a confirmation.
      upstream_checks: The upstream refuses a start after its Start-By.
      waits_permit: A change is in force only a permit's time after its acceptance.
      acknowledges_settled: An agent acknowledges only with no older start under way.
      revision_rises: An agent refuses a permit of an older revision.
    """

    majority_accepts: bool = True
    writer_applied: bool = True
    amnesiacs_excluded: bool = True
    joins_by_counted: bool = True
    joins_by_all: bool = True
    counts_from_question: bool = True
    confirms_from_begin: bool = True
    upstream_checks: bool = True
    waits_permit: bool = True
    acknowledges_settled: bool = True
    revision_rises: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """The sizes of a run.

    Attributes:
      permit: The length of a permit in ticks.
      restarts: How many restarts of entries may happen.
      outage: Whether the store is down for all, for good.
    """

    permit: int
    restarts: int
    outage: bool = False


class Confirmation(typing.NamedTuple):
    """A confirmation under way."""

    left: int
    votes: frozenset = frozenset()
    revision: int = 0
    heard: bool = False


class Entry(typing.NamedTuple):
    """What an entry knows, and whether the writer has its acknowledgement.

    The last is the writer's knowledge and outlives a restart of the entry.  At most one
    entry is the writer: others that collect would not change what this one counts.
    """

    counted: bool = True
    writer: bool = False
    acknowledged: bool = False
    revision: int = 0
    fresh: int = 0
    confirming: Confirmation | None = None


class Question(typing.NamedTuple):
    """An agent's question for a permit, and the grant on its way back."""

    age: int = 0
    granted: int = 0
    revision: int = 0


class Agent(typing.NamedTuple):
    """What the agent knows; `flight` is a start between its check and its act."""

    revision: int = 0
    permit: int = 0
    question: Question | None = None
    flight: int | None = None


class State(typing.NamedTuple):
    """The whole system; `wait` counts from acceptance down to in force."""

    stored: int
    entries: tuple
    wait: int | None
    in_force: bool
    agent: Agent
    late_start: bool
    reverted: bool
    restarts: int
    outage: bool


ENTRIES = 3
MAJORITY = 2


def with_entry(state, index, entry):
    entries = state.entries
    return state._replace(entries=(*entries[:index], entry, *entries[index + 1 :]))


def canonical(state):
    """Return a state's representative among those that differ by entries' order."""
    entries = _ordered(state.entries)
    return state if entries is state.entries else state._replace(entries=entries)


@functools.cache
def _ordered(entries):
    """Return entries in a fixed order, with their votes renumbered."""
    order = sorted(range(ENTRIES), key=lambda index: _sort_key(entries[index]))
    if order == list(range(ENTRIES)):
        return entries
    place_of = {index: place for place, index in enumerate(order)}
    return tuple(_renumber(entries[index], place_of) for index in order)


def _sort_key(entry):
    confirming = entry.confirming
    if confirming is None:
        return (*entry[:5], -1)
    return (*entry[:5], confirming.left, len(confirming.votes), *confirming[2:])


def _renumber(entry, place_of):
    confirming = entry.confirming
    if confirming is None or not confirming.votes:
        return entry
    votes = frozenset(place_of[voter] for voter in confirming.votes)
    return entry._replace(confirming=confirming._replace(votes=votes))


def with_agent(state, **changes):
    return state._replace(agent=state.agent._replace(**changes))
