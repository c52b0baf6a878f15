"""Calls to a worker that are carried out late: what counts as lapsed has ended.

A worker runs a task while its lease lasts. Polls and starts extend the lease, and it
then counts from the time at which the worker carries them out. A call without an answer
may be carried out later, unless the worker has seen a higher token. The agent takes the
task as lapsed once its last extension is older than the lease.
"""

import dataclasses
import functools
import typing

from jujubeglade.model import spec

#: The duration of a worker lease, in ticks.
LEASE = 2
#: The agent stops extending the lease at this age of the last answer, in ticks.
ANSWER_AGE_LIMIT = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The mechanisms of the design; each field is one of them.

    Attributes:
      polls_raise_token: A poll that got no answer raises the fencing token.
      starts_raise_token: A start that got no answer raises the fencing token.
      limits_extensions: The lease is not extended once the last answer is old.
    """

    polls_raise_token: bool = True
    starts_raise_token: bool = True
    limits_extensions: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """The sizes of a run.

    Attributes:
      late_calls: An integer, the number of calls that may be carried out late.
      lateness: An integer, the least age at which these are carried out, in ticks.
      start_timeout: An integer, how long an agent waits for the answer to a start, in
        ticks, while polls go on.
    """

    late_calls: int
    lateness: int
    start_timeout: int = 0


class Call(typing.NamedTuple):
    """A call that may be carried out late."""

    token: int
    age: int = 0


class State(typing.NamedTuple):
    """The whole system.

    `fence` and `lease` are the worker's. `extension_age` and `answer_age` have the
    ticks since the agent last sent an extension, and since the worker last answered;
    `start` is a start for whose answer the agent still waits.
    """

    runs: bool
    lease: int
    fence: int
    token: int
    extension_age: int
    answer_age: int
    start: Call | None
    pending: tuple
    late_calls: int
    has_lapsed: bool


ACTIONS = []
_action = functools.partial(spec.action, ACTIONS)
_RUNNER = "jujubeglade.direct.runner:Runner."
_LEASE = "jujubeglade.direct.worker_lease:WorkerLease."


def initial(setting):
    """Return the state in which the worker has just started the task."""
    return State(True, LEASE, 0, 1, 0, 0, None, (), setting.bounds.late_calls, False)


def _may_extend(setting, state):
    if state.has_lapsed:
        return False
    is_recent = state.answer_age < ANSWER_AGE_LIMIT
    return is_recent or not setting.rules.limits_extensions


@_action("answered", _RUNNER + "_apply")
def answered_poll(setting, state):
    """A poll is carried out and answered."""
    if not _may_extend(setting, state) or state.token < state.fence:
        return
    extended = _extend(state, state.token)
    if extended.runs:
        yield "poll answered", extended._replace(extension_age=0, answer_age=0)


def _extend(state, token):
    return state._replace(
        fence=max(state.fence, token), lease=LEASE if state.runs else 0
    )


@_action("unanswered", _RUNNER + "_note_silent")
def unanswered_poll(setting, state):
    """A poll is carried out and its answer is lost."""
    if not _may_extend(setting, state) or state.token < state.fence:
        return
    extended = _extend(state, state.token)._replace(extension_age=0)
    yield (
        "poll carried out, no answer",
        _raise_token(extended, setting.rules.polls_raise_token, state.token),
    )


@_action("late_poll", _RUNNER + "_poll_once")
def late_poll(setting, state):
    """A poll gets no answer, and may be carried out later."""
    if not state.late_calls or not _may_extend(setting, state):
        return
    sent = state._replace(
        extension_age=0,
        late_calls=state.late_calls - 1,
        pending=(*state.pending, Call(state.token)),
    )
    yield (
        f"poll under token {state.token} is late",
        _raise_token(sent, setting.rules.polls_raise_token, state.token),
    )


def _raise_token(state, raises, token):
    if not raises:
        return state
    return state._replace(token=max(state.token, token + 1))


@_action("late_start", _RUNNER + "_start")
def late_start(setting, state):
    """A start of another task is sent, and may be carried out later."""
    if not state.late_calls or state.start or not _may_extend(setting, state):
        return
    call = Call(state.token)
    yield (
        f"start under token {state.token} is late",
        state._replace(
            extension_age=0,
            late_calls=state.late_calls - 1,
            start=call,
            pending=(*state.pending, call),
        ),
    )


@_action("start_unanswered", _RUNNER + "_handle_reply")
def start_unanswered(setting, state):
    """The agent gives up waiting for the answer to a start."""
    if state.start:
        noticed = state._replace(start=None)
        yield (
            "start got no answer",
            _raise_token(noticed, setting.rules.starts_raise_token, state.start.token),
        )


@_action("carry_out", "jujubeglade.platform._worker:HttpWorkerClient.poll")
def carry_out(setting, state):
    """The worker carries out a late call, or ignores it as its token is too low."""
    for call in state.pending:
        if call.age < setting.bounds.lateness:
            continue
        pending = tuple(other for other in state.pending if other is not call)
        remaining = state._replace(pending=pending)
        if call.token < state.fence:
            yield f"call under token {call.token} is void", remaining
        elif state.runs:
            yield (
                f"call under token {call.token} extends the lease",
                _extend(remaining, call.token),
            )


@_action("lapse", _LEASE + "has_lapsed")
def lapse(setting, state):
    """The agent concludes that the lease has expired."""
    if state.extension_age >= LEASE and not state.has_lapsed:
        yield "the lease counts as expired", state._replace(has_lapsed=True)


@_action("tick", _LEASE + "extend")
def tick(setting, state):
    """A tick passes."""
    if state.start and state.start.age >= setting.bounds.start_timeout:
        return
    lease = max(0, state.lease - 1)
    oldest = max(setting.bounds.lateness, setting.bounds.start_timeout)
    yield (
        "time passes",
        state._replace(
            lease=lease,
            runs=state.runs and lease > 0,
            extension_age=min(LEASE, state.extension_age + 1),
            answer_age=min(ANSWER_AGE_LIMIT, state.answer_age + 1),
            start=state.start and _older(state.start, oldest),
            pending=tuple(_older(call, oldest) for call in state.pending),
        ),
    )


def _older(call, oldest):
    return call._replace(age=min(oldest, call.age + 1))


def canonical(state):
    """Return the state without void calls, and with the smallest tokens in order."""
    calls = [call for call in state.pending if call.token >= state.fence]
    tokens = {state.fence, state.token, *(call.token for call in calls)}
    if state.start:
        tokens.add(state.start.token)
    rank_of = {token: rank for rank, token in enumerate(sorted(tokens))}
    return state._replace(
        fence=rank_of[state.fence],
        token=rank_of[state.token],
        start=state.start and _renumber(state.start, rank_of),
        pending=tuple(sorted(_renumber(call, rank_of) for call in calls)),
    )


def _renumber(call, rank_of):
    return call._replace(token=rank_of[call.token])


def what_lapsed_has_ended(fields):
    """Tell whether the task has ended if the agent takes it as lapsed."""
    return not (fields["has_lapsed"] and fields["runs"])


def has_lapsed(fields):
    """Tell whether the agent takes the task as lapsed."""
    return fields["has_lapsed"]


_BOUNDS = Bounds(late_calls=2, lateness=LEASE)

SPECIFICATION = spec.register(
    spec.Specification(
        name="late_calls",
        rules=Rules(),
        bounds={"small": (_BOUNDS,), "full": (_BOUNDS,)},
        mutation_bounds=_BOUNDS,
        progress_bounds=(_BOUNDS,),
        actions=tuple(ACTIONS),
        initial=initial,
        invariants={"what counts as lapsed has ended": what_lapsed_has_ended},
        goal=has_lapsed,
        witnesses={},
        canonical=canonical,
    )
)
