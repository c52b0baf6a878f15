"""Operators' commands: compare-and-swap with lost answers, races and retries.

Each command has an id and several *tries*: an operator sends it again, to any entry,
while a former try may still be frozen.  A swap that was sent may take effect at any
later time, or never, and its answer may be lost.  An entry that gave no answer, or said
"unknown", may be asked again.
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

_MOST_EFFECTS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The mechanisms of the design; each field is one of them.

    Attributes:
      finds_outcome: A try looks for the outcome under the command's id first.
      finds_after_conflict: So does a try whose swap lost a race.
      swap_compares: The store applies a swap only to the revision that was read.
      lost_is_unknown: A lost answer is told as unknown, not as refused.
      swap_needs_answer: A try is accepted only on an answer or a found outcome.
      retry_stays_unknown: A refusal of a retry says nothing of the former request.
    """

    finds_outcome: bool = True
    finds_after_conflict: bool = True
    swap_compares: bool = True
    lost_is_unknown: bool = True
    swap_needs_answer: bool = True
    retry_stays_unknown: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """The sizes of a run.

    Attributes:
      tries: The number of tries of each command; its length is that of commands.
    """

    tries: tuple


class Try(typing.NamedTuple):
    """One request of an operator: what it does or was told, and what it read.

    `unsure` tells that it follows a request of which the outcome is unknown.
    """

    phase: str = IDLE
    read: int = 0
    raced: bool = False
    unsure: bool = False


class Swap(typing.NamedTuple):
    """A compare-and-swap under way, and whether it took effect or failed."""

    command: int
    number: int
    expected: int
    done: bool | None = None


class State(typing.NamedTuple):
    """The whole system; `effects` counts how often each command changed the store."""

    revision: int
    effects: tuple
    tries: tuple
    swaps: frozenset
    lied: bool


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
        lied=False,
    )


def _each_try(state):
    for command, tries in enumerate(state.tries):
        for number, one in enumerate(tries):
            yield command, number, one


@_action("send", "jujubeglade.entry.operators:Operators.run")
def send(setting, state):
    """An operator sends a command, or sends it again after "unknown"."""
    for command, number, one in _each_try(state):
        if one.phase in (IDLE, UNKNOWN):
            label = f"operator sends {command}.{number}"
            sent = Try(READING, unsure=one.phase == UNKNOWN)
            yield label, _with_try(state, command, number, sent)


@_action("read", "jujubeglade.entry.ledger:_Submission._attempt")
def read(setting, state):
    """An entry reads the document and finds the outcome or sends a swap."""
    for command, number, one in _each_try(state):
        if one.phase != READING:
            continue
        if state.effects[command] and _looks(setting.rules, one):
            label = f"{command}.{number} finds its outcome"
            yield label, _with_try(state, command, number, Try(ACCEPTED))
            continue
        waiting = Try(WAITING, state.revision, unsure=one.unsure)
        following = _with_try(state, command, number, waiting)
        swap = Swap(command, number, state.revision)
        swaps = following.swaps | {swap}
        yield f"{command}.{number} swaps", following._replace(swaps=swaps)


def _looks(rules, one):
    return rules.finds_after_conflict if one.raced else rules.finds_outcome


@_action("apply", "jujubeglade.fakes.store:FakeStore._txn")
def apply(setting, state):
    """The store decides a swap, perhaps long after its sender gave up."""
    for swap in state.swaps:
        if swap.done is not None:
            continue
        fits = swap.expected == state.revision or not setting.rules.swap_compares
        following = state
        if fits:
            following = _with_effect(state, swap.command)
        decided = swap._replace(done=fits)
        swaps = (state.swaps - {swap}) | {decided}
        verb = "applies" if fits else "rejects"
        label = f"store {verb} {swap.command}.{swap.number}"
        yield label, following._replace(swaps=swaps)


