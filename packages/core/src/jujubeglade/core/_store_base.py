"""Records, interface and driver registry of the store.

Other packages import `jujubeglade.core.store` instead. Drivers import this module,
because `store` imports the built-in drivers.
"""

import abc
import dataclasses

import result

from jujubeglade.core import problem

MAX_VALUE_BYTES = 1_000_000
_DEFAULT_TIMEOUT_MS = 500

_drivers = {}


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """The address of the store and how to connect to it.

    Attributes:
      address: A string, the base URL, for example ``http://10.0.0.5:2379``.
      driver: A string, the name of a registered driver.
      timeout_ms: An integer, the timeout of each call except a watch.
      token: A string, the whole value of the ``Authorization`` header, including
        ``Bearer`` if the store expects that; empty to send no header.
    """

    address: str
    driver: str = "etcd"
    timeout_ms: int = _DEFAULT_TIMEOUT_MS
    token: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One key and its value in the store.

    Attributes:
      key: A string.
      value: Bytes.
      mod_revision: An integer, the store's revision of the last change of the key;
        0 stands for a key that does not exist.
    """

    key: str
    value: bytes
    mod_revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """All keys under a prefix, with the revision to watch from.

    Attributes:
      entries: A tuple of Entry records, ordered by key.
      revision: An integer, the store's revision at the start of the read; a watch
        from the next revision on reports all later changes.
    """

    entries: tuple
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One change that a watch reports.

    Attributes:
      entry: An Entry; its value is empty when the key was deleted.
      deleted: A boolean.
    """

    entry: Entry
    deleted: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A lease that the store granted.

    Attributes:
      lease_id: An integer.
      ttl_ms: An integer, how long the lease lasts after the last keepalive.
    """

    lease_id: int
    ttl_ms: int


class Store(abc.ABC):
    """One connection to the store; every driver implements it."""

    __slots__ = ()

    @abc.abstractmethod
    async def get(self, key):
        """Read one key.

        Args:
          key: A string.

        Returns:
          A Result of an Entry (with `mod_revision` 0 if there is no such key), or
          of a Problem.
        """

    @abc.abstractmethod
    async def get_prefix(self, prefix):
        """Read all keys that begin with a prefix.

        Args:
          prefix: A string, not empty.

        Returns:
          A Result of a tuple of Entry records, ordered by key, or of a Problem.
        """

    @abc.abstractmethod
    async def snapshot(self, prefix):
        """Read all keys under a prefix, with the revision to watch from.

        Args:
          prefix: A string, not empty.

        Returns:
          A Result of a Snapshot or of a Problem.
        """

    @abc.abstractmethod
    async def compare_and_swap(self, key, value, mod_revision, lease_id=0):
        """Write a key if its mod revision is still the given one.

        Args:
          key: A string.
          value: Bytes, `MAX_VALUE_BYTES` at most.
          mod_revision: An integer, the mod revision read before; 0 to create the key.
          lease_id: An integer, the lease with which the key is deleted; 0 for none.

        Returns:
          A Result of an integer, the key's new mod revision, or of a Problem.
        """

    @abc.abstractmethod
    async def grant(self, ttl_ms):
        """Ask for a lease.

        Args:
          ttl_ms: An integer, how long it lasts; the store may round it up.

        Returns:
          A Result of a Lease or of a Problem.
        """

    @abc.abstractmethod
    async def keepalive(self, lease_id):
        """Renew a lease.

        Args:
          lease_id: An integer.

        Returns:
          A Result of a Lease, or of a Problem; its kind is `conflict` if the lease
          has lapsed.
        """

    @abc.abstractmethod
    async def revoke(self, lease_id):
        """End a lease, which deletes its keys.

        Args:
          lease_id: An integer.

        Returns:
          A Result of None or of a Problem.
        """

    @abc.abstractmethod
    def watch(self, prefix, start_revision=0):
        """Watch the changes under a prefix.

        Args:
          prefix: A string, not empty.
          start_revision: An integer, the store's revision from which changes are
            reported; 0 for changes from now on.

        Returns:
          An asynchronous iterator of Results of Event. It ends after its first
          Problem; the caller must then read again and start another watch.
        """

    @abc.abstractmethod
    async def close(self):
        """Close the connections."""


def driver(name):
    """Register a function that connects to one kind of store.

    Args:
      name: A string, the name of the driver in the settings.

    Returns:
      A decorator for a function that takes Settings and returns a Store.
    """

    def register(function):
        _drivers[name] = function
        return function

    return register


def drivers():
    """List the names of the registered drivers.

    Returns:
      A sorted tuple of strings.
    """
    return tuple(sorted(_drivers))


def connect(settings):
    """Make a store; the first call of the store opens its connection.

    Args:
      settings: A Settings record.

    Returns:
      A Result of a Store, or of a Problem if there is no such driver.
    """
    connector = _drivers.get(settings.driver)
    if connector is None:
        return result.Err(
            problem.Problem(
                problem.Kind.SETTINGS,
                f"there is no store driver {settings.driver!r}",
                f"use one of: {', '.join(drivers())}",
                place="store.driver",
            )
        )
    return result.Ok(connector(settings))


def not_applied(message, kind=problem.Kind.STORE, retry_after_ms=0):
    """Make the problem of a call that certainly had no effect.

    Args:
      message: A string, what happened.
      kind: A Kind.
      retry_after_ms: An integer.

    Returns:
      A Problem.
    """
    return problem.Problem(
        kind,
        message,
        "the store applied nothing; try again",
        place="store",
        retry_after_ms=retry_after_ms,
    )


def conflict(key, mod_revision):
    """Make the problem of a failed comparison.

    Args:
      key: A string.
      mod_revision: An integer, the revision that was expected.

    Returns:
      A Problem.
    """
    return problem.Problem(
        problem.Kind.CONFLICT,
        f"key {key!r} is no longer at revision {mod_revision}",
        "read it, then decide again",
        place="store",
    )


def unknown(message):
    """Make the problem of a call that may have been applied.

    Args:
      message: A string, what happened.

    Returns:
      A Problem.
    """
    return problem.Problem(
        problem.Kind.STORE,
        message,
        "the change may have been applied; read before trying again",
        place="store",
        outcome=problem.Outcome.UNKNOWN,
    )


def is_unknown(cause):
    """Tell whether a failed call may have been applied.

    Args:
      cause: A Problem that a store returned.

    Returns:
      A boolean.
    """
    return cause.outcome is problem.Outcome.UNKNOWN
