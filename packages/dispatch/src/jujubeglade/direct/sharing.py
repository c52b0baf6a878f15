"""Sharing: which owner is notified first of room that has become free.

By default an owner reuses the room of its own ended attempts at once, which costs no
time and no messages. When several owners wait for room, that alone would confine each
to the room it already has: an urgent job with many tasks would wait for the few tasks
of its own entry, while other entries start tasks that could wait. So the owner that
needs room soonest is notified first. This matters under overload, and more the more
entries share the workers.
"""


def most_urgent_owner(owner, owners):
    """Choose the owner that is notified first of freed room.

    Args:
      owner: The Owner whose attempt has ended.
      owners: An iterable of all Owners.

    Returns:
      An Owner; `owner` itself unless another one needs room sooner.
    """
    soonest = min(
        owners, key=lambda candidate: candidate.room_needed_by_ms, default=owner
    )
    return soonest if soonest.room_needed_by_ms < owner.room_needed_by_ms else owner
