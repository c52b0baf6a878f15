"""The attempts of the specification `direct`, and the polls that reconcile them."""

import functools

from jujubeglade.model import _direct_records as records
from jujubeglade.model import spec

ACTIONS = []
_action = functools.partial(spec.action, ACTIONS)
_RUNNER = "jujubeglade.direct.runner:Runner."


def _has_room(setting, row):
    taken = (records.STARTING, records.RUNNING, records.UNRESOLVED)
    if setting.rules.keeps_room:
        taken = (*taken, records.STOPPING)
    return all(attempt.phase not in taken for attempt in row)


@_action("place", _RUNNER + "begin")
def place(setting, state):
    """The owner places a task on a worker whose agent has room."""
    for number, task, worker, attempt in records.all_attempts(state):
        if state.placements[task] != records.UNPLACED or not (
            records.can_act(worker) and worker.linked
        ):
            continue
        if setting.rules.waits_until_clean and not worker.clean:
            continue
        if attempt.start_token or not _has_room(setting, state.attempts[number]):
            continue
        sent = records.Attempt(
            records.STARTING, worker.token, worker.token, 0, attempt.runs
        )
        following = records.with_worker(state, number, None, task, sent)
        yield (
            f"task {task} to {number}",
            records.with_placement(following, task, number),
        )


@_action("carry_out", "jujubeglade.platform._worker:HttpWorkerClient.start")
def carry_out(setting, state):
    """The worker carries out a start, or refuses it as fenced or expired."""
    for number, task, worker, attempt in records.all_attempts(state):
        if not attempt.start_token:
            continue
        expired = setting.rules.starts_expire and attempt.start_age >= records.LEASE
        if attempt.start_token < worker.fence or expired:
            discarded = attempt._replace(start_token=0)
            if attempt.phase == records.STARTING and records.can_act(worker):
                discarded = discarded._replace(phase=records.NONE)
                following = records.with_worker(state, number, None, task, discarded)
                yield (
                    f"start of {task} refused",
                    records.report_over(following, number, task),
                )
            else:
                yield (
                    f"start of {task} discarded",
                    records.with_worker(state, number, None, task, discarded),
                )
            continue
        phase = records.RUNNING if attempt.phase == records.STARTING else attempt.phase
        # A worker that runs the task already does not start it again.
        running = attempt._replace(phase=phase, start_token=0, runs=1)
        left = (
            records.LEASE - attempt.start_age
            if setting.rules.starts_expire
            else records.LEASE
        )
        leased = worker._replace(
            fence=attempt.start_token, lease=max(worker.lease, left)
        )
        yield (
            f"start of {task} carried out",
            records.with_worker(state, number, leased, task, running),
        )


@_action("lose_answer", _RUNNER + "_handle_reply")
def lose_answer(setting, state):
    """The answer to a start is lost; the start may be carried out later."""
    for number, task, worker, attempt in records.all_attempts(state):
        if attempt.phase != records.STARTING or not records.can_act(worker):
            continue
        # The loss of an answer counts as a failure, unless no answer will come.
        cost = 1 if attempt.start_token or attempt.runs else 0
        if state.faults < cost:
            continue
        before = state
        state = state._replace(faults=state.faults - cost)
        token = min(records.MAX_TOKEN, worker.token + setting.rules.raises_token)
        raised = worker._replace(token=token)
        if setting.rules.resolves_unknown:
            unresolved = attempt._replace(phase=records.UNRESOLVED)
            yield (
                f"no answer to the start of {task}",
                records.with_worker(state, number, raised, task, unresolved),
            )
        else:
            refused = attempt._replace(phase=records.NONE)
            following = records.with_worker(state, number, raised, task, refused)
            yield (
                f"start of {task} counts as refused",
                records.with_placement(following, task, records.UNPLACED),
            )
        state = before


@_action("look", _RUNNER + "_apply")
def poll(setting, state):
    """The agent polls the worker, which lists its running tasks."""
    for number, worker in enumerate(state.workers):
        if not records.can_act(worker):
            continue
        polled = worker._replace(
            fence=max(worker.fence, worker.token),
            lease=records.LEASE if worker.clean else worker.lease,
        )
        following = records.with_worker(state, number, polled)
        has_foreign = False
        for task, attempt in enumerate(state.attempts[number]):
            following, is_foreign = _reconcile(
                setting, following, number, task, attempt
            )
            has_foreign = has_foreign or is_foreign
        if not has_foreign:
            clean = following.workers[number]._replace(clean=True)
            following = records.report_absent(
                setting, records.with_worker(following, number, clean), number
            )
        yield f"worker {number} lists its tasks", following


def _reconcile(setting, state, number, task, attempt):
    """Reconcile one attempt with the worker's list.

    Returns:
      A pair: the next state, and whether the worker ran the task although this
      incarnation of the agent has not started it.
    """
    worker = state.workers[number]
    if attempt.phase == records.UNRESOLVED and attempt.runs:
        return records.with_worker(
            state, number, None, task, attempt._replace(phase=records.RUNNING)
        ), False
    if attempt.phase == records.UNRESOLVED:
        higher = worker.token > attempt.sent_token
        if higher or not setting.rules.needs_higher_token:
            removed = records.with_worker(
                state, number, None, task, attempt._replace(phase=records.NONE)
            )
            return records.report_over(removed, number, task), False
        return state, False
    if attempt.phase in (records.RUNNING, records.STOPPING) and not attempt.runs:
        removed = records.with_worker(
            state, number, None, task, attempt._replace(phase=records.NONE)
        )
        return records.report_over(removed, number, task), False
    if attempt.phase == records.NONE and attempt.runs:
        stopped = records.with_worker(
            state, number, None, task, attempt._replace(runs=0)
        )
        return stopped, True
    return state, False


@_action("end", _RUNNER + "_handle_finished")
def end(setting, state):
    """A task ends by itself and the worker lists its end; it may be placed again."""
    for number, task, worker, attempt in records.all_attempts(state):
        if (
            attempt.runs != 1
            or not records.can_act(worker)
            or attempt.phase == records.UNRESOLVED
        ):
            continue
        ended = attempt._replace(phase=records.NONE, runs=0)
        following = records.with_worker(state, number, None, task, ended)
        yield (
            f"end of {task}",
            records.report_over(following, number, task)._replace(task_ended=True),
        )


@_action("halt", _RUNNER + "halt")
def halt(setting, state):
    """The owner has a task stopped because its client has left."""
    for number, task, worker, attempt in records.all_attempts(state):
        if (
            attempt.phase == records.RUNNING
            and attempt.runs
            and records.can_act(worker)
        ):
            stopping = attempt._replace(phase=records.STOPPING)
            yield (
                f"stop {task}",
                records.with_worker(state, number, None, task, stopping),
            )


@_action("stopped", _RUNNER + "_handle_finished")
def stopped(setting, state):
    """A stopped task has ended, and the worker lists its end."""
    for number, task, worker, attempt in records.all_attempts(state):
        if (
            attempt.phase == records.STOPPING
            and attempt.runs
            and records.can_act(worker)
        ):
            ended = attempt._replace(phase=records.NONE, runs=0)
            following = records.with_worker(state, number, None, task, ended)
            yield f"stopped {task}", records.report_over(following, number, task)
