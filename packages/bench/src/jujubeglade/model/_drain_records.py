"""The records of the specification `drain`, and the steps that change them."""

import dataclasses
import functools
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The mechanisms of the design; each field is one of them.

    Attributes:
      majority_accepts: A change is accepted only once a majority of the entries has
        acknowledged it.
      writer_applies_first: The writer counts acknowledgements only after it has applied
        the change itself, and loses them when it restarts.
      excludes_restarted: The votes of a restarted entry do not count at first.
      joins_by_counting_votes: They count again only after votes that do count.
      joins_by_all_votes: Without the store, they count again only after votes of all
        other entries; those of a majority are not enough.
      counts_from_request: An agent counts its permit from its request.
      confirms_from_begin: An entry counts its permits from the begin of a confirmation.
      upstream_checks_start_by: The upstream refuses a start after its Start-By.
      waits_permit_lifetime: A change is in force only one permit lifetime after its
        acceptance.
      acknowledges_without_starts: An agent acknowledges a change only when no start
        under an older revision is in flight.
      revision_never_decreases: An agent keeps its revision when a permit has an older
        one.
    """

    majority_accepts: bool = True
    writer_applies_first: bool = True
    excludes_restarted: bool = True
    joins_by_counting_votes: bool = True
    joins_by_all_votes: bool = True
    counts_from_request: bool = True
    confirms_from_begin: bool = True
    upstream_checks_start_by: bool = True
    waits_permit_lifetime: bool = True
    acknowledges_without_starts: bool = True
    revision_never_decreases: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """The sizes of a run.

    Attributes:
      permit: The lifetime of a permit in ticks.
      restarts: How many restarts of entries may happen.
      outage: Whether the store never answers any entry.
    """

    permit: int
    restarts: int
    outage: bool = False


class Confirmation(typing.NamedTuple):
    """A confirmation in progress.

    `remaining` is the lifetime in ticks of a permit counted from its begin, `votes` are
    the entries that voted, and `revision` is the highest revision received.  `complete`
    is used by a mutation only: the votes suffice, and their arrival is delayed.
    """

    remaining: int
    votes: frozenset = frozenset()
    revision: int = 0
    complete: bool = False


class Entry(typing.NamedTuple):
    """The state of an entry, and whether the writer has its acknowledgement.

    The acknowledgement is state of the writer and survives a restart of this entry.  At
    most one entry is the writer: other writers would not change what this one counts.
    `remaining_permit` is how many ticks the permits last that the entry may grant now.
    """

    votes_count: bool = True
    writer: bool = False
    acknowledged: bool = False
    revision: int = 0
    remaining_permit: int = 0
    confirmation: Confirmation | None = None


class PermitRequest(typing.NamedTuple):
    """An agent's request for a permit, and the grant that is on its way back."""

    age: int = 0
    granted: int = 0
    revision: int = 0


class Agent(typing.NamedTuple):
    """The state of the agent.

    `start_remaining` is the number of ticks until the Start-By of a start between its
    check and its act, or None if there is none.
    """

    revision: int = 0
    permit: int = 0
    request: PermitRequest | None = None
    start_remaining: int | None = None


class State(typing.NamedTuple):
    """The whole system.

    `in_force_wait` is the number of ticks until an accepted change is in force, or None
    before its acceptance.
    """

    stored_revision: int
    entries: tuple
    in_force_wait: int | None
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
    """Return the representative of the states that differ by the order of entries."""
    entries = _ordered(state.entries)
    return state if entries is state.entries else state._replace(entries=entries)


@functools.cache
def _ordered(entries):
    """Return the entries in a fixed order, with their votes renumbered."""
    order = sorted(range(ENTRIES), key=lambda index: _sort_key(entries[index]))
    if order == list(range(ENTRIES)):
        return entries
    position_of = {index: position for position, index in enumerate(order)}
    return tuple(_renumber(entries[index], position_of) for index in order)


def _sort_key(entry):
    confirmation = entry.confirmation
    if confirmation is None:
        return (*entry[:5], -1)
    return (
        *entry[:5],
        confirmation.remaining,
        len(confirmation.votes),
        *confirmation[2:],
    )


def _renumber(entry, position_of):
    confirmation = entry.confirmation
    if confirmation is None or not confirmation.votes:
        return entry
    votes = frozenset(position_of[voter] for voter in confirmation.votes)
    return entry._replace(confirmation=confirmation._replace(votes=votes))


def with_agent(state, **changes):
    return state._replace(agent=state.agent._replace(**changes))
