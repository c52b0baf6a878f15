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
    if agent.request is None and agent.permit < setting.bounds.permit:
        yield "agent asks", records.with_agent(state, request=records.PermitRequest())


@_action("grant", "jujubeglade.entry.freshness:Freshness.permit")
def grant(setting, state):
    """An entry grants a permit for the rest of the lifetime of its confirmation."""
    request = state.agent.request
    if request is None or request.granted:
        return
    for index, entry in enumerate(state.entries):
        if entry.remaining_permit:
            granted_request = request._replace(
                granted=entry.remaining_permit, revision=entry.revision
            )
            yield f"e{index} grants", records.with_agent(state, request=granted_request)


@_action("receive_permit", "jujubeglade.agent.permit:Permits.grant")
def receive_permit(setting, state):
    """The agent receives a permit; its own revision never decreases.

    A permit of an older revision is valid too: no newer change is in force before it
    ends.
    """
    agent = state.agent
    request = agent.request
    if request is None or not request.granted:
        return
    revision = request.revision
    if setting.rules.revision_never_decreases:
        revision = max(agent.revision, revision)
    elapsed = request.age if setting.rules.counts_from_request else 0
    following = records.with_agent(
        state,
        revision=revision,
        permit=max(agent.permit, request.granted - elapsed),
        request=None,
    )
    reverted = state.reverted or revision < agent.revision
    yield "agent receives the permit", following._replace(reverted=reverted)


@_action("check", "jujubeglade.agent.executor:Executor._refusal_at_start")
def check(setting, state):
    """The agent checks that a start is permitted, and sends it."""
    agent = state.agent
    if agent.permit and agent.revision == 0 and agent.start_remaining is None:
        yield "agent checks", records.with_agent(state, start_remaining=agent.permit)


@_action("act", "jujubeglade.agent.upstream:Upstream.call")
def act(setting, state):
    """The start arrives at the upstream, which refuses it after its Start-By."""
    start_remaining = state.agent.start_remaining
    if start_remaining is None:
        return
    following = records.with_agent(state, start_remaining=None)
    if start_remaining or not setting.rules.upstream_checks_start_by:
        late = state.late_start or state.in_force
        yield "upstream starts", following._replace(late_start=late)
    else:
        yield "upstream refuses a late start", following
