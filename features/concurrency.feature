Feature: An upstream that throttles runs fewer tasks at once

  Scenario Outline: The limit falls with throttles and rises with successes
    Given the <choice> concurrency of 9 slots
    When the concurrency handles: <events>
    Then at most <limit> tasks run at once

    Examples:
      | choice   | events                                | limit |
      | adaptive | none                                  | 9     |
      | adaptive | throttled at 6                        | 4     |
      | adaptive | throttled at 6, throttled at 6        | 4     |
      | adaptive | throttled at 6, 5 succeeded           | 5     |
      | adaptive | throttled at 6, 100 succeeded         | 9     |
      | adaptive | throttled at 0                        | 1     |
      | fixed    | throttled at 6                        | 9     |

  Scenario Outline: An upstream announces 8 slots but accepts 3 tasks
    Given a loopback cluster of 2 workers
    And the rule concurrency of the cluster is <choice>
    When one upstream accepts at most 3 tasks, and 200 tasks of 20 ms are submitted
    Then that upstream throttled <count>

    Examples:
      | choice   | count                                    |
      | adaptive | at most 40 tasks and the job is complete |
      | fixed    | more than 40 tasks                       |
