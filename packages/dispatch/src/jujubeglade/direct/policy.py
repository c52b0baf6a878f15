"""The registry of the policies for direct jobs.

Each decision has one or more policies: functions of typed records, registered under the
decision and a name, so that a test or a measurement can replace one by another.

    @policy.choice("placement", "fast_first")
    def fast_first(...): ...
"""

_choices = {}


def choice(decision, name):
    """Register a function as one policy for a decision.

    Args:
      decision: A string, such as `placement`.
      name: A string.

    Returns:
      A decorator that returns its function unchanged.
    """

    def register(function):
        _choices[decision, name] = function
        return function

    return register


def find(decision, name):
    """Return the function of a policy.

    Args:
      decision: A string.
      name: A string.

    Returns:
      A function.

    Raises:
      KeyError: No policy is registered under these names.
    """
    return _choices[decision, name]


def names(decision):
    """List the names of the policies for a decision, sorted.

    Args:
      decision: A string.
    """
    return sorted(name for key, name in _choices if key == decision)
