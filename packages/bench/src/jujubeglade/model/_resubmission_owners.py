"""The owners and the client of the specification `resubmission`."""

import functools

from jujubeglade.model import _resubmission_records as records
from jujubeglade.model import spec

ACTIONS = []
_action = functools.partial(spec.action, ACTIONS)
_DISPATCHER = "jujubeglade.direct.dispatcher:Dispatcher."
_FAULTS = "jujubeglade.fakes.direct_random_faults:Faults."
_RUNNER = "jujubeglade.direct.runner:Runner."
_HALT = records.Message(records.HALT)


def _room_age(worker):
    """Return the age of the newest message that the owner can have from an agent."""
    return max(0, worker.frozen - 1)


def _echo_age(setting, first, worker):
    """Return the age of the agent's message that a heartbeat of the owner answers."""
    age = _room_age(worker)
    if setting.rules.vouches_for_clients:
        age = max(age, first.unchecked)
    return age


@_action("place", _DISPATCHER + "send")
def place(setting, state):
    """The first owner sends the task to a worker."""
    first = state.first
    if not records.may_act(first) or first.status != records.OPEN:
        return
    if first.place != records.UNPLACED:
        return
    if setting.rules.looks_before_sending and records.has_unseen_break(state):
        return
    for number, worker in enumerate(state.workers):
        if worker.link != records.UP:
            continue
        begin = records.Message(records.BEGIN, _room_age(worker))
        sent = records.with_worker(state, number, mail=(*worker.mail, begin))
        yield f"A sends the task to {number}", records.with_first(sent, place=number)


@_action("beat", "jujubeglade.direct.owners:Owner.note_echo")
def beat(setting, state):
    """An agent reads a heartbeat of the first owner."""
    if not records.may_act(state.first):
        return
    for number, worker in enumerate(state.workers):
        if worker.link != records.UP or worker.frozen or worker.mail:
            continue
        age = worker.age
        if worker.owner == records.FIRST and worker.phase == records.RUNNING:
            age = min(age, _echo_age(setting, state.first, worker))
        if (age, 0) != (worker.age, worker.silence):
            heard = records.with_worker(state, number, silence=0, age=age)
            yield f"agent {number} hears A", heard


@_action("report", _DISPATCHER + "_handle_roster")
def report(setting, state):
    """The first owner learns that its attempt is not at the agent."""
    number = state.first.place
    if not records.may_act(state.first) or number == records.UNPLACED:
        return
    worker = state.workers[number]
    if worker.link != records.UP or worker.frozen or worker.mail:
        return
    if worker.owner == records.FIRST and worker.listed:
        return
    yield (
        f"A learns that {number} has no attempt",
        records.with_first(state, place=records.UNPLACED, wait=0),
    )


@_action("gone", "jujubeglade.direct.fleet:Fleet.gone")
def gone(setting, state):
    """The first owner has waited until its lost worker can't run the task any more."""
    limit = setting.bounds.silence + setting.bounds.lease
    if records.may_act(state.first) and state.first.wait > limit:
        yield (
            "A gives up the worker",
            records.with_first(state, place=records.UNPLACED, wait=0),
        )


@_action("close", "jujubeglade.direct.entry:Entry._abort_silent")
def close_link(setting, state):
    """The first owner closes the link of a silent agent."""
    if not records.may_act(state.first):
        return
    for number, worker in enumerate(state.workers):
        if worker.link == records.UP and worker.frozen > setting.bounds.silence:
            closed = records.with_worker(state, number, link=records.HALF_OPEN)
            yield f"A closes the link of {number}", closed


@_action("relink", _DISPATCHER + "_halt_all")
def relink(setting, state):
    """An agent dials the first owner again."""
    first = state.first
    if not records.may_act(first):
        return
    for number, worker in enumerate(state.workers):
        if worker.link != records.DOWN or worker.frozen:
            continue
        unwanted = first.status == records.CLOSED or first.place != number
        listed = worker.owner == records.FIRST and worker.listed
        halts = setting.rules.repeats_halts and unwanted and listed
        linked = records.with_worker(
            state,
            number,
            link=records.UP,
            silence=0,
            mail=(_HALT,) if halts else (),
        )
        if first.place == number:
            linked = records.with_first(linked, wait=0)
        yield f"agent {number} dials A", linked


