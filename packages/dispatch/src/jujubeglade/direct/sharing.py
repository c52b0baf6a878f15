"""Sharing: which owner learns first of room that has become free.

An owner uses the room of its own ended attempts again at once, which wastes neither
time nor messages. Where several owners wait for room, that alone would leave nothing to
those that have little: then the one that has least here is told first. It answers
overload in which the clients of one entry would be refused while others are served.
"""


def heir(owner, freed_cpu, in_use, owners):
    """Choose the owner that is told first of freed room.

    Args:
      owner: The Owner whose attempt has ended.
      freed_cpu: An integer, thousandths of a core that became free.
      in_use: A function from an Owner to the thousandths of a core it uses here.
      owners: An iterable of all Owners.

    Returns:
      An Owner; `owner` itself unless another one that waits would still have no more
      than it.
    """
    waiting = [each for each in owners if each.is_waiting and each is not owner]
    if not waiting:
        return owner
    least = min(waiting, key=in_use)
    if in_use(least) + freed_cpu > in_use(owner):
        return owner
    return least
