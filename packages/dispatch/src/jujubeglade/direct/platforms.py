"""Platforms: the interface to the platforms on which direct jobs run.

A platform adapter defines the protocols of workers, clients and operators: names,
formats and calls. It makes no decisions. An adapter registers itself by name.
"""

import abc

_platforms = {}


class Platform(abc.ABC):
    """The interface of a platform adapter."""

    __slots__ = ()

    #: The prefix of the operators' keys in the store.
    operators_prefix = ""

    @abc.abstractmethod
    def read_operators(self, entries, revision):
        """Read the operators' state.

        Args:
          entries: A dict from key to store.Entry, all keys under `operators_prefix`.
          revision: An integer, the revision of the store.

        Returns:
          An OperatorState, or None when it can't be read.
        """

    @abc.abstractmethod
    def new_worker_client(self, settings):
        """Make the client for the worker beside an agent.

        Args:
          settings: A DirectAgentSettings.

        Returns:
          A WorkerClient.
        """

    @abc.abstractmethod
    def new_request_servers(self, settings, entry):
        """Make the servers for clients' requests; `open` starts them.

        Args:
          settings: A DirectEntrySettings.
          entry: The Entry that answers the requests.

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
