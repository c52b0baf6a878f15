Feature: A short soak of random faults finds nothing

  Scenario Outline: Random faults by seed
    When a soak of <seconds> s runs with seed <seed>
    Then the soak finds nothing

    Examples:
      | seconds | seed |
      | 10      | 1    |
