"""Drains: entries that confirm a revision, permits, and an agent that may freeze.

Revision 0 lets the agent start tasks, revision 1 drains its zone.  Time is a tick that
counts every timer down at once, so the states are finite without a horizon.  A process
that cannot reach the store, or is slow, is one whose steps do not come: every step is
optional.  A freeze of the agent is a tick between its check and its act.

Two reductions keep the states few.  Entries are interchangeable, so states that differ
by their order are one; labels number them as they stand at that step.  An entry drops
its former view when it begins to confirm again: a wrong start needs one wrong permit,
and the grants that its entry gave before are not needed for it.  For the same reason
the last vote, or a read, ends a confirmation at once: the view counts from the begin,
so a delay only wastes freshness.  A mutation of that rule makes the end its own step.

    confirm: begin (the timer starts) -> votes, or a read of the store
    permit:  ask (the timer starts) -> grant -> receive
    start:   check -> act at the upstream, which knows the Start-By
"""

import dataclasses
import functools
import typing

from jujubeglade.model import spec


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


_ENTRIES = 3
_MAJORITY = 2

ACTIONS = []
_action = functools.partial(spec.action, ACTIONS)


def initial(setting):
    """Return the state in which all entries know revision 0 and count."""
    return State(
        stored=0,
        entries=(Entry(),) * _ENTRIES,
        wait=None,
        in_force=False,
        agent=Agent(),
        late_start=False,
        reverted=False,
        restarts=0,
        outage=setting.bounds.outage,
    )


@_action("tick", "jujubeglade.core.clock")
def tick(setting, state):
    """Let one unit of time pass for all."""
    entries = tuple(_age_entry(setting.rules, entry) for entry in state.entries)
    agent = state.agent
    question = agent.question
    if question is not None:
        age = question.age + 1
        question = None if age > setting.bounds.permit else question._replace(age=age)
    flight = agent.flight
    if flight is not None:
        flight = max(0, flight - 1)
    agent = agent._replace(
        permit=max(0, agent.permit - 1), question=question, flight=flight
    )
    wait = state.wait
    if wait is not None:
        wait = max(0, wait - 1)
    yield "tick", state._replace(entries=entries, agent=agent, wait=wait)


def _age_entry(rules, entry):
    confirming = entry.confirming
    if confirming is not None:
        left = max(0, confirming.left - 1)
        useless = left == 0 and rules.confirms_from_begin
        confirming = None if useless else confirming._replace(left=left)
    return entry._replace(fresh=max(0, entry.fresh - 1), confirming=confirming)


# Entries.


@_action("store_drain", "jujubeglade.entry.configuration")
def store_drain(setting, state):
    """The compare-and-swap of the drain takes effect in the store."""
    if state.stored == 0 and not state.outage:
        yield "store drain", state._replace(stored=1)


@_action("confirm_begin", "jujubeglade.entry.confirmation")
def confirm_begin(setting, state):
    """An entry begins to confirm its view."""
    for index, entry in enumerate(state.entries):
        if entry.confirming is None and entry.fresh < setting.bounds.permit:
            begun = Confirmation(setting.bounds.permit)
            following = entry._replace(fresh=0, confirming=begun)
            yield f"e{index} begins to confirm", _with_entry(state, index, following)


@_action("confirm_read", "jujubeglade.entry.confirmation")
def confirm_read(setting, state):
    """An entry reads the store, which confirms its view."""
    if state.outage:
        return
    for index, entry in enumerate(state.entries):
        if entry.confirming is not None and not entry.confirming.heard:
            confirmed = _confirmed(setting, entry, state.stored)
            yield f"e{index} reads the store", _with_entry(state, index, confirmed)


@_action("confirm_vote", "jujubeglade.entry.confirmation")
def confirm_vote(setting, state):
    """Another entry answers a confirmation with its revision."""
    for index, entry in enumerate(state.entries):
        if entry.confirming is None or entry.confirming.heard:
            continue
        for voter, peer in enumerate(state.entries):
            if voter == index or voter in entry.confirming.votes:
                continue
            if _votes(setting.rules, peer, entry):
                following = _voted(setting, entry, voter, peer.revision)
                label = f"e{voter} votes for e{index}"
                yield label, _with_entry(state, index, following)


def _votes(rules, peer, entry):
    """Tell whether a peer's answer counts for an entry."""
    if peer.counted or not rules.amnesiacs_excluded:
        return True
    return not entry.counted and not rules.joins_by_counted


