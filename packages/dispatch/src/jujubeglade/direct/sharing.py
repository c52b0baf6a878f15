"""Sharing: which owner learns first of room that has become free.

An owner uses the room of its own ended attempts again at once, which wastes neither
time nor messages. Where several owners wait for room, that alone would give each only
what it has: a wide job in a hurry would wait for the few tasks of its own entry, while
others start what could still wait. So the owner that needs room soonest is told first.
It answers overload, the more so the more entries share the workers.
"""


def most_urgent_owner(owner, owners):
    """Choose the owner that is told first of freed room.

    Args:
      owner: The Owner whose attempt has ended.
      owners: An iterable of all Owners.

    Returns:
      An Owner; `owner` itself unless another one needs room sooner.
    """
    soonest = min(owners, key=lambda each: each.room_needed_by_ms, default=owner)
    return soonest if soonest.room_needed_by_ms < owner.room_needed_by_ms else owner
