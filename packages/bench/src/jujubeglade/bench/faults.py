"""Faults of a running cluster, by name; each one also undoes itself.

    await faults.inject("freeze a worker", target)
    await faults.inject("kill a worker + store down", target)    # both at once

The decorator registers a fault by its name. A lasting fault exceeds every timeout that
bears on it: `_LONG_MS`.
"""

import asyncio
import contextlib
import dataclasses
import random
import time

import aiohttp

from jujubeglade.bench import cluster, judge, traffic
from jujubeglade.core import clock
from jujubeglade.fakes import wire

_LONG_MS = 4000
_SHORT_MS = 1000
_POLL_INTERVAL_MS = 50
_BRIEF_MS = 400
_DRAIN_MS = 6500
#: The judge finds starts at a leaving upstream only `judge.LATE_START_MS` after the
#: leave; this leaves time for some to be due there even on a busy machine.
_LEAVE_MS = 10_000
_STORE_DOWN_AFTER_MS = 2500
_SLOW_STORE_MS = 1500

#: Coroutine functions that take a Target, by the fault's name.
FAULTS = {}


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """What faults act on.

    Attributes:
      cluster: A Cluster whose shape has relays.
      traffic: A Traffic; a fault may run commands as its operators.
      random: A random.Random, which chooses the processes to disturb.
    """

    cluster: cluster.Cluster
    traffic: traffic.Traffic
    random: random.Random

    def worker(self):
        """Choose a worker; return its name."""
        return self.random.choice(self.cluster.worker_names)

    def entry(self):
        """Choose an entry; return its name."""
        return self.random.choice(self.cluster.entry_names)


def fault(name):
    """Register a coroutine function under the name of a fault.

    Args:
      name: A string.

    Returns:
      A decorator.
    """

    def register(function):
        FAULTS[name] = function
        return function

    return register


async def inject(names, target):
    """Inject faults at the same time and wait until all are undone.

    Args:
      names: A string, names of faults joined by ` + `.
      target: A Target.
    """
    functions = [FAULTS[name] for name in names.split(" + ")]
    await asyncio.gather(*(function(target) for function in functions))


@fault("nothing")
async def _nothing(target):
    await _sleep(_SHORT_MS)


@fault("kill a worker")
async def _kill_worker(target):
    await _kill(target, target.worker())


@fault("kill an entry")
async def _kill_entry(target):
    await _kill(target, target.entry())


@fault("terminate a worker")
async def _terminate_worker(target):
    await _terminate(target, target.worker())


@fault("terminate an entry")
async def _terminate_entry(target):
    await _terminate(target, target.entry())


@fault("freeze a worker")
async def _freeze_worker(target):
    await _freeze(target, target.worker())


@fault("freeze an entry")
async def _freeze_entry(target):
    await _freeze(target, target.entry())


@fault("cut a worker off")
async def _cut_worker(target):
    await _cut(target.cluster.relays_of(target.worker()))


@fault("each worker is cut off in turn")
async def _cut_in_turn(target):
    for name in target.cluster.worker_names:
        await _cut(target.cluster.relays_of(name), _BRIEF_MS)
        await _sleep(_BRIEF_MS)


@fault("cut a worker from workers")
async def _cut_between_workers(target):
    await _cut([target.cluster.relays["*", target.worker()]])


@fault("cut an entry from entries")
async def _cut_entry(target):
    names = target.cluster.entry_names
    entry = target.entry()
    relays = target.cluster.relays
    await _cut([relays[p] for p in relays if entry in p and set(p) <= set(names)])


@fault("nothing reaches a worker")
async def _hold_input_of_worker(target):
    worker = target.worker()
    relays = target.cluster.relays
    await _hold([relays["*", worker]], wire.FORWARD)


@fault("a worker's answers are held")
async def _hold_answers_of_worker(target):
    await _hold([target.cluster.relays["*", target.worker()]], wire.BACKWARD)


@fault("a worker's messages to entries are held")
async def _hold_uplinks_from_worker(target):
    worker = target.worker()
    relays = target.cluster.relays
    await _hold([relays[p] for p in relays if p[0] == worker], wire.FORWARD)


@fault("entries' messages to a worker are held")
async def _hold_uplinks_to_worker(target):
    worker = target.worker()
    relays = target.cluster.relays
    await _hold([relays[p] for p in relays if p[0] == worker], wire.BACKWARD)


@fault("store down")
async def _store_down(target):
    await target.cluster.set_store(down=True)
    await _sleep(_LONG_MS)
    await target.cluster.set_store(down=False)


