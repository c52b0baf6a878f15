"""Options: what the settings of a deployment ask of the decisions for direct jobs.

By default they ask for nothing, and every decision is that of one entry alone.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """The options of an entry or of an agent.

    Attributes:
      coordinate_from: An integer, the number of entries from which entries and agents
        coordinate how they use scarce room; 0 for never.
      remote_penalty: A number, how many times longer a task runs outside of the rack of
        its data; 1 if that makes no difference.
    """

    coordinate_from: int = 0
    remote_penalty: float = 1.0

    def coordinates(self, entries):
        """Return whether a number of entries coordinate.

        Args:
          entries: An integer, the number of registered entries.
        """
        return 0 < self.coordinate_from <= entries


NO_OPTIONS = Options()


def of_settings(settings):
    """Return the Options that the settings of an entry or an agent ask for.

    Args:
      settings: A DirectEntrySettings or DirectAgentSettings.
    """
    penalty = getattr(settings, "remote_penalty", 1.0)
    return Options(settings.coordinate_from, penalty)
