"""Operators' commands: compare-and-swap with lost answers, races and retries.

Each command has an id and several *tries*, which are requests with this id.  The
operator may send them to any entry, also while an earlier try is still unanswered.  A
swap that was sent may take effect at any later time, or never, and its answer may be
lost.  A try without an answer, or with the answer "unknown", may be sent again.
"""

import dataclasses
import functools
import typing

from jujubeglade.model import spec

IDLE = "idle"
READING = "reading"
WAITING = "waiting"
ACCEPTED = "accepted"
REFUSED = "refused"
UNKNOWN = "unknown"

_MAX_EFFECTS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The mechanisms of the design; each field is one of them.

    Attributes:
      looks_up_outcome: A try first looks up the recorded outcome of the command's id.
      looks_up_after_conflict: A try whose swap lost a race looks it up again.
      swap_compares: The store applies a swap only to the revision that was read.
      lost_answer_is_unknown: If the store's answer is lost, the operator gets the
        answer "unknown" rather than "refused".
      swap_needs_answer: A try is accepted only on the store's answer or on a recorded
        outcome.
      retry_stays_unknown: A retry after "unknown" that changes nothing is answered
        "unknown" again, as the earlier request may still take effect.
    """

    looks_up_outcome: bool = True
    looks_up_after_conflict: bool = True
    swap_compares: bool = True
    lost_answer_is_unknown: bool = True
    swap_needs_answer: bool = True
    retry_stays_unknown: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """The sizes of a run.

    Attributes:
      tries: The number of tries of each command; its length is the number of commands.
    """

    tries: tuple


class Try(typing.NamedTuple):
    """One request of an operator.

    `phase` is its progress or its answer, `read` is the revision that it read, and
    `follows_unknown` tells whether the outcome of an earlier request is unknown.
    """

    phase: str = IDLE
    read: int = 0
    lost_race: bool = False
    follows_unknown: bool = False


class Swap(typing.NamedTuple):
    """A compare-and-swap that was sent; `applied` is None until it is decided."""

    command: int
    number: int
    expected: int
    applied: bool | None = None


class State(typing.NamedTuple):
    """The whole system.

    `effects` counts how often each command changed the store, and `false_acceptance`
    tells whether a command was accepted that had not changed it.
    """

    revision: int
    effects: tuple
    tries: tuple
    swaps: frozenset
    false_acceptance: bool


ACTIONS = []
_action = functools.partial(spec.action, ACTIONS)


def initial(setting):
    """Return the state in which no command was sent."""
    tries = setting.bounds.tries
    return State(
        revision=0,
        effects=(0,) * len(tries),
        tries=tuple((Try(),) * count for count in tries),
        swaps=frozenset(),
        false_acceptance=False,
    )


def _all_tries(state):
    for command, tries in enumerate(state.tries):
        for number, a_try in enumerate(tries):
            yield command, number, a_try


@_action("send", "jujubeglade.entry.operators:Operators.run")
def send(setting, state):
    """An operator sends a command for the first time, or again after "unknown"."""
    for command, number, a_try in _all_tries(state):
        if a_try.phase in (IDLE, UNKNOWN):
            label = f"operator sends {command}.{number}"
            sent = Try(READING, follows_unknown=a_try.phase == UNKNOWN)
            yield label, _with_try(state, command, number, sent)


@_action("read", "jujubeglade.entry.ledger:_Submission._attempt")
def read(setting, state):
    """An entry reads the document, and finds the recorded outcome or sends a swap."""
    for command, number, a_try in _all_tries(state):
        if a_try.phase != READING:
            continue
        if state.effects[command] and _looks_up_outcome(setting.rules, a_try):
            label = f"{command}.{number} finds its outcome"
            yield label, _with_try(state, command, number, Try(ACCEPTED))
            continue
        waiting = Try(WAITING, state.revision, follows_unknown=a_try.follows_unknown)
        following = _with_try(state, command, number, waiting)
        swap = Swap(command, number, state.revision)
        swaps = following.swaps | {swap}
        yield f"{command}.{number} swaps", following._replace(swaps=swaps)


def _looks_up_outcome(rules, a_try):
    return rules.looks_up_after_conflict if a_try.lost_race else rules.looks_up_outcome


@_action("apply", "jujubeglade.fakes.store:FakeStore._txn")
def apply(setting, state):
    """The store decides a swap, perhaps long after its sender has timed out."""
    for swap in state.swaps:
        if swap.applied is not None:
            continue
        matches = swap.expected == state.revision or not setting.rules.swap_compares
        following = state
        if matches:
            following = _with_effect(state, swap.command)
        decided = swap._replace(applied=matches)
        swaps = (state.swaps - {swap}) | {decided}
        verb = "applies" if matches else "rejects"
        label = f"store {verb} {swap.command}.{swap.number}"
        yield label, following._replace(swaps=swaps)


def _with_effect(state, command):
    count = min(_MAX_EFFECTS, state.effects[command] + 1)
    effects = (*state.effects[:command], count, *state.effects[command + 1 :])
    return state._replace(revision=state.revision + 1, effects=effects)


@_action("answer", "jujubeglade.entry.ledger:_Submission._swap")
def answer(setting, state):
    """The store's answer arrives at the entry, which reads again after a lost race."""
    for swap in state.swaps:
        a_try = state.tries[swap.command][swap.number]
        if a_try.phase != WAITING or a_try.read != swap.expected:
            continue
        label = f"{swap.command}.{swap.number} receives the answer {swap.applied}"
        if swap.applied or (
            swap.applied is None and not setting.rules.swap_needs_answer
        ):
            following = _with_try(state, swap.command, swap.number, Try(ACCEPTED))
            false_acceptance = state.false_acceptance or not state.effects[swap.command]
            yield label, following._replace(false_acceptance=false_acceptance)
        elif swap.applied is False:
            again = Try(READING, lost_race=True, follows_unknown=a_try.follows_unknown)
            yield label, _with_try(state, swap.command, swap.number, again)


