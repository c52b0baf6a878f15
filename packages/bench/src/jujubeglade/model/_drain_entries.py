"""The clock, the store and the entries of the specification `drain`."""

import functools

from jujubeglade.model import _drain_records as records
from jujubeglade.model import spec

ACTIONS = []
_action = functools.partial(spec.action, ACTIONS)


@_action("tick", "jujubeglade.core.clock:Clock.now_ms")
def tick(setting, state):
    """Let one tick pass for all processes."""
    entries = tuple(_age_entry(setting.rules, entry) for entry in state.entries)
    agent = state.agent
    request = agent.request
    if request is not None:
        age = request.age + 1
        request = None if age > setting.bounds.permit else request._replace(age=age)
    start_remaining = agent.start_remaining
    if start_remaining is not None:
        start_remaining = max(0, start_remaining - 1)
    agent = agent._replace(
        permit=max(0, agent.permit - 1),
        request=request,
        start_remaining=start_remaining,
    )
    in_force_wait = state.in_force_wait
    if in_force_wait is not None:
        in_force_wait = max(0, in_force_wait - 1)
    yield (
        "tick",
        state._replace(entries=entries, agent=agent, in_force_wait=in_force_wait),
    )


def _age_entry(rules, entry):
    confirmation = entry.confirmation
    if confirmation is not None:
        remaining = max(0, confirmation.remaining - 1)
        is_expired = remaining == 0 and rules.confirms_from_begin
        confirmation = (
            None if is_expired else confirmation._replace(remaining=remaining)
        )
    return entry._replace(
        remaining_permit=max(0, entry.remaining_permit - 1), confirmation=confirmation
    )


@_action("store_drain", "jujubeglade.entry.ledger:Ledger.submit")
def store_drain(setting, state):
    """The compare-and-swap of the drain takes effect in the store."""
    if state.stored_revision == 0 and not state.outage:
        yield "store drain", state._replace(stored_revision=1)


@_action("confirm_begin", "jujubeglade.entry.freshness:Freshness.confirm_by_majority")
def confirm_begin(setting, state):
    """An entry starts to confirm its configuration."""
    for index, entry in enumerate(state.entries):
        if (
            entry.confirmation is None
            and entry.remaining_permit < setting.bounds.permit
        ):
            started = records.Confirmation(setting.bounds.permit)
            following = entry._replace(remaining_permit=0, confirmation=started)
            yield (
                f"e{index} starts to confirm",
                records.with_entry(state, index, following),
            )


@_action("confirm_read", "jujubeglade.entry.freshness:Freshness.on_store_read")
def confirm_read(setting, state):
    """An entry confirms its configuration by a read of the store."""
    if state.outage:
        return
    for index, entry in enumerate(state.entries):
        if entry.confirmation is not None and not entry.confirmation.complete:
            confirmed = _confirmed(setting, entry, state.stored_revision)
            yield (
                f"e{index} reads the store",
                records.with_entry(state, index, confirmed),
            )


@_action("confirm_vote", "jujubeglade.entry.vote:Voter.vote")
def confirm_vote(setting, state):
    """Another entry sends its vote, which has its revision."""
    for index, entry in enumerate(state.entries):
        if entry.confirmation is None or entry.confirmation.complete:
            continue
        for voter, peer in enumerate(state.entries):
            if voter == index or voter in entry.confirmation.votes:
                continue
            if _vote_counts(setting.rules, peer, entry):
                following = _with_vote(setting, entry, voter, peer.revision)
                label = f"e{voter} votes for e{index}"
                yield label, records.with_entry(state, index, following)


def _vote_counts(rules, peer, entry):
    """Tell whether the vote of a peer counts for an entry."""
    if peer.votes_count or not rules.excludes_restarted:
        return True
    return not entry.votes_count and not rules.joins_by_counting_votes


def _with_vote(setting, entry, voter, revision):
    """Return an entry after a vote, confirmed if it was the last one needed."""
    confirmation = entry.confirmation
    votes = confirmation.votes | {voter}
    revision = max(confirmation.revision, revision)
    if len(votes) >= _needed_votes(setting.rules, entry):
        return _confirmed(setting, entry, revision)
    waiting = confirmation._replace(votes=votes, revision=revision)
    return entry._replace(confirmation=waiting)


