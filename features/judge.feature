Feature: The judge finds answers that contradict the starts at upstreams

  A start is written KEY:INDEX, with @TIME in ms where it matters; all starts are in zone a
  at upstream w. Job `k` has two tasks whose correct values are 7 and 8.

  Scenario Outline: Starts and answers, and the findings
    Given a judge's job k of <kind> tasks with values 7 8
    When the judge gets the starts <starts>
    And the judge gets the answer <answer>
    Then the judge finds <findings>

    Examples: Without violations
      | kind       | starts          | answer                            | findings |
      | single     | k:0 k:1         | complete ran=7 ran=8              | nothing  |
      | single     | k:0             | failed ran=7 not_run              | nothing  |
      | single     | none            | failed not_run not_run            | nothing  |
      | single     | k:0             | failed may_have_run not_run       | nothing  |
      | single     | none            | failed may_have_run may_have_run  | nothing  |
      | repeatable | k:0 k:0 k:1     | complete ran=7 ran=8              | nothing  |
      | single     | k:0 k:1 other:0 | running; complete ran=7 ran=8     | nothing  |
      | single     | none            | refused not_run; failed not_run not_run | nothing |

    Examples: With violations
      | kind       | starts      | answer                          | findings             |
      | single     | k:0 k:1 k:0 | complete ran=7 ran=8            | double:0             |
      | single     | k:0 k:1     | complete ran=7                  | partial              |
      | single     | k:0 k:1     | complete ran=7 not_run          | partial              |
      | single     | k:0         | failed may_have_run             | partial              |
      | single     | k:0 k:1     | complete ran=8 ran=7            | wrong_value:0 wrong_value:1 |
      | single     | k:0         | failed ran=8 not_run            | wrong_value:0        |
      | single     | k:0 k:1     | failed ran=7 not_run            | false_not_run:1      |
      | single     | k:0         | refused not_run; failed ran=7 not_run | false_not_run:0 |
      | single     | k:0         | complete ran=7 ran=8            | never_started:1      |
      | single     | k:0         | running                         | lost                 |
      | single     | k:0         | refused unknown                 | lost                 |

  Scenario Outline: A repeatable task that starts again without a fault is a finding
    Given a judge's job k of repeatable tasks with values 7 8
    And the judge's evidence is without faults
    When the judge gets the starts <starts>
    And the judge gets the answer complete ran=7 ran=8
    Then the judge finds <findings>

    Examples:
      | starts      | findings    |
      | k:0 k:1     | nothing     |
      | k:0 k:1 k:1 | restarted:1 |

  Scenario Outline: Starts in a zone or at an upstream that is out of service
    Given a judge's job k of single tasks with values 7 8
    And in the judge's evidence <what> is out of service from 1000 to 9000
    When the judge gets the starts k:0@<first> k:1@<second>
    And the judge gets the answer complete ran=7 ran=8
    Then the judge finds <findings>

    Examples:
      | what       | first | second | findings         |
      | zone a     | 900   | 6000   | nothing          |
      | zone a     | 900   | 6001   | late_in_drain:1  |
      | zone a     | 8999  | 9000   | late_in_drain:0  |
      | zone b     | 8999  | 9000   | nothing          |
      | upstream w | 6000  | 6001   | late_at_leaver:1 |
      | upstream v | 6001  | 8000   | nothing          |
