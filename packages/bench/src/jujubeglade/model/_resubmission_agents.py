"""The agents and workers of the specification `resubmission`."""

import functools

from jujubeglade.model import _resubmission_records as records
from jujubeglade.model import spec

ACTIONS = []
_action = functools.partial(spec.action, ACTIONS)
_AGENT = "jujubeglade.direct.agent:Agent."
_RUNNER = "jujubeglade.direct.runner:Runner."
_FAULTS = "jujubeglade.fakes.direct_random_faults:Faults."


@_action("deliver", _AGENT + "on_message")
def deliver(setting, state):
    """An agent reads a Begin or a Halt of the first owner."""
    for number, worker in enumerate(state.workers):
        if worker.frozen or not worker.mail:
            continue
        message, *rest = worker.mail
        read = records.with_worker(state, number, mail=tuple(rest), silence=0)
        if message.kind == records.BEGIN:
            yield _begin(setting, read, number, message)
        else:
            yield _halt(setting, read, number)


def _begin(setting, state, number, message):
    worker = state.workers[number]
    if worker.phase != records.NONE:
        halted = _halt_attempt(state, number)
        return f"agent {number} refuses a duplicate", halted
    if setting.rules.refuses_old_begins and message.age > setting.bounds.begin_age:
        return f"agent {number} refuses an old Begin", state
    age = message.age if setting.rules.begins_prove_age else 0
    lease = records.granted(setting, worker._replace(age=age))
    if not lease:
        return f"agent {number} refuses a Begin, as its lease would be over", state
    return f"worker {number} starts the task for A", records.with_worker(
        state,
        number,
        phase=records.RUNNING,
        owner=records.FIRST,
        listed=True,
        age=age,
        runs=records.FIRST,
        lease=lease,
    )


def _halt(setting, state, number):
    worker = state.workers[number]
    if worker.owner == records.FIRST and worker.listed:
        if worker.phase == records.RUNNING and not setting.rules.halt_keeps_limit:
            state = records.with_worker(state, number, age=0)
        state = _halt_attempt(state, number)
    return f"agent {number} reads the Halt", state


def _halt_attempt(state, number):
    return records.with_worker(state, number, phase=records.STOPPING)


@_action("extend", _RUNNER + "_extend_lease")
def extend(setting, state):
    """A poll extends the worker lease, whether or not its answer arrives."""
    for number, worker in enumerate(state.workers):
        if worker.frozen or worker.phase == records.NONE or not worker.runs:
            continue
        lease = records.granted(setting, worker)
        if lease > worker.lease:
            extended = records.with_worker(state, number, lease=lease)
            yield f"poll extends the lease of worker {number}", extended


@_action("observe", _RUNNER + "_apply")
def observe(setting, state):
    """An agent finds that an attempt has ended."""
    for number, worker in enumerate(state.workers):
        if worker.frozen or worker.phase == records.NONE or worker.runs:
            continue
        yield f"agent {number} sees the end", _without_attempt(state, number)


def _without_attempt(state, number):
    if state.workers[number].owner == records.SECOND:
        state = state._replace(second=records.UNPLACED)
    return records.without_attempt(state, number)


@_action("stopped", _RUNNER + "_stop")
def stopped(setting, state):
    """A worker carries out a stop, which its agent repeats until then."""
    for number, worker in enumerate(state.workers):
        if worker.phase == records.STOPPING and worker.runs and not worker.frozen:
            ended = records.with_worker(state, number, runs=records.NOBODY, lease=0)
            yield f"worker {number} carries out a stop", ended


@_action("end", _RUNNER + "_handle_finished")
def end(setting, state):
    """The first owner's task ends by itself."""
    for number, worker in enumerate(state.workers):
        if worker.runs == records.FIRST:
            ended = records.with_worker(state, number, runs=records.NOBODY, lease=0)
            yield f"the task ends on worker {number}", ended


@_action("drop", "jujubeglade.direct.owners:drop_silent")
def drop(setting, state):
    """An agent drops the first owner, which is silent, and halts its attempt."""
    for number, worker in enumerate(state.workers):
        if not must_drop(setting, worker):
            continue
        dropped = records.with_worker(state, number, link=records.DOWN, mail=())
        if worker.owner == records.FIRST:
            dropped = records.with_worker(
                dropped,
                number,
                phase=records.STOPPING,
                listed=worker.listed and setting.rules.keeps_dropped_owner,
            )
        yield f"agent {number} drops A", dropped


def must_drop(setting, worker):
    """Tell whether an agent has to drop the first owner now."""
    if worker.frozen or worker.silence < setting.bounds.silence:
        return False
    if worker.link != records.DOWN:
        return True
    if worker.owner != records.FIRST:
        return False
    keeps = setting.rules.keeps_dropped_owner
    return worker.phase == records.RUNNING or (worker.listed and not keeps)


@_action("freeze", _FAULTS + "freeze_agent")
def freeze(setting, state):
    """An agent freezes; what is sent to it waits."""
    if not state.faults:
        return
    for number, worker in enumerate(state.workers):
        if not worker.frozen:
            frozen = records.with_worker(state, number, frozen=1)
            yield f"agent {number} freezes", frozen._replace(faults=state.faults - 1)


@_action("wake", _AGENT + "_tick")
def wake(setting, state):
    """A frozen agent runs again; it may read an old heartbeat before its clock."""
    for number, worker in enumerate(state.workers):
        if not worker.frozen:
            continue
        awake = records.with_worker(state, number, frozen=0)
        yield f"agent {number} wakes", awake
        if worker.link != records.DOWN and worker.silence:
            heard = records.with_worker(awake, number, silence=0)
            yield f"agent {number} wakes and reads an old Beat", heard


@_action("read_end", _AGENT + "serve")
def read_end(setting, state):
    """An agent finds that the owner has closed the link."""
    for number, worker in enumerate(state.workers):
        if worker.link == records.HALF_OPEN and not worker.frozen and not worker.mail:
            closed = records.with_worker(state, number, link=records.DOWN)
            yield f"agent {number} reads the end of its link", closed
