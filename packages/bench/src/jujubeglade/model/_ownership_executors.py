"""The executors and failures of the specification `ownership`."""

import functools

from jujubeglade.model import _ownership_records as records
from jujubeglade.model import spec

ACTIONS = []
_action = functools.partial(spec.action, ACTIONS)


@_action("receive_place", "jujubeglade.agent.executor:Executor._accept")
def receive_place(setting, state):
    """A candidate accepts or refuses an attempt; a refusal is a promise."""
    for message in state.messages:
        if type(message) is not records.Place:
            continue
        attempt, candidate, _ = message
        executor = state.executors[candidate]
        if executor is None or executor.held == attempt:
            continue
        if attempt not in executor.promised:
            yield _refuse(state, candidate, attempt, "refuses")
        if _may_accept(setting.rules, executor, attempt):
            accepted = executor._replace(
                fence=max(executor.fence, attempt.generation),
                held=attempt,
                phase=records.ACCEPTED,
            )
            label = f"c{candidate} accepts {records.name(attempt)}"
            yield label, records.with_executor(state, candidate, accepted)


def _may_accept(rules, executor, attempt):
    """Tell whether a candidate may start an attempt."""
    if attempt in executor.promised and rules.tombstones:
        return False
    if attempt.generation < executor.fence and rules.checks_fence:
        return False
    if executor.closed and rules.close_is_obeyed:
        return False
    if executor.phase in (records.ACCEPTED, records.STARTED):
        return False
    return executor.held is None or not rules.accept_once


def _refuse(state, candidate, attempt, verb):
    executor = state.executors[candidate]
    denied = executor._replace(promised=executor.promised | {attempt})
    if executor.held == attempt:
        denied = denied._replace(held=None, phase="")
    following = records.with_executor(state, candidate, denied)
    following = records.send(following, records.Refused(attempt))
    if attempt.generation < executor.fence:
        following = records.send(following, records.Fenced(attempt.generation))
    return f"c{candidate} {verb} {records.name(attempt)}", following


@_action("start", "jujubeglade.agent.executor:Executor._start_attempt")
def start(setting, state):
    """A candidate starts at its upstream what it accepted."""
    for candidate, executor in enumerate(state.executors):
        if executor is not None and executor.phase == records.ACCEPTED:
            begun = executor._replace(phase=records.STARTED)
            following = records.with_executor(state, candidate, begun)
            yield f"c{candidate} starts", records.begin(following, executor.held)


@_action("refuse_late", "jujubeglade.agent.executor:Executor._reject_accepted")
def refuse_late(setting, state):
    """The upstream refused a late start (412, 429): the attempt never runs."""
    for candidate, executor in enumerate(state.executors):
        if executor is not None and executor.phase == records.ACCEPTED:
            yield _refuse(state, candidate, executor.held, "gives up")


@_action("fail", "jujubeglade.agent.executor:Executor._finish_attempt")
def fail(setting, state):
    """The upstream answers a repeatable task with an error; it may run again."""
    if not setting.bounds.repeatable:
        return
    for candidate, executor in enumerate(state.executors):
        if executor is None or executor.phase != records.STARTED:
            continue
        attempt = executor.held
        promised = executor.promised | {attempt}
        free = executor._replace(held=None, phase="", promised=promised, failed=True)
        following = records.with_executor(state, candidate, free)
        following = records.send(following, records.Failed(attempt))
        starts = state.starts - 1
        yield f"c{candidate} fails", following._replace(starts=starts)


@_action("finish", "jujubeglade.agent.executor:Executor._finish_attempt")
def finish(setting, state):
    """The upstream answers; the candidate keeps the result and reports it."""
    for candidate, executor in enumerate(state.executors):
        if executor is not None and executor.phase == records.STARTED:
            done = executor._replace(phase=records.FINISHED)
            following = records.with_executor(state, candidate, done)
            following = records.send(following, records.Finished(executor.held))
            yield f"c{candidate} finishes", following._replace(finished=True)


