"""Many stand-in upstreams in one process.

A cluster on one machine has one upstream for each agent; they share a process, so
that the machine's processors are left to the system under test:

    python -m jujubeglade.fakes.fleet fleet.json

The file is a list of objects with the fields of `Berth`. When every upstream
listens, one line `ready` is printed.
"""

import asyncio
import dataclasses
import json
import pathlib
import sys

from jujubeglade.fakes import upstream


@dataclasses.dataclass(frozen=True, slots=True)
class Berth:
    """Where one stand-in upstream stands.

    Attributes:
      name: A string.
      zone: A string.
      service: A string.
      slots: An integer.
      connections: An integer.
      port: An integer, of its HTTP interface.
      agent: A string, the base URL of its agent's announcements.
      log: A string, the path of its log of starts.
    """

    name: str
    zone: str
    service: str
    slots: int
    connections: int
    port: int
    agent: str
    log: str


def load(path):
    """Read the berths of a fleet.

    Args:
      path: A string or a pathlib.Path.

    Returns:
      A list of Berths.
    """
    text = pathlib.Path(path).read_text(encoding="utf-8")
    return [Berth(**fields) for fields in json.loads(text)]


async def run(berths):
    """Run upstreams until cancelled.

    Args:
      berths: A list of Berths.
    """
    fleet = [
        upstream.FakeUpstream(
            each.name, each.zone, each.service, each.slots, each.connections
        )
        for each in berths
    ]
    for each, berth in zip(fleet, berths, strict=True):
        await each.start(berth.agent, berth.port, berth.log)
    print("ready", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(run(load(sys.argv[1])))
