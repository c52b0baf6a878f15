"""The tally: compares the clients' answers with the starts that upstreams saw.

| fault      | what it means                                                       |
|------------|---------------------------------------------------------------------|
| `doubled`  | a non-repeatable task started more than once                        |
| `untrue`   | a task answered as not run was started, or one as run never started |
| `inexact`  | a complete answer that lacks a task or has the result of another    |
"""

import collections
import dataclasses

_NOT_RUN = "not_run"
_MAX_EXAMPLES = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """The result of the comparison.

    Attributes:
      doubled: An integer, starts beyond the first of non-repeatable tasks.
      untrue: An integer, the outcomes that starts disprove.
      inexact: An integer, the inexact answers.
      extra: An integer, starts beyond the first of repeatable tasks.
      examples: A tuple of strings, descriptions of the first untrue outcomes.
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


def compare(arrivals, results, started):
    """Compare answers with starts.

    Args:
      arrivals: A sequence of load.Arrivals.
      results: A sequence of client.JobResults.
      started: A sequence of upstream.Started.

    Returns:
      A Verdict.
    """
    starts = collections.Counter((start.key, start.index) for start in started)
    doubled = untrue = inexact = extra = 0
    examples = []
    for result in results:
        arrival = arrivals[result.number]
        counts = [starts[result.key, i] for i in range(len(arrival.run_ms))]
        repeated = sum(max(0, count - 1) for count in counts)
        if arrival.repeatable:
            extra += repeated
        else:
            doubled += repeated
        disproved = list(_disproved(result, counts))
        untrue += len(disproved)
        examples += disproved
        has_all_tasks = len(result.outcomes) == len(counts)
        inexact += result.state == "complete" and not (result.exact and has_all_tasks)
    return Verdict(doubled, untrue, inexact, extra, tuple(examples[:_MAX_EXAMPLES]))


def _disproved(result, counts):
    """Describe the outcomes of one job that its starts disprove."""
    if result.state == "lost":
        return
    if result.state == "refused":
        # The refusal of the only submission means that no task of the job has run.
        says_not_run = result.outcomes[0] == _NOT_RUN or result.submissions == 1
        if says_not_run and any(counts):
            yield f"{result.key} refused: {result.reason}, {sum(counts)} starts"
        return
    # An answer that lacks tasks counts as inexact, not as untrue.
    pairs = zip(result.outcomes, counts, strict=False)
    for index, (outcome, count) in enumerate(pairs):
        if (outcome == _NOT_RUN and count > 0) or (outcome == "ran" and count == 0):
            yield f"{result.key}-{index} {outcome}, {count} starts: {result.reason}"
