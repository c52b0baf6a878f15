"""Routes and services: what operators configure for direct jobs.

An `OperatorState` is everything that operators want at one revision of the store.
It is complete in itself, so a process that holds a newer one drops the older.
"""

import dataclasses

from jujubeglade.core import message

#: How long a client waits when its request does not say so, in ms.
DEFAULT_TIMEOUT_MS = 10_000


@message.register(82)
class Route:
    """A queue that clients submit jobs to.

    Attributes:
      name: A string.
      host: A string, the host name that clients ask for.
      prefix: A string, the start of the path, up to the job's id.
      service: A string, the service whose workers run the tasks.
      priority: An integer; 0 comes first.
      max_attempts: An integer, failed attempts after which a task has failed.
      slack_factor: A number, the objective as a multiple of the longest task.
      target_ms: A number, added to the objective, in ms.
      needs_advice: A boolean, whether another service must approve of workers.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int
    max_attempts: int
    slack_factor: float
    target_ms: float
    needs_advice: bool

    def objective_ms(self, longest_ms):
        """Tell within which time a job should be answered.

        Args:
          longest_ms: A number, its longest chain of tasks.
        """
        return self.slack_factor * longest_ms + self.target_ms


@message.register(83)
class Service:
    """The workers of one kind.

    Attributes:
      name: A string.
      guards_capacity: A boolean, whether its workers reject what does not fit.
    """

    name: str
    guards_capacity: bool


@message.register(84)
class Configuration:
    """One version of the operators' configuration.

    Attributes:
      version: An integer, rising.
      routes: A tuple of Routes.
      services: A tuple of Services.
      max_body_bytes: An integer, the largest body of a request.
    """

    version: int
    routes: tuple
    services: tuple
    max_body_bytes: int


@message.register(85)
class OperatorState:
    """What the operators want at one revision of the store.

    Attributes:
      revision: An integer, of the store.
      configuration: A Configuration, or None when there is none yet.
      evacuated: A tuple of strings, the availability zones out of service.
    """

    revision: int
    configuration: Configuration | None
    evacuated: tuple


NO_STATE = OperatorState(0, None, ())


@dataclasses.dataclass(frozen=True, slots=True)
class Match:
    """The route of a request.

    Attributes:
      route: A Route.
      rest: A string, what follows the prefix in the path.
    """

    route: Route
    rest: str


def find(configuration, host, path):
    """Find the route with the longest prefix of a path.

    Args:
      configuration: A Configuration.
      host: A string, the host name without a port.
      path: A string.

    Returns:
      A Match, or None.
    """
    found = None
    for route in configuration.routes:
        if route.host != host or not path.startswith(route.prefix):
            continue
        if found is None or len(route.prefix) > len(found.prefix):
            found = route
    if found is None:
        return None
    return Match(found, path[len(found.prefix) :])
