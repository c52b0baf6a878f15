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
    #: The prefix of those among them that are evacuations.
    evacuations_prefix = ""
    #: The key of the configuration.
    configuration_key = ""

    @abc.abstractmethod
    def read_configuration(self, entry):
        """Read the configuration.

        Args:
          entry: A store.Entry, the content of `configuration_key`.

        Returns:
          A Configuration, or None when it can't be read.
        """

    @abc.abstractmethod
    def read_evacuations(self, keys, revision):
        """Read the evacuations.

        Args:
          keys: An iterable of strings, the operators' keys, with or without those that
            are no evacuations.
          revision: An integer, the revision of the store.

        Returns:
          An Evacuations.
        """

    @abc.abstractmethod
    def new_worker_client(self, settings, inbound):
        """Make the client for the worker beside an agent.

        Args:
          settings: A DirectAgentSettings.
          inbound: The Inbound of the process, for the worker's reports.

        Returns:
          A WorkerClient.
        """

    @abc.abstractmethod
    def new_request_servers(self, settings, entry, inbound):
        """Make the servers for clients' requests; `open` starts them.

        Args:
          settings: A DirectEntrySettings.
          entry: The Entry that answers the requests.
          inbound: The Inbound of the process.

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
