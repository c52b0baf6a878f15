"""The tally: whether what clients were told agrees with what upstreams saw.

| fault      | what it means                                                    |
|------------|------------------------------------------------------------------|
| `doubled`  | a task that may not be repeated started more than once           |
| `untrue`   | a task said not to have run was started, or the other way round  |
| `inexact`  | a complete answer that is not whole, or not the job's own        |
"""

import collections
import dataclasses

_NOT_RUN = "not_run"
_EXAMPLES = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """What the comparison found.

    Attributes:
      doubled: An integer, tasks.
      untrue: An integer, statements.
      inexact: An integer, answers.
      extra: An integer, starts beyond the first of repeatable tasks.
      examples: A tuple of strings, the first untrue statements.
    """

    doubled: int
    untrue: int
    inexact: int
    extra: int
    examples: tuple[str, ...] = ()

    @property
    def faults(self):
        """Count all faults."""
        return self.doubled + self.untrue + self.inexact


def compare(arrivals, endings, started):
    """Compare answers with starts.

    Args:
      arrivals: A sequence of load.Arrivals.
      endings: A sequence of client.JobResults.
      started: A sequence of upstream.Started.

    Returns:
      A Verdict.
    """
    starts = collections.Counter((each.key, each.index) for each in started)
    doubled = untrue = inexact = extra = 0
    examples = []
    for ending in endings:
        arrival = arrivals[ending.number]
        counts = [starts[ending.key, i] for i in range(len(arrival.run_ms))]
        beyond = sum(max(0, count - 1) for count in counts)
        if arrival.repeatable:
            extra += beyond
        else:
            doubled += beyond
        disproved = list(_disproved(ending, counts))
        untrue += len(disproved)
        examples += disproved
        whole = len(ending.outcomes) == len(counts)
        inexact += ending.state == "complete" and not (ending.exact and whole)
    return Verdict(doubled, untrue, inexact, extra, tuple(examples[:_EXAMPLES]))


def _disproved(ending, counts):
    """Describe the statements about one job that its starts disprove."""
    if ending.state == "lost":
        return
    if ending.state == "refused":
        # A request that was the first and only one speaks for the whole job.
        said_not_run = ending.outcomes[0] == _NOT_RUN or ending.submissions == 1
        if said_not_run and any(counts):
            yield f"{ending.key} refused: {ending.reason}, {sum(counts)} starts"
        return
    # An answer that is not whole counts as inexact, not as untrue.
    pairs = zip(ending.outcomes, counts, strict=False)
    for index, (outcome, count) in enumerate(pairs):
        if (outcome == _NOT_RUN and count > 0) or (outcome == "ran" and count == 0):
            yield f"{ending.key}-{index} {outcome}, {count} starts: {ending.reason}"
