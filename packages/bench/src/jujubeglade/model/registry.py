"""All specifications, in the order in which they are reported.

Importing a specification's module registers it; this module imports them all.
"""

from jujubeglade.model import commands, drain, leave, ownership

_MODULES = (ownership, drain, commands, leave)


def specifications():
    """Return all specifications.

    Returns:
      A tuple of Specification records.
    """
    return tuple(module.SPECIFICATION for module in _MODULES)


def actions():
    """Return where each action of the model is carried out.

    Returns:
      A list of tuples: specification name, action name, dotted module name.
    """
    return [
        (specification.name, action.name, action.implemented_by)
        for specification in specifications()
        for action in specification.actions
    ]
