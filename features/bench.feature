Feature: The bench computes its figures correctly

  Scenario: The same seed draws the same load, near the requested rate
    When the bench draws 10 jobs a second for 200 s with seed 4
    Then the bench draws the same load again
    And the bench has drawn from 1900 to 2100 jobs of 1 to 100 tasks
    And the bench drew run times from 50 to 5000 ms, on average 370 to 410

  Scenario Outline: The ideal response time of a job follows from its longest task or its work per slot
    Then the bench's ideal response time of <runs> on <slots> slots is <ideal> ms

    Examples:
      | runs            | slots | ideal |
      | 100             | 8     | 104   |
      | 100 300         | 8     | 304   |
      | 100 100 100 100 | 2     | 204   |

  Scenario: The best queue waits for slots, serves urgent jobs first and starts none before it arrives
    When the bench queues on 1 slot
      | at | class  | runs |
      | 0  | normal | 100  |
      | 10 | normal | 50   |
      | 20 | urgent | 30   |
      | 500 | normal | 20  |
    Then the bench's best queue takes 104 174 114 24 ms

  Scenario Outline: The judge compares answers with starts
    When a <kind> job of 2 tasks ended <state> with outcomes <outcomes>
    And its tasks started <starts> times
    Then the bench's judge finds <doubled> doubled, <untrue> untrue and <inexact> inexact

    Examples:
      | kind       | state    | outcomes         | starts | doubled | untrue | inexact |
      | repeatable | complete | ran,ran          | 1,2    | 0       | 0      | 0       |
      | single     | complete | ran,ran          | 1,2    | 1       | 0      | 0       |
      | single     | complete | ran              | 1,1    | 0       | 0      | 1       |
      | single     | failed   | not_run,ran      | 1,1    | 0       | 1      | 0       |
      | single     | failed   | not_run,ran      | 0,0    | 0       | 1      | 0       |
      | single     | failed   | may_have_run,ran | 1,1    | 0       | 0      | 0       |
      | single     | refused  | request_not_run  | 1,0    | 0       | 1      | 0       |
      | single     | refused  | request_not_run  | 0,0    | 0       | 0      | 0       |

  Scenario Outline: A figure passes only if it meets its target
    Then the bench shows <value> against <bound> <target> as <verdict>

    Examples:
      | value | bound | target | verdict |
      | 1.5   | most  | 1.5    | PASS    |
      | 1.51  | most  | 1.5    | FAIL    |
      | 0.95  | least | 0.95   | PASS    |
      | 0.94  | least | 0.95   | FAIL    |

  Scenario: Slopes are fitted by least squares
    Then the bench's slope through 1:10 2:12 4:16 is 2
