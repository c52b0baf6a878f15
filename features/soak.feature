Feature: A short soak of random faults has no findings

  Scenario Outline: Random faults by seed
    When a soak of <seconds> s runs with seed <seed>
    Then the soak has no findings

    Examples:
      | seconds | seed |
      | 10      | 1    |
