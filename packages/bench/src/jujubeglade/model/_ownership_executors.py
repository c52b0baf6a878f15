"""The executors and failures of the specification `ownership`."""

import functools

from jujubeglade.model import _ownership_records as records
from jujubeglade.model import spec

ACTIONS = []
_action = functools.partial(spec.action, ACTIONS)


@_action("receive_place", "jujubeglade.agent.executor:Executor._accept")
def receive_place(setting, state):
    """A candidate accepts an attempt, or refuses it and promises never to start it."""
    for message in state.messages:
        if type(message) is not records.Place:
            continue
        attempt, candidate, _ = message
        executor = state.executors[candidate]
        if executor is None or executor.attempt == attempt:
            continue
        if attempt not in executor.never_to_start:
            yield _refuse(state, candidate, attempt, "refuses")
        if _may_accept(setting.rules, executor, attempt):
            accepted = executor._replace(
                fence=max(executor.fence, attempt.generation),
                attempt=attempt,
                phase=records.ACCEPTED,
            )
            label = f"c{candidate} accepts {records.attempt_name(attempt)}"
            yield label, records.with_executor(state, candidate, accepted)


def _may_accept(rules, executor, attempt):
    """Tell whether a candidate may accept an attempt."""
    if attempt in executor.never_to_start and rules.tombstones:
        return False
    if attempt.generation < executor.fence and rules.checks_fence:
        return False
    if executor.closed and rules.obeys_close:
        return False
    if executor.phase in (records.ACCEPTED, records.STARTED):
        return False
    return executor.attempt is None or not rules.accepts_once


def _refuse(state, candidate, attempt, verb):
    executor = state.executors[candidate]
    refused = executor._replace(never_to_start=executor.never_to_start | {attempt})
    if executor.attempt == attempt:
        refused = refused._replace(attempt=None, phase="")
    following = records.with_executor(state, candidate, refused)
    following = records.send(following, records.Refused(attempt))
    if attempt.generation < executor.fence:
        following = records.send(following, records.Fenced(attempt.generation))
    return f"c{candidate} {verb} {records.attempt_name(attempt)}", following


@_action("start", "jujubeglade.agent.executor:Executor._start_attempt")
def start(setting, state):
    """A candidate starts the attempt that it accepted, at its upstream."""
    for candidate, executor in enumerate(state.executors):
        if executor is not None and executor.phase == records.ACCEPTED:
            started = executor._replace(phase=records.STARTED)
            following = records.with_executor(state, candidate, started)
            yield (
                f"c{candidate} starts",
                records.record_start(following, executor.attempt),
            )


@_action("refuse_late", "jujubeglade.agent.executor:Executor._reject_accepted")
def refuse_late(setting, state):
    """The upstream refuses a start with status 412 or 429: the attempt never runs."""
    for candidate, executor in enumerate(state.executors):
        if executor is not None and executor.phase == records.ACCEPTED:
            yield _refuse(state, candidate, executor.attempt, "refuses the accepted")


@_action("fail", "jujubeglade.agent.executor:Executor._finish_attempt")
def fail(setting, state):
    """The upstream answers a repeatable task with an error; the task may run again."""
    if not setting.bounds.repeatable:
        return
    for candidate, executor in enumerate(state.executors):
        if executor is None or executor.phase != records.STARTED:
            continue
        attempt = executor.attempt
        never_to_start = executor.never_to_start | {attempt}
        released = executor._replace(
            attempt=None, phase="", never_to_start=never_to_start, failed=True
        )
        following = records.with_executor(state, candidate, released)
        following = records.send(following, records.Failed(attempt))
        starts = state.starts - 1
        yield f"c{candidate} fails", following._replace(starts=starts)


@_action("finish", "jujubeglade.agent.executor:Executor._finish_attempt")
def finish(setting, state):
    """The upstream answers; the candidate keeps the result and reports it."""
    for candidate, executor in enumerate(state.executors):
        if executor is not None and executor.phase == records.STARTED:
            finished = executor._replace(phase=records.FINISHED)
            following = records.with_executor(state, candidate, finished)
            following = records.send(following, records.Finished(executor.attempt))
            yield f"c{candidate} finishes", following._replace(finished=True)


