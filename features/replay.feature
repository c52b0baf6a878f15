Feature: Recorded runs are checked against the rules of the model

  Scenario: A site in one process follows the rules, and each violation is found
    Given a loopback cluster of 5 workers
    When the replay's site runs 30 jobs by seed 11, drains, and loses a home
    Then the replay finds no violation, and the records are true
    And the replay has events "accepted, placed, claim_sent, answered, started, rejected, finished, claimed, closed, permit, drained, in_force, restored, revision"
    And the replay finds each of these changes of its events
      | change                                               | rule                            |
      | a task starts again elsewhere                        | one start                       |
      | a start was rejected                                 | a rejected attempt never starts |
      | a start moves after the close of its job             | a closed job stays closed       |
      | a start of an older generation moves after the claim | the fence holds                 |
      | the home placed a task on itself                     | the home places elsewhere       |
      | a task that started was answered as not run          | not_run is true                 |
      | the upstream's answer to a task that ran is dropped  | ran is true                     |
      | an answer lacks a task                               | answers are complete            |
      | a revision goes down                                 | revisions never decrease        |
      | the permit of a start ended before it                | starts are permitted            |
      | a drain in force was not accepted                    | a drain in force was accepted   |
      | a zone was never restored                            | no start in a drained zone      |

  Scenario: A mutation of the product is found by the rule that it violates
    Given a loopback cluster of 5 workers
    When the replay's site runs a job under each of these mutations
      | mutation                               |
      | none, cancelled                        |
      | none, suspected                        |
      | none, plain                            |
      | an executor ignores the fence          |
      | an executor starts after a close       |
      | a home answers not_run without a close |
      | a home places a task on itself         |
    Then the replay finds for each the rule that it violates
      | mutation                               | rule                      |
      | none, cancelled                        |                           |
      | none, suspected                        |                           |
      | none, plain                            |                           |
      | an executor ignores the fence          | the fence holds           |
      | an executor starts after a close       | a closed job stays closed |
      | a home answers not_run without a close | not_run is true           |
      | a home places a task on itself         | the home places elsewhere |

  Scenario: An agent that ignores a drain is found
    Given a loopback cluster of 5 workers
    When an agent of the replay's site ignores a drain
    Then the replay finds violations of "no start in a drained zone" only

  Scenario: Real processes follow the rules while some are killed
    Given real processes of the replay: 5 workers, 3 entries
    When they run 30 jobs by seed 5 while a home and an executor are killed
    Then the replay finds no violation, and the records are true
    And the replay has events "accepted, placed, claim_sent, answered, started, rejected, finished, claimed, closed, permit, drained, in_force, restored, revision"
