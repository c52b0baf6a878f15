Feature: A soak with random faults on real processes has no findings

  Seeds that failed in the past stay here, each with the cause. The processes run in real
  time: a seed draws the same faults, but not to the millisecond.

  Scenario Outline: Random faults by seed
    When a soak of direct jobs of <seconds> s runs with seed <seed>
    Then the soak of direct jobs has no findings

    Examples:
      | seconds | seed | past failure                                                       |
      | 8       | 1    |                                                                    |
      | 12      | 6    | a start in flight was executed by the worker's next incarnation    |

  Scenario Outline: Random faults and crowds of clients that don't finish their requests
    When a soak of direct jobs of <seconds> s runs with seed <seed> beside crowds
    Then the soak of direct jobs has no findings

    Examples:
      | seconds | seed |
      | 10      | 1    |
      | 10      | 2    |
