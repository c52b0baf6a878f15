"""The records of the specification `resubmission`, and the steps that change them."""

import dataclasses
import typing

#: The first owner and the second one, and the absence of an owner.
NOBODY, FIRST, SECOND = range(3)
#: The place of a task that is on no worker.
UNPLACED = -1
#: The client of a job whose connection to the first owner is open.
CONNECTED = -1
#: The states of the first owner: its job is in progress; answered; it has died.
OPEN, CLOSED, DEAD = range(3)
#: The states of a link between the first owner and an agent. The owner has closed a
#: HALF_OPEN link, and the agent may still read what was sent before.
DOWN, UP, HALF_OPEN = range(3)
#: The phases of an attempt as far as its agent knows.
NONE, RUNNING, STOPPING = range(3)
#: The kinds of messages on a link.
BEGIN, HALT = range(2)


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The mechanisms of the design; each field is one of them.

    Attributes:
      keeps_dropped_owner: An agent that drops a silent owner keeps the record of it
        until the owner's attempts have ended, and lists them on a new link.
      repeats_halts: On a new link, the owner halts each listed attempt that it does not
        wait for any more.
      limits_lease_by_owner: A call does not extend the worker lease beyond the time at
        which a client of the attempt's owner may have its job running elsewhere: the
        last time at which the owner was known to be alive, plus the resubmission delay.
      limits_lease_by_wait: Nor beyond the time at which the owner itself may place the
        task again, as it has lost its link for long enough.
      begins_prove_age: A Begin proves only that its owner was alive when it was sent.
      halt_keeps_limit: A halt does not move this limit of its attempt.
      vouches_for_clients: A message proves that its owner was alive only at a time
        before which the owner has noticed all broken connections of its clients.
      looks_before_sending: An owner sends an attempt only if its client is connected at
        that moment, also when it has yet to read the end of the connection.
      refuses_old_begins: A Begin is refused if it may have been sent too long ago.
      holds_duplicates: An attempt of a task that still runs at its agent for another
        owner is held there until that has ended.
    """

    keeps_dropped_owner: bool = True
    repeats_halts: bool = True
    limits_lease_by_owner: bool = True
    limits_lease_by_wait: bool = True
    begins_prove_age: bool = True
    halt_keeps_limit: bool = True
    vouches_for_clients: bool = True
    looks_before_sending: bool = True
    refuses_old_begins: bool = True
    holds_duplicates: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """The sizes of a run; all times are in ticks.

    Attributes:
      workers: An integer, the number of workers.
      faults: An integer, the number of failures that may happen.
      silence: The silence after which an agent drops an owner.
      lease: The longest worker lease, on a slow clock.
      resubmission: The time after which a client submits again.
      begin_age: The age at which a Begin is too old.
      unseen_breaks: Whether an owner that runs may not notice a broken connection of
        its client.
    """

    workers: int
    faults: int
    silence: int = 1
    lease: int = 2
    resubmission: int = 3
    begin_age: int = 1
    unseen_breaks: bool = False


class Message(typing.NamedTuple):
    """A message in flight; `age` is that of the newest agent's message it answers."""

    kind: int
    age: int = 0


class Worker(typing.NamedTuple):
    """A worker, its agent, and the agent's link to the first owner.

    `frozen` is 0 while the agent runs, else 1 plus the ticks that it has been frozen.
    `silence` has the ticks since it last read a message of the first owner. `phase`,
    `owner`, `listed` and `age` describe the attempt at the agent: whether the Roster of
    a new link lists it, and the ticks since its owner was last known to be alive.
    `held` tells whether an attempt of the second owner is held. `runs` is the owner for
    which the worker runs the task, and `lease` has the ticks until it ends that.
    """

    frozen: int = 0
    silence: int = 0
    link: int = UP
    mail: tuple = ()
    phase: int = NONE
    owner: int = NOBODY
    listed: bool = False
    age: int = 0
    held: bool = False
    runs: int = NOBODY
    lease: int = 0


class Owner(typing.NamedTuple):
    """The first owner.

    `place` is the worker to which it has sent the task. `wait` has the ticks since it
    lost the link to it. `frozen` is 0 while it runs, else 1 plus the ticks that it has
    been frozen; `unchecked` has these ticks after that, until it has looked at the
    connections of its clients.
    """

    status: int = OPEN
    place: int = UNPLACED
    wait: int = 0
    frozen: int = 0
    unchecked: int = 0


class State(typing.NamedTuple):
    """The whole system.

    `client` is CONNECTED, or the ticks until the client submits again, which is to the
    second owner. `second` is the worker to which that has sent the task.
    """

    workers: tuple
    first: Owner
    client: int
    second: int
    faults: int


def with_worker(state, number, **changes):
    workers = list(state.workers)
    workers[number] = workers[number]._replace(**changes)
    return state._replace(workers=tuple(workers))


def with_first(state, **changes):
    return state._replace(first=state.first._replace(**changes))


def without_attempt(state, number):
    return with_worker(state, number, phase=NONE, owner=NOBODY, listed=False, age=0)


def may_act(first):
    """Tell whether the first owner can take steps now."""
    return first.status != DEAD and not first.frozen


def has_unseen_break(state):
    """Tell whether the first owner has yet to notice that its client has left."""
    return state.first.status == OPEN and state.client != CONNECTED


def granted(setting, worker):
    """Return the lease that a call may grant now."""
    if worker.owner == SECOND or not setting.rules.limits_lease_by_owner:
        return setting.bounds.lease
    limit = setting.bounds.resubmission
    if setting.rules.limits_lease_by_wait:
        limit = min(limit, setting.bounds.silence + setting.bounds.lease)
    return max(0, min(setting.bounds.lease, limit - worker.age))


def lose_link(worker):
    """Return the worker after its link to the first owner was closed at that end."""
    if worker.link == UP and worker.frozen:
        return worker._replace(link=HALF_OPEN)
    if worker.link == UP:
        return worker._replace(link=DOWN, mail=())
    return worker