def _voted(setting, entry, voter, revision):
    """Return an entry after a vote, confirmed if that was the last one needed."""
    confirming = entry.confirming
    votes = confirming.votes | {voter}
    revision = max(confirming.revision, revision)
    if len(votes) >= _needed_votes(setting.rules, entry):
        return _confirmed(setting, entry, revision)
    waiting = confirming._replace(votes=votes, revision=revision)
    return entry._replace(confirming=waiting)


def _needed_votes(rules, entry):
    """Return how many other entries must answer an entry."""
    if entry.counted or not rules.amnesiacs_excluded or not rules.joins_by_all:
        return _MAJORITY - 1
    return _ENTRIES - 1


def _confirmed(setting, entry, revision):
    """Return an entry with a fresh view of the highest revision it has met."""
    confirming = entry.confirming
    if not setting.rules.confirms_from_begin and not confirming.heard:
        heard = confirming._replace(revision=revision, heard=True)
        return entry._replace(confirming=heard)
    return entry._replace(
        counted=True,
        revision=max(entry.revision, revision),
        fresh=setting.bounds.permit if confirming.heard else confirming.left,
        confirming=None,
    )


@_action("confirm_end", "jujubeglade.entry.confirmation")
def confirm_end(setting, state):
    """An entry that counts its view from the answer receives a delayed one."""
    for index, entry in enumerate(state.entries):
        if entry.confirming is not None and entry.confirming.heard:
            confirmed = _confirmed(setting, entry, entry.confirming.revision)
            yield f"e{index} ends", _with_entry(state, index, confirmed)


@_action("collect", "jujubeglade.entry.configuration")
def collect(setting, state):
    """An entry that applied the change becomes its writer and acknowledges it."""
    if any(entry.writer for entry in state.entries):
        return
    for index, entry in enumerate(state.entries):
        if entry.revision == 1:
            following = entry._replace(writer=True, acknowledged=True)
            yield f"e{index} is the writer", _with_entry(state, index, following)


@_action("acknowledge", "jujubeglade.entry.configuration")
def acknowledge(setting, state):
    """An entry applies the change that the writer sent and acknowledges it."""
    collecting = any(entry.writer for entry in state.entries)
    for index, entry in enumerate(state.entries):
        if entry.acknowledged:
            continue
        if collecting or (entry.revision and not setting.rules.writer_applied):
            following = entry._replace(revision=1, acknowledged=True)
            yield f"e{index} acknowledges", _with_entry(state, index, following)


@_action("accept", "jujubeglade.entry.configuration")
def accept(setting, state):
    """The writer holds the change in the store and a majority of acknowledgements."""
    if state.wait is not None or state.stored == 0:
        return
    majority = sum(entry.acknowledged for entry in state.entries) >= _MAJORITY
    if majority or not setting.rules.majority_accepts:
        yield "accepted", state._replace(wait=setting.bounds.permit)


@_action("in_force_by_time", "jujubeglade.entry.configuration")
def in_force_by_time(setting, state):
    """A permit's time after acceptance the change is in force."""
    if state.wait is None or state.in_force:
        return
    if state.wait == 0 or not setting.rules.waits_permit:
        yield "in force by time", state._replace(in_force=True)


@_action("in_force_by_agents", "jujubeglade.agent.permits")
def in_force_by_agents(setting, state):
    """All agents concerned acknowledged the accepted change."""
    agent = state.agent
    if state.wait is None or state.in_force or agent.revision == 0:
        return
    if agent.flight is None or not setting.rules.acknowledges_settled:
        yield "in force by agents", state._replace(in_force=True)


@_action("restart_entry", "jujubeglade.daemon")
def restart_entry(setting, state):
    """An entry restarts and has forgotten everything."""
    if state.restarts >= setting.bounds.restarts or state.outage:
        return
    for index, entry in enumerate(state.entries):
        fresh = Entry(counted=False, acknowledged=entry.acknowledged)
        following = _with_entry(state, index, fresh)
        if entry.writer and state.wait is None:
            following = _forget_acknowledgements(following)
        restarts = state.restarts + 1
        yield f"e{index} restarts", following._replace(restarts=restarts)


def _forget_acknowledgements(state):
    entries = tuple(entry._replace(acknowledged=False) for entry in state.entries)
    return state._replace(entries=entries)


# The agent and its upstream.


@_action("ask", "jujubeglade.agent.permits")
def ask(setting, state):
    """The agent asks for a permit."""
    agent = state.agent
    if agent.question is None and agent.permit < setting.bounds.permit:
        yield "agent asks", _with_agent(state, question=Question())