@_action("see_break", _DISPATCHER + "_answer")
def see_break(setting, state):
    """The first owner looks at its client's connection, and halts if it is broken."""
    first = state.first
    if not records.may_act(first):
        return
    checked = records.with_first(state, unchecked=0)
    if not records.has_unseen_break(state):
        if first.unchecked:
            yield "A looks at its clients", checked
        return
    checked = records.with_first(checked, status=records.CLOSED)
    if first.place != records.UNPLACED:
        worker = state.workers[first.place]
        if worker.link == records.UP:
            mail = (*worker.mail, _HALT)
            checked = records.with_worker(checked, first.place, mail=mail)
    yield "A sees that its client has left", checked


@_action("break_client", _FAULTS + "reset_clients")
def break_client(setting, state):
    """The connection of the client to the first owner breaks."""
    if state.faults and state.client == records.CONNECTED:
        yield (
            "the client's connection breaks",
            state._replace(client=setting.bounds.resubmission, faults=state.faults - 1),
        )


@_action("kill_owner", _FAULTS + "restart_entry")
def kill_owner(setting, state):
    """The first owner dies."""
    if not state.faults or state.first.status == records.DEAD:
        return
    client = state.client
    if client == records.CONNECTED:
        client = setting.bounds.resubmission
    yield (
        "A dies",
        state._replace(
            first=records.Owner(status=records.DEAD),
            client=client,
            workers=tuple(map(records.lose_link, state.workers)),
            faults=state.faults - 1,
        ),
    )


@_action("freeze_owner", _FAULTS + "freeze_entry")
def freeze_owner(setting, state):
    """The first owner freezes."""
    if state.faults and records.may_act(state.first) and not state.first.unchecked:
        yield (
            "A freezes",
            records.with_first(state, frozen=1)._replace(faults=state.faults - 1),
        )


@_action("wake_owner", "jujubeglade.direct.entry:Entry._resume")
def wake_owner(setting, state):
    """The first owner runs again."""
    if state.first.frozen:
        yield (
            "A wakes",
            records.with_first(state, frozen=0, unchecked=state.first.frozen - 1),
        )


@_action("cut", _FAULTS + "reset_link")
def cut(setting, state):
    """The link between the first owner and an agent fails."""
    if not state.faults:
        return
    for number, worker in enumerate(state.workers):
        if worker.link == records.UP:
            closed = records.lose_link(worker)
            cut_off = records.with_worker(state, number, **closed._asdict())
            yield f"link of {number} fails", cut_off._replace(faults=state.faults - 1)


@_action("place_second", _DISPATCHER + "send")
def place_second(setting, state):
    """The second owner sends the task to a worker."""
    if state.client != 0 or state.second != records.UNPLACED:
        return
    for number, worker in enumerate(state.workers):
        if worker.frozen:
            continue
        if worker.phase == records.NONE:
            yield _start_second(setting, state, number)
        elif setting.rules.holds_duplicates:
            yield (
                f"agent {number} holds the attempt of B",
                records.with_worker(
                    state, number, phase=records.STOPPING, held=True
                )._replace(second=number),
            )
        elif worker.phase == records.RUNNING:
            yield (
                f"agent {number} refuses B a duplicate",
                records.with_worker(state, number, phase=records.STOPPING),
            )


def _start_second(setting, state, number):
    started = records.with_worker(
        state,
        number,
        phase=records.RUNNING,
        owner=records.SECOND,
        held=False,
        runs=records.SECOND,
        lease=setting.bounds.lease,
    )
    return f"worker {number} starts the task for B", started._replace(second=number)


@_action("start_held", _RUNNER + "_admit_held")
def start_held(setting, state):
    """An agent starts an attempt that it has held."""
    for number, worker in enumerate(state.workers):
        if worker.held and worker.phase == records.NONE and not worker.frozen:
            yield _start_second(setting, state, number)
