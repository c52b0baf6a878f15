Feature: The proofs of failures notice a rule that is missing

  Each cluster runs with one rule of docs/DESIGN.md taken away (features/mutants.py).

  Scenario Outline: A cluster without a rule is found out
    Given a cluster of failures without the rule that <rule>
    When callers go on for <ms> ms while <fault>, seed <seed>
    Then the judge of failures finds <kind>

    Examples:
      | rule                                   | fault                     | ms   | seed | kind           |
      | a successor claims before it places    | each worker is cut off in turn | 1000 | 1    | double         |
      | what may have run is not placed again  | each worker is cut off in turn | 1000 | 2    | double         |
      | not run is said only after a close     | kill a worker             | 1000 | 4    | false_not_run  |
      | a complete answer has every task       | nothing                   | 1000 | 5    | partial        |
      | a result belongs to its attempt        | nothing                   | 1000 | 6    | wrong_value    |
      | starts need a permit                   | drain a zone              | 1000 | 7    | late_in_drain  |
      | an upstream that leaves gets nothing   | an upstream leaves        | 1000 | 8    | late_at_leaver |
      | a graceful stop waits                  | terminate a worker        | 1000 | 9    | cut            |
      | permits need a confirmed view          | a drain outlasts the store and restarts | 1000 | 10 | reverted |