@fault("store slow")
async def _store_slow(target):
    await target.cluster.set_store(delay_ms=_SLOW_STORE_MS)
    await _sleep(_LONG_MS)
    await target.cluster.set_store(delay_ms=0)


@fault("store answers lost")
async def _store_lossy(target):
    await target.cluster.set_store(lose_answers=3)
    await _sleep(_SHORT_MS)


@fault("store leases lapse")
async def _store_lapse(target):
    await target.cluster.set_store(lapse_leases=True)
    await _sleep(_SHORT_MS)


@fault("an upstream leaves")
async def _upstream_leaves(target):
    worker = target.worker()
    await target.cluster.set_upstream(worker, leave=True)
    begin_ms = _wall_ms()
    await _sleep(_LEAVE_MS)
    target.traffic.leaves.append(judge.Absence(worker, begin_ms, _wall_ms()))
    await target.cluster.set_upstream(worker, leave=False)


@fault("drain a zone")
async def _drain(target):
    zone = target.random.choice(target.cluster.shape.zones)
    await target.traffic.drain(zone, _DRAIN_MS)


@fault("a drain outlasts the store and restarts")
async def _drain_in_outage(target):
    zone = target.random.choice(target.cluster.shape.zones)
    draining = asyncio.create_task(target.traffic.drain(zone, 2 * _DRAIN_MS))
    await _sleep(_STORE_DOWN_AFTER_MS)
    await target.cluster.set_store(down=True)
    # By now the drain is in force everywhere; then processes restart.
    await _sleep(_DRAIN_MS)
    members = [
        w for w in target.cluster.worker_names if target.cluster.zone_of(w) == zone
    ]
    entry = target.entry()
    await asyncio.gather(_kill(target, members[0]), _kill(target, entry))
    # The store stays down until the entry has been up without it.
    await _until_up(target, entry)
    await _sleep(_SHORT_MS)
    await target.cluster.set_store(down=False)
    await draining


@fault("a worker is frozen during a drain")
async def _drain_while_frozen(target):
    worker = target.worker()
    target.cluster.freeze(worker)
    zone = target.cluster.zone_of(worker)
    draining = asyncio.create_task(target.traffic.drain(zone, _DRAIN_MS + _SHORT_MS))
    await _sleep(_DRAIN_MS)
    target.cluster.resume(worker)
    await draining


@fault("a worker does not receive a drain")
async def _drain_unreachable(target):
    worker = target.worker()
    relays = target.cluster.relays
    uplinks = [relays[pair] for pair in relays if pair[0] == worker]
    for relay in uplinks:
        relay.hold(wire.BACKWARD)
    await target.traffic.drain(target.cluster.zone_of(worker), _DRAIN_MS)
    for relay in uplinks:
        relay.heal()


@fault("operators race")
async def _race_operators(target):
    zones = target.cluster.shape.zones
    texts = [f"{verb} zone {zones[-1]}" for verb in ("drain", "restore") * 3]
    await asyncio.gather(*(target.traffic.operate(text) for text in texts))
    while await target.traffic.operate(f"restore zone {zones[-1]}") == "conflict":
        await _sleep(_SHORT_MS)


async def _kill(target, name):
    target.cluster.kill(name)
    await target.cluster.processes[name].wait()
    await _sleep(_SHORT_MS)
    await target.cluster.start_process(name)


async def _until_up(target, name):
    """Wait until an entry answers HTTP, whether or not it is ready."""
    url = target.cluster.entry_url(name) + "/health"
    async with aiohttp.ClientSession() as session:
        while True:
            with contextlib.suppress(aiohttp.ClientError, OSError):
                async with session.get(url):
                    return
            await _sleep(_POLL_INTERVAL_MS)


async def _terminate(target, name):
    status = await target.cluster.terminate(name)
    assert status == 0, f"{name} ended with {status}"
    await target.cluster.start_process(name)


async def _freeze(target, name):
    target.cluster.freeze(name)
    await _sleep(_LONG_MS)
    target.cluster.resume(name)


async def _cut(relays, duration_ms=_LONG_MS):
    for relay in relays:
        relay.cut()
    await _sleep(duration_ms)
    for relay in relays:
        relay.heal()


async def _hold(relays, direction):
    for relay in relays:
        relay.hold(direction)
    await _sleep(_LONG_MS)
    for relay in relays:
        relay.heal()


async def _sleep(duration_ms):
    await asyncio.sleep(clock.seconds(duration_ms))


def _wall_ms():
    return time.time_ns() // 1_000_000