@_action("refuse", "jujubeglade.entry.ledger:_Submission._timeout_problem")
def refuse(setting, state):
    """An entry that cannot read the store refuses, as this try changed nothing."""
    for command, number, a_try in _all_tries(state):
        if a_try.phase == READING:
            stays_unknown = a_try.follows_unknown and setting.rules.retry_stays_unknown
            answered = Try(UNKNOWN if stays_unknown else REFUSED)
            label = f"{command}.{number} cannot read: {answered.phase}"
            yield label, _with_try(state, command, number, answered)


@_action("lose_answer", "jujubeglade.entry.ledger:_Submission._timeout_problem")
def lose_answer(setting, state):
    """The store's answer is lost; the operator gets the answer "unknown"."""
    phase = UNKNOWN if setting.rules.lost_answer_is_unknown else REFUSED
    for command, number, a_try in _all_tries(state):
        if a_try.phase == WAITING:
            label = f"{command}.{number} loses the answer: {phase}"
            yield label, _with_try(state, command, number, Try(phase))


def _with_try(state, command, number, a_try):
    tries = state.tries[command]
    changed = (*tries[:number], a_try, *tries[number + 1 :])
    all_tries = (*state.tries[:command], changed, *state.tries[command + 1 :])
    return state._replace(tries=all_tries)


def at_most_one_effect(fields):
    """Tell whether each command id has changed the store at most once."""
    return all(count <= 1 for count in fields["effects"])


def accepted_is_true(fields):
    """Tell whether every accepted command has changed the store."""
    return not fields["false_acceptance"] and all(
        effects
        for effects, tries in zip(fields["effects"], fields["tries"], strict=True)
        if any(a_try.phase == ACCEPTED for a_try in tries)
    )


def refused_is_true(fields):
    """Tell whether no refused try has changed the store."""
    return not any(
        swap.applied and fields["tries"][swap.command][swap.number].phase == REFUSED
        for swap in fields["swaps"]
    )


def settled(fields):
    """Tell whether every try was accepted or refused."""
    return all(
        a_try.phase in (ACCEPTED, REFUSED)
        for tries in fields["tries"]
        for a_try in tries
    )


_SMALL = Bounds(tries=(2, 1))

SPECIFICATION = spec.register(
    spec.Specification(
        name="commands",
        rules=Rules(),
        bounds={"small": (_SMALL,), "full": (_SMALL, Bounds(tries=(3,)))},
        mutation_bounds=_SMALL,
        progress_bounds=(_SMALL,),
        actions=tuple(ACTIONS),
        initial=initial,
        invariants={
            "a command id takes effect once": at_most_one_effect,
            "accepted is true": accepted_is_true,
            "refused is true": refused_is_true,
        },
        goal=settled,
        witnesses={
            "every command is accepted": lambda fields: all(
                any(a_try.phase == ACCEPTED for a_try in tries)
                for tries in fields["tries"]
            ),
            "a try is refused": lambda fields: any(
                a_try.phase == REFUSED for tries in fields["tries"] for a_try in tries
            ),
        },
    )
)

_mutation = functools.partial(spec.mutation, "commands")


def _off(field):
    """Return a change that switches one mechanism off."""
    return lambda rules: dataclasses.replace(rules, **{field: False})


_mutation("a retry carries a new id")(_off("looks_up_outcome"))
_mutation("after a lost race the change is applied again")(
    _off("looks_up_after_conflict")
)
_mutation("a swap does not compare")(_off("swap_compares"))
_mutation("a lost answer is reported as refused")(_off("lost_answer_is_unknown"))
_mutation("a retry after an unknown outcome is reported as refused")(
    _off("retry_stays_unknown")
)
_mutation("a swap is reported as accepted without its answer")(
    _off("swap_needs_answer")
)
