Feature: A soak of random faults over real processes finds nothing

  Seeds that once failed stay here, each with its cause; times are real, so that a seed
  draws the same faults but not to the millisecond.

  Scenario Outline: Random faults by seed
    When a soak of direct jobs of <seconds> s runs with seed <seed>
    Then that soak finds nothing

    Examples:
      | seconds | seed | once found                                                    |
      | 8       | 1    |                                                               |
      | 12      | 6    | a start under way was carried out in its worker's next life   |
