"""The ideal response time, and an ideal queue, as references for response times.

The ideal response time of a job is that of an idle system without overhead: its longest
task, or its work spread over all slots, and the round trips on its way. It ignores
other jobs. `best_queue` considers them: it serves the same arrivals in one queue for
all slots without overhead, so that the effect of the load on response times can be told
from what the system adds.
"""

import heapq

#: Client to entry, entry to home, home to executor, executor to upstream: the users
#: state that a round trip takes less than a millisecond.
ROUND_TRIPS_MS = 4.0


def response_ms(arrival, slots):
    """Compute the ideal response time of a job.

    Args:
      arrival: A load.Arrival.
      slots: An integer, of all workers.

    Returns:
      A number.
    """
    work_ms = sum(arrival.run_ms) / slots
    return max(*arrival.run_ms, work_ms) + ROUND_TRIPS_MS


def best_queue(arrivals, slots):
    """Serve jobs in the order of arrival, urgent ones first, without overhead.

    Args:
      arrivals: A sequence of load.Arrivals in the order of time.
      slots: An integer.

    Returns:
      A list of numbers, the response time of each, with the round trips.
    """
    free_at = [0.0] * slots
    waiting = []
    ends = [0.0] * len(arrivals)
    next_arrival = 0
    now_ms = 0.0
    while next_arrival < len(arrivals) or waiting:
        now_ms = max(now_ms, free_at[0])
        if not waiting:
            now_ms = max(now_ms, arrivals[next_arrival].at_ms)
        while next_arrival < len(arrivals) and arrivals[next_arrival].at_ms <= now_ms:
            is_later = arrivals[next_arrival].urgency != "urgent"
            for index, run_ms in enumerate(arrivals[next_arrival].run_ms):
                heapq.heappush(waiting, (is_later, next_arrival, index, run_ms))
            next_arrival += 1
        _, number, _, run_ms = heapq.heappop(waiting)
        end_ms = now_ms + run_ms
        heapq.heapreplace(free_at, end_ms)
        ends[number] = max(ends[number], end_ms)
    return [
        end_ms - arrival.at_ms + ROUND_TRIPS_MS
        for end_ms, arrival in zip(ends, arrivals, strict=True)
    ]
