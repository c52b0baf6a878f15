"""Platforms: where direct jobs run, behind one narrow interface.

A platform says how workers, clients and operators speak. It holds names, formats and
calls and decides nothing. An adapter registers itself by name.
"""

import abc

_platforms = {}


class Platform(abc.ABC):
    """What an adapter gives."""

    __slots__ = ()

    #: The prefix of the operators' keys in the store.
    operators_prefix = ""

    @abc.abstractmethod
    def read_operators(self, entries, revision):
        """Read what the operators want.

        Args:
          entries: A dict from key to Entry, all those under `operators_prefix`.
          revision: An integer, of the store.

        Returns:
          An OperatorState, or None when it can't be read.
        """

    @abc.abstractmethod
    def open_worker_client(self, settings):
        """Make the way to the worker beside an agent.

        Args:
          settings: A DirectAgentSettings.

        Returns:
          A WorkerClient.
        """

    @abc.abstractmethod
    def open_front(self, settings, entry):
        """Make the server that takes clients' requests.

        Args:
          settings: A DirectEntrySettings.
          entry: the Entry that answers them.

        Returns:
          An object with the coroutines `open()` and `close()`.
        """


def adapter(name):
    """Register a class as a platform.

    Args:
      name: A string, the name that settings use.

    Returns:
      A decorator for a subclass of Platform.
    """

    def register(cls):
        _platforms[name] = cls()
        return cls

    return register


def find(name):
    """Find a platform.

    Args:
      name: A string.

    Returns:
      A Platform.

    Raises:
      KeyError: No adapter of that name was imported.
    """
    return _platforms[name]
