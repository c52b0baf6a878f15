"""The failures of the specification `direct`, and the recovery from them."""

import functools

from jujubeglade.model import _direct_records as records
from jujubeglade.model import spec

ACTIONS = []
_action = functools.partial(spec.action, ACTIONS)
_RUNNER = "jujubeglade.direct.runner:Runner."
_DISPATCHER = "jujubeglade.direct.dispatcher:Dispatcher."
_FAULTS = "jujubeglade.fakes.direct_random_faults:Faults."


@_action("kill_agent", _FAULTS + "restart_agent")
def kill_agent(setting, state):
    """An agent dies; its next incarnation has no state but a higher token."""
    if not state.faults:
        return
    state = state._replace(faults=state.faults - 1)
    for number, worker in enumerate(state.workers):
        if not worker.alive:
            continue
        dead = worker._replace(alive=False, frozen=False, clean=False, linked=False)
        row = tuple(
            attempt._replace(phase=records.NONE) for attempt in state.attempts[number]
        )
        following = records.with_worker(state, number, dead)
        following = following._replace(
            attempts=records.replace_item(state.attempts, number, row)
        )
        yield f"agent {number} dies", following


@_action("start_agent", _RUNNER + "_adopt_instance")
def start_agent(setting, state):
    """An agent starts again."""
    for number, worker in enumerate(state.workers):
        if not worker.alive:
            token = min(records.MAX_TOKEN, worker.token + 1)
            restarted = worker._replace(
                alive=True, token=token, silence=0, owner_lost=False
            )
            yield (
                f"agent {number} starts",
                records.with_worker(state, number, restarted),
            )


@_action("freeze", _FAULTS + "freeze_agent")
def freeze(setting, state):
    """An agent freezes and loses its link to the owner."""
    if not state.faults:
        return
    state = state._replace(faults=state.faults - 1)
    for number, worker in enumerate(state.workers):
        if records.can_act(worker):
            frozen = worker._replace(frozen=True, linked=False)
            yield f"agent {number} freezes", records.with_worker(state, number, frozen)


@_action("wake", "jujubeglade.direct.owners:drop_silent")
def resume(setting, state):
    """A frozen agent resumes; it checks first for how long its owner was silent."""
    for number, worker in enumerate(state.workers):
        if worker.frozen:
            resumed = worker._replace(frozen=False)
            yield f"agent {number} resumes", records.with_worker(state, number, resumed)


@_action("cut", _FAULTS + "cut")
def cut(setting, state):
    """The link between the owner and an agent is cut."""
    if not state.faults:
        return
    state = state._replace(faults=state.faults - 1)
    for number, worker in enumerate(state.workers):
        if worker.linked and worker.alive:
            yield (
                f"link of agent {number} is cut",
                records.with_worker(state, number, worker._replace(linked=False)),
            )


@_action("relink", _DISPATCHER + "_handle_roster")
def relink(setting, state):
    """An agent dials again and reports its attempts; others may be placed again."""
    for number, worker in enumerate(state.workers):
        if worker.linked or worker.owner_lost or not records.can_act(worker):
            continue
        following = records.with_worker(
            state, number, worker._replace(linked=True, silence=0)
        )
        yield f"agent {number} dials", records.report_absent(setting, following, number)


@_action("lose_owner", _FAULTS + "restart_entry")
def lose_owner(setting, state):
    """The owner of a task dies; its client submits it elsewhere after a while."""
    if not state.faults:
        return
    state = state._replace(faults=state.faults - 1)
    for task, number in enumerate(state.placements):
        if number >= 0:
            worker = state.workers[number]._replace(linked=False, owner_lost=True)
            following = records.with_worker(state, number, worker)
            yield (
                f"owner of {task} dies",
                records.with_placement(
                    following, task, records.AWAITING_CLIENT, records.RESUBMIT_DELAY
                ),
            )
