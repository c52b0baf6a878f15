"""The clock and the entries of the specification `drain`."""

import functools

from jujubeglade.model import _drain_records as records
from jujubeglade.model import spec

ACTIONS = []
_action = functools.partial(spec.action, ACTIONS)


@_action("tick", "jujubeglade.core.clock:Clock.now_ms")
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


@_action("store_drain", "jujubeglade.entry.ledger:Ledger.submit")
def store_drain(setting, state):
    """The compare-and-swap of the drain takes effect in the store."""
    if state.stored == 0 and not state.outage:
        yield "store drain", state._replace(stored=1)


@_action("confirm_begin", "jujubeglade.entry.freshness:Freshness.confirm_by_majority")
def confirm_begin(setting, state):
    """An entry begins to confirm its view."""
    for index, entry in enumerate(state.entries):
        if entry.confirming is None and entry.fresh < setting.bounds.permit:
            begun = records.Confirmation(setting.bounds.permit)
            following = entry._replace(fresh=0, confirming=begun)
            yield (
                f"e{index} begins to confirm",
                records.with_entry(state, index, following),
            )


@_action("confirm_read", "jujubeglade.entry.freshness:Freshness.on_store_read")
def confirm_read(setting, state):
    """An entry reads the store, which confirms its view."""
    if state.outage:
        return
    for index, entry in enumerate(state.entries):
        if entry.confirming is not None and not entry.confirming.heard:
            confirmed = _confirmed(setting, entry, state.stored)
            yield (
                f"e{index} reads the store",
                records.with_entry(state, index, confirmed),
            )


@_action("confirm_vote", "jujubeglade.entry.vote:Voter.vote")
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
                yield label, records.with_entry(state, index, following)


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
        return records.MAJORITY - 1
    return records.ENTRIES - 1


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


@_action("confirm_end", "jujubeglade.entry.freshness:Freshness._confirm")
def confirm_end(setting, state):
    """An entry that counts its view from the answer receives a delayed one."""
    for index, entry in enumerate(state.entries):
        if entry.confirming is not None and entry.confirming.heard:
            confirmed = _confirmed(setting, entry, entry.confirming.revision)
            yield f"e{index} ends", records.with_entry(state, index, confirmed)


@_action("collect", "jujubeglade.entry.acceptance:Acceptance.spread")
def collect(setting, state):
    """An entry that applied the change becomes its writer and acknowledges it."""
    if any(entry.writer for entry in state.entries):
        return
    for index, entry in enumerate(state.entries):
        if entry.revision == 1:
            following = entry._replace(writer=True, acknowledged=True)
            yield f"e{index} is the writer", records.with_entry(state, index, following)


@_action("acknowledge", "jujubeglade.entry.vote:Voter._accept_offer")
def acknowledge(setting, state):
    """An entry applies the change that the writer sent and acknowledges it."""
    collecting = any(entry.writer for entry in state.entries)
    for index, entry in enumerate(state.entries):
        if entry.acknowledged:
            continue
        if collecting or (entry.revision and not setting.rules.writer_applied):
            following = entry._replace(revision=1, acknowledged=True)
            yield f"e{index} acknowledges", records.with_entry(state, index, following)


@_action("accept", "jujubeglade.entry.acceptance:Acceptance._record_holders")
def accept(setting, state):
    """The writer holds the change in the store and a majority of acknowledgements."""
    if state.wait is not None or state.stored == 0:
        return
    majority = sum(entry.acknowledged for entry in state.entries) >= records.MAJORITY
    if majority or not setting.rules.majority_accepts:
        yield "accepted", state._replace(wait=setting.bounds.permit)


@_action("in_force_by_time", "jujubeglade.entry.acceptance:Acceptance._update_in_force")
def in_force_by_time(setting, state):
    """A permit's time after acceptance the change is in force."""
    if state.wait is None or state.in_force:
        return
    if state.wait == 0 or not setting.rules.waits_permit:
        yield "in force by time", state._replace(in_force=True)


@_action("in_force_by_agents", spec.UNIMPLEMENTED)
def in_force_by_agents(setting, state):
    """All agents concerned acknowledged the accepted change."""
    agent = state.agent
    if state.wait is None or state.in_force or agent.revision == 0:
        return
    if agent.flight is None or not setting.rules.acknowledges_settled:
        yield "in force by agents", state._replace(in_force=True)


@_action("restart_entry", "jujubeglade.bench.cluster:Cluster.start_process")
def restart_entry(setting, state):
    """An entry restarts and has forgotten everything."""
    if state.restarts >= setting.bounds.restarts or state.outage:
        return
    for index, entry in enumerate(state.entries):
        fresh = records.Entry(counted=False, acknowledged=entry.acknowledged)
        following = records.with_entry(state, index, fresh)
        if entry.writer and state.wait is None:
            following = _forget_acknowledgements(following)
        restarts = state.restarts + 1
        yield f"e{index} restarts", following._replace(restarts=restarts)


def _forget_acknowledgements(state):
    entries = tuple(entry._replace(acknowledged=False) for entry in state.entries)
    return state._replace(entries=entries)
