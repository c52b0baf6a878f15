"""Which unfinished requests give way when a bound on input is met.

The one that is furthest from being whole, and has been so for longest, goes first: the
missing share of a request, times its age. A request that has just begun is last, so
that an ordinary client, whose request is whole within milliseconds, gets in beside any
number of clients that stay.
"""

#: The missing share of a request never counts as less: its end may never come.
MIN_MISSING_SHARE = 0.1
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
