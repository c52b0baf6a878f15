"""Subsets: which entries an agent serves.

With a link between every agent and every entry, heartbeats and announcements of room
cost each process as much as the whole fleet is large. So an agent serves only some of
the entries. Each agent ranks the entries by a hash of its own name and theirs
(rendezvous hashing): the choice needs no agreement, the agents of an entry are spread
evenly over zones and racks, and an entry that comes or goes changes few links.

An entry places its jobs on the agents that serve it. With five agents for each entry
these are 60 on average, several times what the widest job needs.
"""

import hashlib

#: The number of entries that an agent serves; all of them if there are no more.
MAX_ENTRIES = 12
_HASH_BYTES = 8


def choose(name, addresses):
    """Choose the entries that an agent serves.

    Args:
      name: A string, the agent's name.
      addresses: Strings, the addresses of all entries.

    Returns:
      A frozenset of addresses.
    """
    ranked = sorted(addresses, key=lambda address: _rank(name, address))
    return frozenset(ranked[:MAX_ENTRIES])


def sharing_entries(entries):
    """Return how many entries share each worker.

    Args:
      entries: An integer, the number of all entries.
    """
    return min(entries, MAX_ENTRIES)


def _rank(name, address):
    text = f"{name} {address}"
    return hashlib.blake2b(text.encode(), digest_size=_HASH_BYTES).digest()
