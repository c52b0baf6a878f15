"""Crowds of clients that don't finish their requests, beside a soak of direct jobs.

Crowds of random kinds (`jujubeglade.fakes.crowd`), each a process of its own, come to
random entries one after the other, while clients submit jobs and processes fail.
"""

import asyncio
import contextlib
import sys

from jujubeglade.bench import cluster
from jujubeglade.fakes import crowd

_COUNTS = (50, 300)
_STAY_S = (1.0, 4.0)
#: Time for a crowd to start and to end.
_EXTRA_S = 20.0
#: The memory of the smallest VM of an entry, which the settings assume.
_MEMORY_KIB = 160 * 1024


async def send(site, rng, seconds, sent):
    """Send crowds until the time is over.

    Args:
      site: A ProcessSite.
      rng: A random.Random.
      seconds: A number.
      sent: A list to which the kind of each crowd is appended.
    """
    loop = asyncio.get_running_loop()
    end_s = loop.time() + seconds
    while loop.time() < end_s:
        kind = rng.choice(sorted(crowd.KINDS))
        index = rng.randrange(len(site.entries))
        count = rng.randint(*_COUNTS)
        stay_s = rng.uniform(*_STAY_S)
        sent.append(f"{count} {kind} at entry-{index}")
        await _send_one(site.entry_settings(index)["clients"], kind, count, stay_s)


async def _send_one(address, kind, count, stay_s):
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *("-m", "jujubeglade.fakes.crowd", address, kind),
        f"--count={count}",
        f"--seconds={stay_s}",
    )
    try:
        await asyncio.wait_for(process.wait(), stay_s + _EXTRA_S)
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()


def memory_findings(site):
    """List the entries that have used more memory than their VM has.

    Args:
      site: A ProcessSite.

    Returns:
      A list of strings.
    """
    peaks = {
        program.name: cluster.peak_resident_kib(program.process)
        for program in site.entries
        if program.process.returncode is None
    }
    return [
        f"{name} has used {peak} KiB"
        for name, peak in peaks.items()
        if peak > _MEMORY_KIB
    ]