@_action("grant", "jujubeglade.entry.permits")
def grant(setting, state):
    """An entry with a fresh view grants what is left of it."""
    question = state.agent.question
    if question is None or question.granted:
        return
    for index, entry in enumerate(state.entries):
        if entry.fresh:
            given = question._replace(granted=entry.fresh, revision=entry.revision)
            yield f"e{index} grants", _with_agent(state, question=given)


@_action("receive_permit", "jujubeglade.agent.permits")
def receive_permit(setting, state):
    """The agent takes a permit over, unless its revision is an older one."""
    agent = state.agent
    question = agent.question
    if question is None or not question.granted:
        return
    older = question.revision < agent.revision
    if older and setting.rules.revision_rises:
        yield "agent refuses an older permit", _with_agent(state, question=None)
        return
    spent = question.age if setting.rules.counts_from_question else 0
    following = _with_agent(
        state,
        revision=question.revision,
        permit=max(0, question.granted - spent),
        question=None,
    )
    yield "agent takes the permit", following._replace(reverted=state.reverted or older)


@_action("check", "jujubeglade.agent.executor")
def check(setting, state):
    """The agent finds a start permitted; the start is on its way."""
    agent = state.agent
    if agent.permit and agent.revision == 0 and agent.flight is None:
        yield "agent checks", _with_agent(state, flight=agent.permit)


@_action("act", "jujubeglade.agent.executor")
def act(setting, state):
    """The start reaches the upstream, which refuses it when it is late."""
    flight = state.agent.flight
    if flight is None:
        return
    following = _with_agent(state, flight=None)
    if flight or not setting.rules.upstream_checks:
        late = state.late_start or state.in_force
        yield "upstream starts", following._replace(late_start=late)
    else:
        yield "upstream refuses a late start", following


def _with_entry(state, index, entry):
    entries = state.entries
    return state._replace(entries=(*entries[:index], entry, *entries[index + 1 :]))


def canonical(state):
    """Return a state's representative among those that differ by entries' order."""
    order = sorted(range(_ENTRIES), key=lambda index: _sort_key(state.entries[index]))
    if order == list(range(_ENTRIES)):
        return state
    place_of = {index: place for place, index in enumerate(order)}
    entries = tuple(_renumber(state.entries[index], place_of) for index in order)
    return state._replace(entries=entries)


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


def _with_agent(state, **changes):
    return state._replace(agent=state.agent._replace(**changes))


# Properties.


def no_late_start(fields):
    """Tell whether nothing started in the zone after the drain was in force."""
    return not fields["late_start"]


def never_reverts(fields):
    """Tell whether no agent went back to an older revision."""
    return not fields["reverted"]


def goes_on(fields):
    """Tell whether the drain is in force, or starts go on during an outage."""
    return fields["in_force"] or (fields["outage"] and fields["agent"].permit > 0)


_CALM = Bounds(permit=1, restarts=0)
_SMALL = Bounds(permit=1, restarts=1)
_FULL = Bounds(permit=1, restarts=2)
_LONG = Bounds(permit=2, restarts=0)
_OUTAGE = Bounds(permit=2, restarts=0, outage=True)

SPECIFICATION = spec.register(
    spec.Specification(
        name="drain",
        rules=Rules(),
        bounds={"small": (_SMALL,), "full": (_FULL, _LONG)},
        mutation_bounds=_SMALL,
        progress_bounds=(_SMALL, _OUTAGE),
        actions=tuple(ACTIONS),
        initial=initial,
        invariants={
            "no start after in force": no_late_start,
            "a revision never reverts": never_reverts,
        },
        goal=goes_on,
        canonical=canonical,
    )
)


def _off(field):
    """Return a change that switches one mechanism off."""
    return lambda rules: dataclasses.replace(rules, **{field: False})


def _mutation(name, field, bounds=_CALM):
    spec.mutation("drain", name, bounds)(_off(field))


_mutation("a drain is accepted without a majority", "majority_accepts")
_mutation("the writer counts what it was told before", "writer_applied", _SMALL)
_mutation("an entry that started afresh is counted", "amnesiacs_excluded", _SMALL)
_mutation("fresh entries let each other join", "joins_by_counted", _FULL)
_mutation("a fresh entry joins by one other entry", "joins_by_all", _SMALL)
_mutation("a permit counts from the answer", "counts_from_question")
_mutation("a view counts from the end of its confirmation", "confirms_from_begin")
_mutation("the upstream has no Start-By check", "upstream_checks")
_mutation("a drain is in force once it is accepted", "waits_permit")
_mutation("an agent acknowledges over a start", "acknowledges_settled", _LONG)
_mutation("an agent's revision may go down", "revision_rises")
