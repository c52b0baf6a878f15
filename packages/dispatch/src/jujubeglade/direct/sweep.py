"""The sweep: ends the attempts on a worker that have passed their time limit."""

import asyncio

from jujubeglade.core import clock
from jujubeglade.direct import contract

_INTERVAL_MS = 50
#: A start whose answer was lost is carried out within this time or never.
_LATE_START_LIMIT_MS = 15_000


async def run(attempts, now_ms, has_worker, halt, end):
    """Stop attempts that have passed their time limit, until cancelled.

    Without a worker, an attempt counts as lost once its start can no longer be carried
    out.

    Args:
      attempts: A dict whose values are the Attempts that may still run.
      now_ms: A function without arguments that returns the monotonic clock.
      has_worker: A function without arguments that returns whether there is a worker.
      halt: A function of an Attempt and a string, the cause, that stops it.
      end: A function of an Attempt and an End that releases it and reports the end.
    """
    while True:
        await asyncio.sleep(clock.seconds(_INTERVAL_MS))
        swept_ms = now_ms()
        for attempt in list(attempts.values()):
            if swept_ms > attempt.end_by_ms:
                halt(attempt, "client timeout")
            is_over = swept_ms > attempt.end_by_ms + _LATE_START_LIMIT_MS
            if is_over and not has_worker():
                end(attempt, contract.End.LOST)