def _needed_votes(rules, entry):
    """Return how many votes of other entries an entry needs."""
    if (
        entry.votes_count
        or not rules.excludes_restarted
        or not rules.joins_by_all_votes
    ):
        return records.MAJORITY - 1
    return records.ENTRIES - 1


def _confirmed(setting, entry, revision):
    """Return an entry that has confirmed the highest revision it received."""
    confirmation = entry.confirmation
    if not setting.rules.confirms_from_begin and not confirmation.complete:
        completed = confirmation._replace(revision=revision, complete=True)
        return entry._replace(confirmation=completed)
    return entry._replace(
        votes_count=True,
        revision=max(entry.revision, revision),
        remaining_permit=setting.bounds.permit
        if confirmation.complete
        else confirmation.remaining,
        confirmation=None,
    )


@_action("confirm_end", "jujubeglade.entry.freshness:Freshness._confirm")
def confirm_end(setting, state):
    """An entry that counts its permits from the answer receives a delayed one."""
    for index, entry in enumerate(state.entries):
        if entry.confirmation is not None and entry.confirmation.complete:
            confirmed = _confirmed(setting, entry, entry.confirmation.revision)
            yield (
                f"e{index} ends its confirmation",
                records.with_entry(state, index, confirmed),
            )


@_action("collect", "jujubeglade.entry.acceptance:Acceptance.spread")
def collect(setting, state):
    """An entry that has applied the change becomes its writer and acknowledges it."""
    if any(entry.writer for entry in state.entries):
        return
    for index, entry in enumerate(state.entries):
        if entry.revision == 1:
            following = entry._replace(writer=True, acknowledged=True)
            yield f"e{index} is the writer", records.with_entry(state, index, following)


@_action("acknowledge", "jujubeglade.entry.vote:Voter._accept_offer")
def acknowledge(setting, state):
    """An entry applies the change that the writer sent, and acknowledges it."""
    writer_exists = any(entry.writer for entry in state.entries)
    for index, entry in enumerate(state.entries):
        if entry.acknowledged:
            continue
        if writer_exists or (entry.revision and not setting.rules.writer_applies_first):
            following = entry._replace(revision=1, acknowledged=True)
            yield f"e{index} acknowledges", records.with_entry(state, index, following)


@_action("accept", "jujubeglade.entry.acceptance:Acceptance._accept_if_majority")
def accept(setting, state):
    """The change is in the store, and a majority of the entries acknowledged it."""
    if state.in_force_wait is not None or state.stored_revision == 0:
        return
    majority = sum(entry.acknowledged for entry in state.entries) >= records.MAJORITY
    if majority or not setting.rules.majority_accepts:
        yield "accepted", state._replace(in_force_wait=setting.bounds.permit)


@_action("in_force_by_time", "jujubeglade.entry.acceptance:Acceptance._update_in_force")
def in_force_by_time(setting, state):
    """The change is in force one permit lifetime after its acceptance."""
    if state.in_force_wait is None or state.in_force:
        return
    if state.in_force_wait == 0 or not setting.rules.waits_permit_lifetime:
        yield "in force by time", state._replace(in_force=True)


@_action("in_force_by_agents", spec.UNIMPLEMENTED)
def in_force_by_agents(setting, state):
    """The change is in force because the agent of the zone has acknowledged it.

    The product waits for the permit lifetime instead.
    """
    agent = state.agent
    if state.in_force_wait is None or state.in_force or agent.revision == 0:
        return
    if agent.start_remaining is None or not setting.rules.acknowledges_without_starts:
        yield "in force by agents", state._replace(in_force=True)


@_action("restart_entry", "jujubeglade.bench.cluster:Cluster.start_process")
def restart_entry(setting, state):
    """An entry restarts and loses its state."""
    if state.restarts >= setting.bounds.restarts or state.outage:
        return
    for index, entry in enumerate(state.entries):
        restarted = records.Entry(votes_count=False, acknowledged=entry.acknowledged)
        following = records.with_entry(state, index, restarted)
        if entry.writer and state.in_force_wait is None:
            following = _forget_acknowledgements(following)
        restarts = state.restarts + 1
        yield f"e{index} restarts", following._replace(restarts=restarts)


def _forget_acknowledgements(state):
    entries = tuple(entry._replace(acknowledged=False) for entry in state.entries)
    return state._replace(entries=entries)
