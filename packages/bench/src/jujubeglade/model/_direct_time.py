"""The passage of time in the specification `direct`."""

import functools

from jujubeglade.model import _direct_records as records
from jujubeglade.model import spec

ACTIONS = []
_action = functools.partial(spec.action, ACTIONS)


@_action("tick", "jujubeglade.direct.worker_lease:WorkerLease.has_lapsed")
def tick(setting, state):
    """A tick: leases expire or are renewed, and agents drop silent owners."""
    following = state
    for number, worker in enumerate(state.workers):
        following = _pass_worker_time(setting, following, number, worker)
    for task, placement in enumerate(state.placements):
        following = _pass_owner_time(setting, following, task, placement)
    yield "time passes", following
    for number, worker in enumerate(state.workers):
        if (
            worker.lease
            and worker.slow_ticks < records.SLOW_CLOCK_DELAY
            and not records.can_act(worker)
        ):
            slowed = following.workers[number]._replace(
                lease=worker.lease, slow_ticks=records.SLOW_CLOCK_DELAY
            )
            attempts = following.attempts[:number] + (state.attempts[number],)
            attempts += following.attempts[number + 1 :]
            yield (
                f"time passes slowly at {number}",
                records.with_worker(
                    following._replace(attempts=attempts), number, slowed
                ),
            )


def _pass_worker_time(setting, state, number, worker):
    """Let a tick pass at one worker and its agent."""
    silent = worker.alive and not worker.linked
    counts = silent and (setting.rules.counts_suspension or not worker.frozen)
    silence = (
        min(records.SILENCE_TIMEOUT + 1, worker.silence + 1)
        if counts
        else worker.silence
    )
    lease = max(0, worker.lease - 1)
    row = tuple(_age_start(attempt) for attempt in state.attempts[number])
    if records.can_act(worker):
        lease = records.LEASE if worker.clean and worker.lease else lease
        if silence > records.SILENCE_TIMEOUT and setting.rules.drops_silent_owner:
            worker, row = _drop_owner(worker, row)
    if not lease:
        row = tuple(attempt._replace(runs=0) for attempt in row)
    updated = worker._replace(silence=silence, lease=lease)
    state = records.with_worker(state, number, updated)
    return state._replace(attempts=records.replace_item(state.attempts, number, row))


def _drop_owner(worker, row):
    """Stop the owner's tasks; a start in flight is refused due to the higher token."""
    worker = worker._replace(owner_lost=False)
    if all(attempt.phase == records.NONE for attempt in row):
        return worker, row
    token = min(records.MAX_TOKEN, worker.token + 1)
    stopped = tuple(attempt._replace(phase=records.NONE, runs=0) for attempt in row)
    return worker._replace(token=token, fence=token), stopped


def _age_start(attempt):
    """Let a tick pass for a start in flight."""
    if not attempt.start_token:
        return attempt
    return attempt._replace(start_age=min(records.LEASE, attempt.start_age + 1))


def _pass_owner_time(setting, state, task, placement):
    """Let a tick pass at the owner of a task."""
    if placement == records.AWAITING_CLIENT:
        left = state.waits[task] - 1
        if left <= 0:
            return records.with_placement(state, task, records.UNPLACED)
        return records.with_placement(state, task, records.AWAITING_CLIENT, left)
    if placement == records.UNPLACED or state.workers[placement].linked:
        return state
    needed = 0
    if setting.rules.waits_for_lease:
        needed = (
            records.SILENCE_TIMEOUT
            + records.LEASE
            + setting.rules.allows_slow_clock * records.SLOW_CLOCK_DELAY
        )
    waited = state.waits[task] + 1
    if waited >= needed:
        return records.with_placement(state, task, records.UNPLACED)
    return records.with_placement(state, task, placement, waited)