def _with_effect(state, command):
    count = min(_MOST_EFFECTS, state.effects[command] + 1)
    effects = (*state.effects[:command], count, *state.effects[command + 1 :])
    return state._replace(revision=state.revision + 1, effects=effects)


@_action("answer", "jujubeglade.entry.ledger:_Submission._swap")
def answer(setting, state):
    """The store's answer reaches the entry; after a lost race it reads again."""
    for swap in state.swaps:
        one = state.tries[swap.command][swap.number]
        if one.phase != WAITING or one.read != swap.expected:
            continue
        label = f"{swap.command}.{swap.number} hears {swap.done}"
        if swap.done or (swap.done is None and not setting.rules.swap_needs_answer):
            following = _with_try(state, swap.command, swap.number, Try(ACCEPTED))
            lied = state.lied or not state.effects[swap.command]
            yield label, following._replace(lied=lied)
        elif swap.done is False:
            again = Try(READING, raced=True, unsure=one.unsure)
            yield label, _with_try(state, swap.command, swap.number, again)


@_action("refuse", "jujubeglade.entry.ledger:_Submission._timeout_problem")
def refuse(setting, state):
    """An entry that cannot read the store refuses: this try changed nothing."""
    for command, number, one in _each_try(state):
        if one.phase == READING:
            unsure = one.unsure and setting.rules.retry_stays_unknown
            told = Try(UNKNOWN if unsure else REFUSED)
            label = f"{command}.{number} cannot read: {told.phase}"
            yield label, _with_try(state, command, number, told)


@_action("lose_answer", "jujubeglade.entry.ledger:_Submission._timeout_problem")
def lose_answer(setting, state):
    """The store's answer does not come; the operator is told "unknown"."""
    phase = UNKNOWN if setting.rules.lost_is_unknown else REFUSED
    for command, number, one in _each_try(state):
        if one.phase == WAITING:
            label = f"{command}.{number} loses the answer: {phase}"
            yield label, _with_try(state, command, number, Try(phase))


def _with_try(state, command, number, one):
    tries = state.tries[command]
    changed = (*tries[:number], one, *tries[number + 1 :])
    every = (*state.tries[:command], changed, *state.tries[command + 1 :])
    return state._replace(tries=every)


def at_most_one_effect(fields):
    """Tell whether each command id has changed the store at most once."""
    return all(count <= 1 for count in fields["effects"])


def accepted_is_true(fields):
    """Tell whether whoever was told "accepted" finds the change in the store."""
    return not fields["lied"] and all(
        effects
        for effects, tries in zip(fields["effects"], fields["tries"], strict=True)
        if any(one.phase == ACCEPTED for one in tries)
    )


def refused_is_true(fields):
    """Tell whether a refused try has changed nothing."""
    return not any(
        swap.done and fields["tries"][swap.command][swap.number].phase == REFUSED
        for swap in fields["swaps"]
    )


def settled(fields):
    """Tell whether every command was accepted or refused."""
    return all(
        one.phase in (ACCEPTED, REFUSED) for tries in fields["tries"] for one in tries
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
                any(one.phase == ACCEPTED for one in tries) for tries in fields["tries"]
            ),
            "a try is refused": lambda fields: any(
                one.phase == REFUSED for tries in fields["tries"] for one in tries
            ),
        },
    )
)

_mutation = functools.partial(spec.mutation, "commands")


def _off(field):
    """Return a change that switches one mechanism off."""
    return lambda rules: dataclasses.replace(rules, **{field: False})


_mutation("a retry carries a new id")(_off("finds_outcome"))
_mutation("after a lost race the change is applied anew")(_off("finds_after_conflict"))
_mutation("a swap does not compare")(_off("swap_compares"))
_mutation("a lost answer is told as refused")(_off("lost_is_unknown"))
_mutation("a refused retry is told as refused for good")(_off("retry_stays_unknown"))
_mutation("a swap is told as accepted without its answer")(_off("swap_needs_answer"))
