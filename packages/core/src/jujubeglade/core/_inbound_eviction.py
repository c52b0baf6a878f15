"""Which unfinished requests give way when a bound on input is met.

The one that is furthest from being whole, and has been so for longest, goes first: the
missing share of a request, times its age. For memory what it holds counts as well. A
request that has just begun is last, so that an ordinary client, whose request is whole
within milliseconds, gets in beside any number of clients that stay.
"""

#: The missing share of a request never counts as less: its end may never come.
MIN_MISSING_SHARE = 0.1
#: When the bound on memory is exceeded, input is dropped down to this share of it.
_RELIEF_SHARE = 7 / 8
#: When the bound on connections is met, one of this many gives way at once, so that the
#: connections are not ordered again for each new one.
_BATCH = 32
#: Only the first to go is younger.
_MIN_BATCH_AGE_MS = 1000


def for_connections(requests, now_ms, bound):
    """Choose the requests whose connections are closed for a new one.

    Args:
      requests: A list of unfinished requests, which have `since_ms` and
        `missing_share`.
      now_ms: A number, the monotonic clock.
      bound: An integer, the most connections.

    Returns:
      A list of requests; empty if there are none.
    """

    def weigh(request):
        return request.missing_share * (now_ms - request.since_ms)

    if not requests:
        return []
    ordered = sorted(requests, key=weigh, reverse=True)
    first, *others = ordered[: max(1, bound // _BATCH)]
    old = [item for item in others if now_ms - item.since_ms >= _MIN_BATCH_AGE_MS]
    return [first, *old]


def for_memory(requests, now_ms, held_bytes, bound):
    """Choose the requests that are dropped because all together hold too much.

    Args:
      requests: A list of unfinished requests, which also have `held_bytes`.
      now_ms: A number, the monotonic clock.
      held_bytes: An integer, what all connections hold.
      bound: An integer, the most that they may hold.

    Returns:
      A list of requests.
    """

    def weigh(request):
        # A millisecond more, so that among new requests the largest one goes first.
        age_ms = now_ms - request.since_ms + 1
        return request.held_bytes * request.missing_share * age_ms

    chosen = []
    excess = held_bytes - bound * _RELIEF_SHARE
    holding = [request for request in requests if request.held_bytes]
    for request in sorted(holding, key=weigh, reverse=True):
        if excess <= 0:
            break
        chosen.append(request)
        excess -= request.held_bytes
    return chosen
