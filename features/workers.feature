Feature: A home removes workers that no valid ticket can name any more

  Scenario Outline: A worker is removed after two windows without use
    Given a loopback cluster of 3 workers
    When a client submits a task of <run> ms there, and its workers' last use is made <older> ms older
    Then the home has <count> workers

    Examples:
      | run  | older  | count |
      | 1    | 0      | 3     |
      | 1    | 230000 | 3     |
      | 1    | 241000 | 0     |
      | 3000 | 241000 | 3     |

  Scenario: A home that still dials an ended incarnation leaves the link to the present one open
    Given a loopback cluster of 2 workers
    When a home uses a worker and then dials an earlier incarnation at its address
    Then the home's link to the present incarnation is still open
    And the home gives up the earlier incarnation
