Feature: Answers stay true while processes, links and the store fail

  The cluster has real processes behind relays: five workers in three zones, three
  entries, a store, and upstreams that record each start. Callers submit until they have
  a final answer; some submit twice at once, some cancel. The judge compares starts and
  answers. The faults are those of jujubeglade.bench.faults; each lasts longer than every
  timeout that it affects. Hedging starts a late repeatable task on a second worker, so
  it is off where every start is counted.

  Scenario: A resubmission at any time starts no task again
    Given the cluster of failures with hedging off
    When callers go on for 3000 ms while nothing, seed 1
    Then the judge of failures finds nothing
    And no task was started again

  Scenario Outline: A graceful shutdown cuts nothing
    Given the cluster of failures with hedging off
    When callers that neither cancel nor submit twice go on for 1000 ms while <fault>, seed <seed>
    Then the judge of failures finds nothing
    And no task was started again
    And no request was interrupted and no job failed

    Examples:
      | fault                                   | seed |
      | terminate a worker                      | 2    |
      | terminate an entry                      | 3    |
      | terminate a worker + terminate an entry | 4    |

  Scenario Outline: Callers get true answers during one fault
    Given the cluster of failures with hedging late
    When callers go on for 1000 ms while <fault>, seed <seed>
    Then the judge of failures finds nothing

    Examples:
      | fault                       | seed |
      | kill a worker               | 11   |
      | kill an entry               | 12   |
      | freeze a worker             | 13   |
      | freeze an entry             | 14   |
      | cut a worker off            | 15   |
      | each worker is cut off in turn | 18 |
      | nothing reaches a worker    | 16   |
      | a worker's answers are held | 17   |

  Scenario Outline: Callers get true answers during two faults
    Given the cluster of failures with hedging late
    When callers go on for 1000 ms while <fault>, seed <seed>
    Then the judge of failures finds nothing

    Examples:
      | fault                                                               | seed |
      | kill a worker + store down                                          | 31   |
      | kill a worker + kill an entry                                       | 32   |
      | freeze a worker + cut a worker from workers                         | 33   |
      | cut an entry from entries + a worker's messages to entries are held | 34   |
      | entries' messages to a worker are held + store slow                 | 35   |
      | operators race + store answers lost                                 | 36   |

  Scenario Outline: Nothing starts in a drained zone or at an upstream that left
    Given the cluster of failures with hedging late
    When callers go on for 1000 ms while <fault>, seed <seed>
    Then the judge of failures finds nothing

    Examples:
      | fault                                                          | seed |
      | drain a zone + an upstream leaves                              | 41   |
      | a worker is frozen during a drain                              | 42   |
      | a worker does not receive a drain + store slow + kill an entry | 43   |
      | a drain outlasts the store and restarts                        | 44   |
