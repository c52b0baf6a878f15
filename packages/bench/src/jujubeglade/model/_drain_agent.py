"""The agent and its upstream in the specification `drain`."""

import functools

from jujubeglade.model import _drain_records as records
from jujubeglade.model import spec

ACTIONS = []
_action = functools.partial(spec.action, ACTIONS)


@_action("ask", "jujubeglade.agent.uplink:Uplink.heartbeat")
def ask(setting, state):
    """The agent asks for a permit."""
    agent = state.agent
    if agent.question is None and agent.permit < setting.bounds.permit:
        yield "agent asks", records.with_agent(state, question=records.Question())


@_action("grant", "jujubeglade.entry.freshness:Freshness.permit")
def grant(setting, state):
    """An entry with a fresh view grants what is left of it."""
    question = state.agent.question
    if question is None or question.granted:
        return
    for index, entry in enumerate(state.entries):
        if entry.fresh:
            given = question._replace(granted=entry.fresh, revision=entry.revision)
            yield f"e{index} grants", records.with_agent(state, question=given)


@_action("receive_permit", "jujubeglade.agent.permit:Permits.grant")
def receive_permit(setting, state):
    """The agent takes a permit; its own revision only rises.

    An older permit serves as well: it says until when no newer change is in force.
    """
    agent = state.agent
    question = agent.question
    if question is None or not question.granted:
        return
    revision = question.revision
    if setting.rules.revision_rises:
        revision = max(agent.revision, revision)
    spent = question.age if setting.rules.counts_from_question else 0
    following = records.with_agent(
        state,
        revision=revision,
        permit=max(agent.permit, question.granted - spent),
        question=None,
    )
    reverted = state.reverted or revision < agent.revision
    yield "agent takes the permit", following._replace(reverted=reverted)


@_action("check", "jujubeglade.agent.executor:Executor._refusal_at_start")
def check(setting, state):
    """The agent finds a start permitted; the start is on its way."""
    agent = state.agent
    if agent.permit and agent.revision == 0 and agent.flight is None:
        yield "agent checks", records.with_agent(state, flight=agent.permit)


@_action("act", "jujubeglade.agent.upstream:Upstream.call")
def act(setting, state):
    """The start reaches the upstream, which refuses it when it is late."""
    flight = state.agent.flight
    if flight is None:
        return
    following = records.with_agent(state, flight=None)
    if flight or not setting.rules.upstream_checks:
        late = state.late_start or state.in_force
        yield "upstream starts", following._replace(late_start=late)
    else:
        yield "upstream refuses a late start", following
