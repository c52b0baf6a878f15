"""Stops: asking a worker to stop an attempt until it has ended.

The answer to a stop may be lost, and the stop with it, which shows only at the timeout
of the call. So calls overlap: the next one is sent long before that.
"""

import asyncio

from jujubeglade.core import clock
from jujubeglade.direct import worker

#: The interval of the first calls while none has been answered. Later ones, after the
#: lease has had time to expire, are sent at the longer interval.
_INTERVAL_MS = 40
_FIRST_CALLS = 30
#: A stop that the worker has accepted is repeated after this time; by then the attempt
#: has usually ended.
_ACCEPTED_INTERVAL_MS = 120


async def repeat(stop, is_needed, background):
    """Ask the worker to stop an attempt until that is not needed any more.

    Args:
      stop: A coroutine function without arguments that calls the worker once, and
        returns its Answer.
      is_needed: A function without arguments that returns whether it may still run.
      background: A Background, for the calls.
    """
    calls = 0
    while is_needed():
        call = background.spawn(stop())
        calls += 1
        await asyncio.sleep(clock.seconds(_INTERVAL_MS))
        is_accepted = call.done() and call.result() is worker.Answer.OK
        if is_accepted or calls > _FIRST_CALLS:
            await asyncio.sleep(clock.seconds(_ACCEPTED_INTERVAL_MS - _INTERVAL_MS))
