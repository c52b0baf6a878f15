"""Calls to a worker that are carried out late: what counts as lapsed has ended.

A worker runs a task while its lease lasts. Polls and starts extend the lease. A call
without an answer may be carried out at any later time, unless the worker has carried
out one with a higher token, and its lease then counts from that time. The agent takes
the task as lapsed once its last extension is older than the lease, and one lease more
for each call that may still be carried out.

A poll that does not extend the lease matters only while the agent awaits its answer:
carried out later, it can only make other calls void.
"""

import dataclasses
import functools
import typing

from jujubeglade.model import spec

#: How long an agent awaits the answer to a poll, in ticks.
POLL_TIMEOUT = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The mechanisms of the design; each field is one of them.

    Attributes:
      polls_raise_token: A poll that got no answer raises the fencing token.
      starts_raise_token: A start that got no answer raises the fencing token.
      counts_open_calls: The lease counts as expired only after one more lease for each
        call without an answer that isn't void.
      counts_awaited_calls: So it does for calls whose answer the agent still awaits.
      voids_by_token: An answer makes void only the calls with a lower token.
      counts_from_answer: When calls become void or are answered, one of them may have
        extended the lease just before.
      pauses_extensions: After a poll without an answer, no poll extends the lease
        before the next answer.
    """

    polls_raise_token: bool = True
    starts_raise_token: bool = True
    counts_open_calls: bool = True
    counts_awaited_calls: bool = True
    voids_by_token: bool = True
    counts_from_answer: bool = True
    pauses_extensions: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """The sizes of a run.

    Attributes:
      calls: An integer, the largest number of calls at a time that have no answer or
        await one.
      start_timeout: An integer, how long an agent awaits the answer to a start, in
        ticks, while polls go on.
      shifts_answered: Whether the lease may count from the time at which a call is
        carried out even if the call is answered in time.
    """

    calls: int
    lease: int = 2
    start_timeout: int = 1
    shifts_answered: bool = False


#: The states of a call: its answer is awaited; no answer came.
AWAITED, UNANSWERED = range(2)
#: The kinds of calls. A PROBE is a poll that does not extend the lease.
POLL, PROBE, START = range(3)


class Call(typing.NamedTuple):
    """A call to the worker; `age` has the ticks for which its answer is awaited.

    `is_over` tells whether it can't be carried out any more, and `shifted` whether its
    lease counted from then, although it was sent earlier. `is_counted` tells whether
    the agent counts it.
    """

    token: int
    kind: int
    status: int = AWAITED
    age: int = 0
    is_over: bool = False
    shifted: bool = False
    is_counted: bool = True


class State(typing.NamedTuple):
    """The whole system.

    `fence` and `lease` are the worker's, the rest is the agent's. `extension_age` has
    the ticks since its last extension.
    """

    runs: bool
    lease: int
    fence: int
    token: int
    extension_age: int
    responsive: bool
    may_extend: bool
    calls: tuple
    has_lapsed: bool


ACTIONS = []
_action = functools.partial(spec.action, ACTIONS)
_RUNNER = "jujubeglade.direct.runner:Runner."
_LEASE = "jujubeglade.direct.worker_lease:WorkerLease."
_CLIENT = "jujubeglade.platform._worker:HttpWorkerClient."


def initial(setting):
    """Return the state in which the worker has just started the task."""
    return State(True, setting.bounds.lease, 0, 0, 0, True, True, (), False)


def _awaits_poll(state):
    return any(call.status == AWAITED and call.kind != START for call in state.calls)


def _send(state, kind):
    sent = state._replace(calls=(*state.calls, Call(state.token, kind)))
    return sent if kind == PROBE else sent._replace(extension_age=0)


@_action("poll", _RUNNER + "_poll_once")
def poll(setting, state):
    """The agent sends a poll, which extends the lease if that is allowed now."""
    if state.has_lapsed or _awaits_poll(state):
        return
    is_relied_on = state.responsive or not setting.rules.pauses_extensions
    if not (is_relied_on and state.may_extend):
        yield "poll without an extension is sent", _send(state, PROBE)
    elif len(state.calls) < setting.bounds.calls:
        yield f"poll under token {state.token} is sent", _send(state, POLL)


@_action("start", _RUNNER + "_start")
def start(setting, state):
    """The agent sends a start of another task."""
    if state.has_lapsed or not state.may_extend:
        return
    if len(state.calls) < setting.bounds.calls:
        yield f"start under token {state.token} is sent", _send(state, START)


@_action("stop_extending", _RUNNER + "_lease_limit_ms")
def stop_extending(setting, state):
    """An owner has been silent for so long that no call extends the lease any more."""
    if state.may_extend:
        yield "extensions end", state._replace(may_extend=False)


@_action("carry_out", _CLIENT + "start")
def carry_out(setting, state):
    """The worker carries out a call."""
    for index, call in enumerate(state.calls):
        if call.is_over or call.token < state.fence:
            continue
        fenced = state._replace(fence=call.token)
        if call.kind == PROBE or not state.runs:
            yield "call carried out", _with_call(fenced, index, is_over=True)
            continue
        if call.status == AWAITED:
            left = max(0, setting.bounds.lease - call.age)
            extended = fenced._replace(lease=max(state.lease, left))
            yield "call carried out", _with_call(extended, index, is_over=True)
        if call.age or call.status == UNANSWERED:
            shifted = _with_call(fenced, index, is_over=True, shifted=True)
            yield (
                "late call extends the lease",
                shifted._replace(lease=setting.bounds.lease),
            )


def _with_call(state, index, **changes):
    calls = list(state.calls)
    calls[index] = calls[index]._replace(**changes)
    return state._replace(calls=tuple(calls))


def _without(state, call):
    return state._replace(
        calls=tuple(other for other in state.calls if other is not call)
    )


def _without_void(setting, state, poll):
    """Stop counting the calls that the answer to a poll makes void."""
    return state._replace(
        calls=tuple(
            call._replace(is_counted=False) if _is_void(setting, call, poll) else call
            for call in state.calls
        )
    )


def _counted_from_now(setting, state, calls):
    """Allow for calls that may have extended the lease just now."""
    if setting.rules.counts_from_answer and any(call.kind != PROBE for call in calls):
        return state._replace(extension_age=0)
    return state


@_action("answer_poll", _RUNNER + "_apply")
def answer_poll(setting, state):
    """The answer to a poll arrives; calls with lower tokens are void from then on."""
    for call in state.calls:
        if call.kind == START or not _may_answer(setting, call):
            continue
        void = [other for other in state.calls if _is_void(setting, other, call)]
        answered = _counted_from_now(setting, state, (call, *void))
        answered = _without_void(setting, _without(answered, call), call)
        yield "poll answered", answered._replace(responsive=True)
        if not state.responsive:
            yield "poll answered with a part of the list", answered


def _may_answer(setting, call):
    if call.status != AWAITED or not call.is_over:
        return False
    return setting.bounds.shifts_answered or not call.shifted


def _is_void(setting, other, poll):
    if setting.rules.voids_by_token:
        return other.token < poll.token
    return other.status == UNANSWERED


@_action("answer_start", _RUNNER + "_handle_reply")
def answer_start(setting, state):
    """The answer to a start arrives."""
    for call in state.calls:
        if call.kind == START and _may_answer(setting, call):
            answered = _counted_from_now(setting, state, (call,))
            yield "start answered", _without(answered, call)


@_action("unreachable", _RUNNER + "_note_silent")
def unreachable(setting, state):
    """A call does not reach the worker, which the agent finds out."""
    for call in state.calls:
        if call.status != AWAITED or call.is_over:
            continue
        failed = _without(state, call)
        if call.kind == START:
            yield "start failed", failed
        else:
            yield "poll failed", failed._replace(responsive=False)


@_action("unanswered", _RUNNER + "_raise_token")
def unanswered(setting, state):
    """The agent stops awaiting the answer to a call."""
    for index, call in enumerate(state.calls):
        if call.status != AWAITED or call.age < _timeout(setting, call):
            continue
        noticed = _with_call(state, index, status=UNANSWERED, age=0)
        if call.kind == PROBE:
            noticed = _without(state, call)
        if call.kind == START:
            raises = setting.rules.starts_raise_token
        else:
            raises = setting.rules.polls_raise_token
            noticed = noticed._replace(responsive=False)
        if raises:
            noticed = noticed._replace(token=max(state.token, call.token + 1))
        yield f"call under token {call.token} got no answer", noticed


def _timeout(setting, call):
    return setting.bounds.start_timeout if call.kind == START else POLL_TIMEOUT


@_action("lapse", _LEASE + "has_lapsed")
def lapse(setting, state):
    """The agent concludes after a failed poll that the lease has expired."""
    if state.has_lapsed or state.responsive or _awaits_poll(state):
        return
    if state.extension_age >= setting.bounds.lease * (1 + _open_calls(setting, state)):
        yield "the lease counts as expired", state._replace(has_lapsed=True)


def _open_calls(setting, state):
    if not setting.rules.counts_open_calls:
        return 0
    awaited = setting.rules.counts_awaited_calls
    return sum(
        call.is_counted
        and call.kind != PROBE
        and (awaited or call.status == UNANSWERED)
        for call in state.calls
    )


@_action("tick", _LEASE + "remaining_ms")
def tick(setting, state):
    """A tick passes; the answer to no call is awaited for longer than its timeout."""
    awaited = [call for call in state.calls if call.status == AWAITED]
    if any(call.age >= _timeout(setting, call) for call in awaited):
        return
    lease = max(0, state.lease - 1)
    longest = setting.bounds.lease * (1 + setting.bounds.calls)
    yield (
        "time passes",
        state._replace(
            lease=lease,
            runs=lease > 0,
            extension_age=min(longest, state.extension_age + 1),
            calls=tuple(map(_older, state.calls)),
        ),
    )


def _older(call):
    return call if call.status == UNANSWERED else call._replace(age=call.age + 1)


def canonical(state):
    """Return the state without calls that no longer matter, and with small tokens."""
    calls = [_settled(call, state.fence) for call in state.calls]
    calls = [call for call in calls if not _is_irrelevant(call)]
    tokens = {state.fence, state.token, *(call.token for call in calls)}
    rank_of = {token: rank for rank, token in enumerate(sorted(tokens))}
    return state._replace(
        fence=rank_of[state.fence],
        token=rank_of[state.token],
        calls=tuple(sorted(call._replace(token=rank_of[call.token]) for call in calls)),
    )


def _settled(call, fence):
    """Return a call without an answer marked as over if it is void."""
    if call.status == UNANSWERED and call.token < fence:
        return call._replace(is_over=True)
    return call


def _is_irrelevant(call):
    return call.status == UNANSWERED and call.is_over and not call.is_counted


def what_lapsed_has_ended(fields):
    """Tell whether the task has ended if the agent takes it as lapsed."""
    return not (fields["has_lapsed"] and fields["runs"])


def next_answer_voids(fields):
    """Tell whether the answer to the next poll makes all unanswered calls void."""
    return all(
        call.token < fields["token"]
        for call in fields["calls"]
        if call.status == UNANSWERED
    )


def has_lapsed(fields):
    """Tell whether the agent takes the task as lapsed."""
    return fields["has_lapsed"]


_SMALL = Bounds(calls=2)
_SLOW_START = Bounds(calls=2, start_timeout=2)
_FAST_START = Bounds(calls=2, start_timeout=0)
_SHIFTED = Bounds(calls=2, lease=3, shifts_answered=True)

SPECIFICATION = spec.register(
    spec.Specification(
        name="late_calls",
        rules=Rules(),
        bounds={
            "small": (_SMALL, _SHIFTED),
            "full": (
                Bounds(calls=2, lease=3, start_timeout=0, shifts_answered=True),
                Bounds(calls=2, lease=3, start_timeout=2, shifts_answered=True),
                Bounds(calls=3),
                Bounds(calls=3, lease=3, shifts_answered=True),
            ),
        },
        mutation_bounds=_SMALL,
        progress_bounds=(_SMALL,),
        actions=tuple(ACTIONS),
        initial=initial,
        invariants={
            "what counts as lapsed has ended": what_lapsed_has_ended,
            "the next answer makes unanswered calls void": next_answer_voids,
        },
        goal=has_lapsed,
        witnesses={
            "the lease counts as expired while a call may still be carried out": (
                lambda fields: (
                    fields["has_lapsed"]
                    and any(not call.is_over for call in fields["calls"])
                )
            ),
            "a late call has extended the lease": lambda fields: (
                fields["runs"] and any(call.shifted for call in fields["calls"])
            ),
        },
        canonical=canonical,
    )
)

_mutation = functools.partial(spec.mutation, "late_calls")


def _off(field):
    """Return a change that switches one mechanism off."""
    return lambda rules: dataclasses.replace(rules, **{field: False})


_mutation("a poll without an answer does not raise the token")(
    _off("polls_raise_token")
)
_mutation("a start without an answer does not raise the token")(
    _off("starts_raise_token")
)
_mutation("calls without an answer are not counted")(_off("counts_open_calls"))
_mutation("calls that await their answer are not counted", _SLOW_START)(
    _off("counts_awaited_calls")
)
_mutation("an answer ends the count of calls with its token", _FAST_START)(
    _off("voids_by_token")
)
_mutation("a call that becomes void did not extend the lease just before")(
    _off("counts_from_answer")
)
_mutation("the lease of an answered call counts from its sending", _SHIFTED)(
    _off("counts_from_answer")
)
spec.relaxation("late_calls", "polls extend the lease after one without an answer")(
    _off("pauses_extensions")
)