@_action("receive_probe", "jujubeglade.agent.executor:Executor._forbid_late_start")
def receive_probe(setting, state):
    """After a cut link a candidate says what it did, and promises the rest.

    The question needs no message of its own: an owner may ask at any time what became
    of an attempt, and `receive_place` refuses late places at any time as well.
    """
    for generation, owner in enumerate(state.owners):
        for number, candidate in enumerate(owner.placed, 1):
            executor = state.executors[candidate]
            if executor is None:
                continue
            attempt = records.Attempt(generation, number)
            if executor.held != attempt:
                step = _deny(state, candidate, attempt)
            elif executor.phase == records.FINISHED:
                step = (
                    f"c{candidate} reports",
                    records.send(state, records.Finished(attempt)),
                )
            else:
                continue
            if step[1] != state:
                yield step


def _deny(state, candidate, attempt):
    """Say of an attempt that is not held that it failed, or promise not to start it."""
    if attempt in state.begun:
        return f"c{candidate} reports a failure", records.send(
            state, records.Failed(attempt)
        )
    return _refuse(state, candidate, attempt, "denies")


@_action("receive_claim", "jujubeglade.agent.executor:Executor.claim")
def receive_claim(setting, state):
    """A candidate raises its fence and tells a successor what it holds."""
    for message in state.messages:
        if type(message) is not records.Claim:
            continue
        for candidate, executor in enumerate(state.executors):
            if executor is None:
                continue
            step = _claimed(setting.rules, state, message.generation, candidate)
            if step is not None and step[1] != state:
                yield step


def _claimed(rules, state, generation, candidate):
    """Answer a claim; a repeated answer in the same words changes nothing."""
    executor = state.executors[candidate]
    if generation < executor.fence:
        return f"c{candidate} fences g{generation}", records.send(
            state, records.Fenced(generation)
        )
    if rules.raises_fence:
        raised = executor._replace(fence=generation)
        state = records.with_executor(state, candidate, raised)
    closed = executor.closed and rules.close_is_obeyed
    failed = executor.failed and rules.reports_failures
    state = records.send(
        state, records.Claimed(generation, candidate, executor.held, closed, failed)
    )
    if executor.phase == records.FINISHED:
        state = records.send(state, records.Finished(executor.held))
    return f"c{candidate} answers claim g{generation}", state


@_action("receive_close", "jujubeglade.agent.executor:Executor.close")
def receive_close(setting, state):
    """A candidate closes the job unless a later generation owns it."""
    for message in state.messages:
        if type(message) is not records.Close:
            continue
        generation = message.generation
        for candidate, executor in enumerate(state.executors):
            if executor is None:
                continue
            if generation < executor.fence and setting.rules.close_checks_fence:
                label = f"c{candidate} fences g{generation}"
                following = records.send(state, records.Fenced(generation))
            else:
                label = f"c{candidate} closes for g{generation}"
                shut = executor._replace(closed=True)
                following = records.with_executor(state, candidate, shut)
                following = records.send(
                    following, records.Closed(generation, candidate)
                )
            if following != state:
                yield label, following


@_action("crash_home", "jujubeglade.bench.cluster:Cluster.kill")
def crash_home(setting, state):
    """The home's process dies, or restarts as another incarnation."""
    if _may_crash(setting, state) and state.owners[0].phase != records.OVER:
        following = records.end_owner(state, 0)
        yield "home crashes", following._replace(crashes=state.crashes + 1)


@_action("crash_candidate", "jujubeglade.bench.cluster:Cluster.kill")
def crash_candidate(setting, state):
    """A candidate's process dies, and with it the successor that it may be."""
    if not _may_crash(setting, state):
        return
    for candidate, executor in enumerate(state.executors):
        if executor is None:
            continue
        left = None if setting.rules.forgets_incarnation else records.Executor()
        following = records.with_executor(state, candidate, left)
        if candidate + 1 < len(state.owners):
            following = records.end_owner(following, candidate + 1)
        crashes = state.crashes + 1
        yield f"c{candidate} crashes", following._replace(crashes=crashes)


def _may_crash(setting, state):
    return state.crashes < setting.bounds.crashes and not state.calm


@_action("failures_end", "jujubeglade.fakes.wire:Relay.heal")
def failures_end(setting, state):
    """Failures end; the last of them loses every message that is under way."""
    if setting.progress and not state.calm:
        yield "failures end", state._replace(calm=True, messages=frozenset())
