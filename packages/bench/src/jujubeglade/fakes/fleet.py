"""Many stand-in upstreams in one process.

A cluster on one machine has one upstream for each agent. They share a process to leave
the machine's processors to the system under test:

    python -m jujubeglade.fakes.fleet fleet.json

The file is a JSON list of objects with the fields of `UpstreamSpec`. The process prints
the line `ready` when every upstream listens.
"""

import asyncio
import dataclasses
import json
import pathlib
import sys

from jujubeglade.fakes import upstream


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamSpec:
    """The parameters of one stand-in upstream.

    Attributes:
      name: A string.
      zone: A string.
      service: A string, the service it announces.
      slots: An integer, how many tasks run at once.
      connections: An integer, how many connections it accepts.
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
    """Read the parameters of a fleet's upstreams.

    Args:
      path: A string or a pathlib.Path.

    Returns:
      A list of UpstreamSpecs.
    """
    text = pathlib.Path(path).read_text(encoding="utf-8")
    return [UpstreamSpec(**fields) for fields in json.loads(text)]


async def run(specs):
    """Run upstreams until cancelled.

    Args:
      specs: A list of UpstreamSpecs.
    """
    fleet = [
        upstream.FakeUpstream(
            spec.name, spec.zone, spec.service, spec.slots, spec.connections
        )
        for spec in specs
    ]
    for fake, spec in zip(fleet, specs, strict=True):
        await fake.start(spec.agent, spec.port, spec.log)
    print("ready", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(run(load(sys.argv[1])))
