"""Routes and services: what operators configure for direct jobs.

An `OperatorState` is the complete configuration by the operators at one revision of the
store, so a newer one replaces an older one as a whole.
"""

import dataclasses

from jujubeglade.core import message

#: The client timeout of a request that does not specify one.
DEFAULT_TIMEOUT_MS = 10_000


@message.register(82)
class Route:
    """A queue to which clients submit jobs.

    Attributes:
      name: A string.
      host: A string, the host name in the clients' requests.
      prefix: A string, the prefix of the path, up to the job's id.
      service: A string, the service whose workers run the tasks.
      priority: An integer; 0 comes first.
      max_attempts: An integer, the failed attempts after which a task has failed.
      slack_factor: A number; the objective includes this multiple of the run time of
        the longest chain of tasks.
      target_ms: A number, the fixed part of the objective.
      needs_advice: A boolean, whether another service must approve the workers.
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
        """Return the time within which a job should be answered.

        Args:
          longest_ms: A number, the run time of its longest chain of tasks.
        """
        return self.slack_factor * longest_ms + self.target_ms


@message.register(83)
class Service:
    """A kind of worker.

    Attributes:
      name: A string.
      guards_capacity: A boolean, whether its workers reject tasks that do not fit.
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
    """The operators' configuration and evacuations at one revision of the store.

    Attributes:
      revision: An integer, the revision of the store.
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
      rest: A string, the part of the path after the prefix.
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
    longest = None
    for route in configuration.routes:
        if route.host != host or not path.startswith(route.prefix):
            continue
        if longest is None or len(route.prefix) > len(longest.prefix):
            longest = route
    if longest is None:
        return None
    return Match(longest, path[len(longest.prefix) :])
