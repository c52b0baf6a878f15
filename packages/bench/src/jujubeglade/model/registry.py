"""All specifications, in the order in which they are reported.

Importing the module of a specification registers it; this module imports all of them.
"""

import functools
import importlib

from jujubeglade.model import (
    commands,
    crashing,
    direct,
    drain,
    late_calls,
    leave,
    ownership,
    resubmission,
    shrinking,
)

_MODULES = (
    ownership,
    drain,
    commands,
    leave,
    direct,
    resubmission,
    late_calls,
    crashing,
    shrinking,
)


def specifications():
    """Return all specifications.

    Returns:
      A tuple of Specification records.
    """
    return tuple(module.SPECIFICATION for module in _MODULES)


def actions():
    """Return the code that carries out each action.

    Returns:
      A list of tuples of specification name, action name and `implemented_by`, all
      strings; see `spec.Action`.
    """
    return [
        (specification.name, action.name, action.implemented_by)
        for specification in specifications()
        for action in specification.actions
    ]


def is_implemented(place):
    """Tell whether the function or method that an action names exists.

    Args:
      place: A string, MODULE:FUNCTION or MODULE:CLASS.METHOD.

    Returns:
      A boolean.
    """
    module, _, name = place.partition(":")
    try:
        target = functools.reduce(
            getattr, name.split("."), importlib.import_module(module)
        )
    except (AttributeError, ImportError, ValueError):
        return False
    return callable(target)
