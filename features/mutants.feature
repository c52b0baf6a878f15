Feature: The failure scenarios detect a missing rule

  Each cluster runs without one rule of docs/DESIGN.md; features/mutants.py disables it.

  Scenario Outline: A cluster without a rule is detected
    Given a cluster of failures without the rule that <rule>
    When callers go on for <ms> ms while <fault>, seed <seed>
    Then the judge of failures finds <kind>

    Examples:
      | rule                                         | fault                                   | ms   | seed | kind           |
      | a successor claims before it places          | each worker is cut off in turn          | 1000 | 1    | double         |
      | a task that may have run is not placed again | each worker is cut off in turn          | 1000 | 2    | double         |
      | not_run is answered only after a close       | kill a worker                           | 1000 | 4    | false_not_run  |
      | a complete answer has every task             | nothing                                 | 1000 | 5    | partial        |
      | a result belongs to its attempt              | nothing                                 | 1000 | 6    | wrong_value    |
      | starts need a permit                         | drain a zone                            | 1000 | 7    | late_in_drain  |
      | a leaving upstream gets no tasks             | an upstream leaves                      | 1000 | 8    | late_at_leaver |
      | a graceful stop waits for work in progress   | terminate a worker                      | 1000 | 9    | cut            |
      | permits need a confirmed configuration       | a drain outlasts the store and restarts | 1000 | 10   | reverted       |