@_action("receive_probe", "jujubeglade.agent.executor:Executor._forbid_late_start")
def receive_probe(setting, state):
    """After a lost link a candidate reports an attempt, or promises never to start it.

    The owner's request is not modelled as a message: an owner may ask about an attempt
    at any time, just as `receive_place` may refuse a late attempt at any time.
    """
    for generation, owner in enumerate(state.owners):
        for number, candidate in enumerate(owner.placed, 1):
            executor = state.executors[candidate]
            if executor is None:
                continue
            attempt = records.Attempt(generation, number)
            if executor.attempt != attempt:
                step = _resolve_missing(state, candidate, attempt)
            elif executor.phase == records.FINISHED:
                step = (
                    f"c{candidate} reports",
                    records.send(state, records.Finished(attempt)),
                )
            else:
                continue
            if step[1] != state:
                yield step


def _resolve_missing(state, candidate, attempt):
    """Report that an attempt has failed, or promise never to start it."""
    if attempt in state.started_attempts:
        return f"c{candidate} reports a failure", records.send(
            state, records.Failed(attempt)
        )
    return _refuse(state, candidate, attempt, "denies")


@_action("receive_claim", "jujubeglade.agent.executor:Executor.claim")
def receive_claim(setting, state):
    """A candidate raises its fence and reports its attempt to a successor."""
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
    """Return the step in which a candidate answers a claim or refuses it.

    The step leaves the state as it is if the same answer was sent before.
    """
    executor = state.executors[candidate]
    if generation < executor.fence:
        return f"c{candidate} fences g{generation}", records.send(
            state, records.Fenced(generation)
        )
    if rules.raises_fence:
        raised = executor._replace(fence=generation)
        state = records.with_executor(state, candidate, raised)
    closed = executor.closed and rules.obeys_close
    failed = executor.failed and rules.reports_failures
    state = records.send(
        state, records.Claimed(generation, candidate, executor.attempt, closed, failed)
    )
    if executor.phase == records.FINISHED:
        state = records.send(state, records.Finished(executor.attempt))
    return f"c{candidate} answers claim g{generation}", state


@_action("receive_close", "jujubeglade.agent.executor:Executor.close")
def receive_close(setting, state):
    """A candidate closes the job, unless it has the fence of a later generation."""
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
                closed = executor._replace(closed=True)
                following = records.with_executor(state, candidate, closed)
                following = records.send(
                    following, records.Closed(generation, candidate)
                )
            if following != state:
                yield label, following


@_action("crash_home", "jujubeglade.bench.cluster:Cluster.kill")
def crash_home(setting, state):
    """The home's process crashes, or restarts as another incarnation."""
    if _may_crash(setting, state) and state.owners[0].phase != records.OVER:
        following = records.end_owner(state, 0)
        yield "home crashes", following._replace(crashes=state.crashes + 1)


@_action("crash_candidate", "jujubeglade.bench.cluster:Cluster.kill")
def crash_candidate(setting, state):
    """A candidate's process crashes, and with it the successor in the same agent."""
    if not _may_crash(setting, state):
        return
    for candidate, executor in enumerate(state.executors):
        if executor is None:
            continue
        replacement = (
            None if setting.rules.rejects_other_incarnation else records.Executor()
        )
        following = records.with_executor(state, candidate, replacement)
        if candidate + 1 < len(state.owners):
            following = records.end_owner(following, candidate + 1)
        crashes = state.crashes + 1
        yield f"c{candidate} crashes", following._replace(crashes=crashes)


def _may_crash(setting, state):
    return state.crashes < setting.bounds.crashes and not state.failures_ended


@_action("failures_end", "jujubeglade.fakes.wire:Relay.heal")
def failures_end(setting, state):
    """Failures end; the last of them loses all messages in flight."""
    if setting.progress and not state.failures_ended:
        yield "failures end", state._replace(failures_ended=True, messages=frozenset())
