"""The ideal that response times are held against, and the best queue there can be.

The ideal of a job is that of an idle system without any cost: its longest task, or
its work spread over all slots, and the round trips on its way. It does not know of
other jobs. `best_queue` does: it serves the same arrivals in one queue with all
slots and no cost, so that what load alone does to response times can be told from
what the system adds.
"""

import heapq

# Client to entry, entry to home, home to executor, executor to upstream: the users
# give a round trip as under a millisecond.
ROUND_TRIPS_MS = 4.0


def response_ms(arrival, slots):
    """Work out the ideal response time of a job.

    Args:
      arrival: A load.Arrival.
      slots: An integer, of all workers.

    Returns:
      A number.
    """
    work_ms = sum(arrival.run_ms) / slots
    return max(*arrival.run_ms, work_ms) + ROUND_TRIPS_MS


def best_queue(arrivals, slots):
    """Serve arrivals in the order of arrival, urgent jobs first, at no cost.

    Args:
      arrivals: A sequence of load.Arrivals in their order.
      slots: An integer.

    Returns:
      A list of numbers, the response time of each, with the round trips.
    """
    free_at = [0.0] * slots
    waiting = []
    ends = [0.0] * len(arrivals)
    coming = 0
    now_ms = 0.0
    while coming < len(arrivals) or waiting:
        now_ms = max(now_ms, free_at[0])
        if not waiting:
            now_ms = max(now_ms, arrivals[coming].at_ms)
        while coming < len(arrivals) and arrivals[coming].at_ms <= now_ms:
            later = arrivals[coming].urgency != "urgent"
            for place, run_ms in enumerate(arrivals[coming].run_ms):
                heapq.heappush(waiting, (later, coming, place, run_ms))
            coming += 1
        _, number, _, run_ms = heapq.heappop(waiting)
        end_ms = now_ms + run_ms
        heapq.heapreplace(free_at, end_ms)
        ends[number] = max(ends[number], end_ms)
    return [
        end_ms - arrival.at_ms + ROUND_TRIPS_MS
        for end_ms, arrival in zip(ends, arrivals, strict=True)
    ]
