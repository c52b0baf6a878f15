"""Spreading: entries that see the same workers don't all choose the same one.

It answers a load at which several entries have waiting tasks when a few workers get
room: all sent to the single emptiest worker at the same time, which refused most of
these starts. Workers with about the same room count as equal, and each entry prefers
them in an order of its own.
"""

import functools
import hashlib

_HASH_BYTES = 8


def spread_as(entry, options, cluster_state):
    """Return the name of an entry if entries coordinate; else an empty string.

    Args:
      entry: A string, the name of the entry.
      options: An Options.
      cluster_state: A ClusterState.
    """
    entries = len(cluster_state.members.addresses)
    return entry if options.coordinates(entries) else ""


def order(entry, worker, free_cpu, needs_cpu):
    """Return the place of a worker among equally good ones, as a tuple to sort by.

    A worker with room for at least twice as many tasks goes first.

    Args:
      entry: A string, the name of the entry.
      worker: A string, the name of the worker.
      free_cpu: An integer, the free thousandths of a core of the worker.
      needs_cpu: An integer, those that a task needs.
    """
    return -(free_cpu // max(1, needs_cpu)).bit_length(), _rank(entry, worker)


@functools.lru_cache(maxsize=1 << 14)
def _rank(entry, worker):
    text = f"{entry} {worker}"
    return hashlib.blake2b(text.encode(), digest_size=_HASH_BYTES).digest()
