Feature: Random faults cause no two concurrent runs of a task of direct jobs

  Scenario Outline: Random faults that once made a task run twice no longer do
    Given a field of 2 entries and 3 workers of 16 cores with seed <seed>
    When random faults occur for 40 s
    Then no worker recorded a violation
    And at least 60 faults were played and 80 jobs were completed

    Examples: A halt was lost with the link, and the client submitted the job again elsewhere
      | seed |
      | 3    |
      | 104  |
      | 169  |

    Examples: A duplicate was refused while the earlier run was being stopped
      | seed |
      | 15   |

    Examples: An entry that was reached again took runs under way for never started
      | seed |
      | 36   |
      | 56   |
      | 80   |
      | 156  |

    Examples: A run was taken for ended after a reset of its link
      | seed |
      | 22   |

    Examples: The lease of a lost owner's run outlasted the client's pause
      | seed |
      | 124  |

  Scenario Outline: Random faults make no task run twice
    Given a field of 2 entries and 3 workers of 16 cores with seed <seed>
    When random faults occur for 40 s
    Then no worker recorded a violation
    And at least 60 faults were played and 80 jobs were completed

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 4    |
      | 5    |
      | 6    |
      | 7    |

  Scenario Outline: Crashing tasks and shrinking workers beside random faults break no rule
    Given a field of 2 entries and 3 workers of 16 cores with seed <seed>
    When random faults, crashing tasks and shrinking workers occur for 40 s
    Then no worker recorded a violation
    And at least 60 faults were played and 10 jobs were completed

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |

  Scenario Outline: Rare faults make no task run twice
    Given a field of 2 entries and 3 workers of 16 cores with seed <seed>
    When random and rare faults occur for 40 s
    Then no worker recorded a violation
    And at least 60 faults were played and 70 jobs were completed

    Examples:
      | seed |
      | 1    |
      | 3    |
