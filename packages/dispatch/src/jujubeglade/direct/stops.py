"""Stops: asking a worker to stop an attempt until it has ended.

The answer to a stop may be lost, and the stop with it, which shows only at the timeout
of the call. So calls overlap: the next one is sent long before that.
"""

import asyncio

from jujubeglade.core import clock
from jujubeglade.direct import worker

#: The interval of the calls while none has been answered.
_INTERVAL_MS = 40
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
    while is_needed():
        call = background.spawn(stop())
        await asyncio.sleep(clock.seconds(_INTERVAL_MS))
        if call.done() and call.result() is worker.Answer.OK:
            await asyncio.sleep(clock.seconds(_ACCEPTED_INTERVAL_MS - _INTERVAL_MS))
