"""The records and registries that the specifications share.

A specification is a state machine: its states are named tuples, and each of its actions
is a function.  The mechanisms of the design are the boolean fields of a *rules* record;
all of them are on.  A mutation switches a mechanism off and must give a counterexample;
if it gives none, the mechanism is not needed or the model is too small.  A relaxation
switches off a mechanism that is not needed for safety, and must not give one.

    @spec.mutation("ownership", "retry on a timeout")
    def _retry_on_timeout(rules):
        return dataclasses.replace(rules, resolve_before_retry=False)
"""

import dataclasses
import typing

MAX_STATES = 4_000_000
#: The place of an action that the product does not implement.
UNIMPLEMENTED = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Action:
    """One action of a specification.

    Attributes:
      name: A string, its name in the specification; the labels of its steps in a
        counterexample are worded freely.
      implemented_by: A string, the code that carries out the action, as MODULE:FUNCTION
        or MODULE:CLASS.METHOD; for a failure, the code that causes it in tests;
        UNIMPLEMENTED if there is none.
      apply: A function of (setting, state) that yields pairs of label and next state.
    """

    name: str
    implemented_by: str
    apply: typing.Callable


@dataclasses.dataclass(frozen=True, slots=True)
class Setting:
    """The parameters of one run of a specification.

    Attributes:
      rules: The mechanisms that are on.
      bounds: The sizes of the run.
      progress: Whether the run checks progress; some specifications then have actions
        that are not needed for safety, such as the end of failures.
    """

    rules: typing.Any
    bounds: typing.Any
    progress: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Specification:
    """One specification, with everything that a run needs.

    Attributes:
      name: The name that the mutations and the command use.
      rules: The rules record with every mechanism on.
      bounds: A dict from the name of bounds, "small" or "full", to a tuple of bounds
        records.
      mutation_bounds: The bounds record for the mutations that have none of their own.
      progress_bounds: A tuple of bounds records for the check of progress.
      actions: The actions, in a fixed order.
      initial: A function of a setting that returns the initial state.
      invariants: A dict from the name of a property to a predicate over a state's
        fields, which are a dict.
      goal: A predicate over a state's fields; the check of progress demands that a
        state that meets it stays reachable from every state.
      witnesses: A dict from a name to a predicate that some reachable state must meet;
        they show that the invariants do not hold merely because too little can happen.
      canonical: A function from a state to the representative of all states that are
        equivalent to it, or None.
    """

    name: str
    rules: typing.Any
    bounds: dict
    mutation_bounds: typing.Any
    progress_bounds: tuple
    actions: tuple
    initial: typing.Callable
    invariants: dict
    goal: typing.Callable
    witnesses: dict
    canonical: typing.Callable | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Mutation:
    """A named change of one specification's rules.

    Attributes:
      specification: The name of the specification that is changed.
      name: A string that describes the change.
      change: A function from rules to changed rules.
      expect_failure: Whether the run must find a counterexample.
      bounds: The bounds record of its run, or None for `mutation_bounds`.
    """

    specification: str
    name: str
    change: typing.Callable
    expect_failure: bool
    bounds: typing.Any = None


SPECIFICATIONS = {}
MUTATIONS = []


def register(specification):
    """Add a specification to the registry.

    Args:
      specification: The Specification to add.

    Returns:
      The same specification.
    """
    SPECIFICATIONS[specification.name] = specification
    return specification


def action(actions, name, implemented_by):
    """Return a decorator that adds a function to a list of actions.

    Args:
      actions: The list to which the action is added.
      name: The name of the action.
      implemented_by: The code that carries it out; see `Action`.
    """

    def decorate(function):
        actions.append(Action(name, implemented_by, function))
        return function

    return decorate


def mutation(specification, name, bounds=None):
    """Return a decorator that registers a mutation: it must give a counterexample.

    Args:
      specification: The name of the specification that is changed.
      name: A string that describes the change.
      bounds: The bounds record of its run, or None for `mutation_bounds`.
    """
    return _register_change(specification, name, True, bounds)


def relaxation(specification, name):
    """Return a decorator that registers a relaxation: every property must still hold.

    Args:
      specification: The name of the specification that is changed.
      name: A string that describes the change.
    """
    return _register_change(specification, name, False, None)


def _register_change(specification, name, expect_failure, bounds):
    def decorate(function):
        change = Mutation(specification, name, function, expect_failure, bounds)
        MUTATIONS.append(change)
        return function

    return decorate
