"""Routes, services and evacuations: what operators configure for direct jobs.

The configuration and the evacuations are separate views, each complete at one revision
of the store, so that a newer one replaces an older one as a whole. A configuration may
have thousands of routes, which only entries need; evacuations are small, change at once
and concern every process.
"""

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
      revision: An integer, the revision of the store at which it was written.
      version: An integer, rising.
      routes: A tuple of Routes.
      services: A tuple of Services.
      max_body_bytes: An integer, the largest body of a request.
    """

    revision: int
    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    max_body_bytes: int


@message.register(85)
class Evacuations:
    """The availability zones that operators have taken out of service.

    Attributes:
      revision: An integer, the revision of the store.
      zones: A tuple of strings.
    """

    revision: int
    zones: tuple[str, ...]


#: What a process has before it has received anything from the operators.
NO_CONFIGURATION = Configuration(0, 0, (), (), 0)
NO_EVACUATIONS = Evacuations(0, ())
