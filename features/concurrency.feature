Feature: An upstream that throttles is given fewer tasks at once

  Scenario Outline: The window follows throttles and successes
    Given the <choice> concurrency of 9 slots
    When it hears: <events>
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

  Scenario Outline: An upstream of 8 slots that takes 3 tasks
    Given a loopback cluster of 2 workers
    And the rule concurrency is <choice> there
    When one of its upstreams takes 3 tasks at most, and 200 tasks of 20 ms come
    Then it turned away <count> tasks

    Examples:
      | choice   | count                        |
      | adaptive | at most 40 and in the end no |
      | fixed    | over 40                      |
