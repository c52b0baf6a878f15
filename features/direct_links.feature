Feature: A task that is placed again, by any entry, does not run twice at the same time

  Scenario: A halt that is lost with its link is repeated on the next link
    Given a site of 2 entries and 3 workers of 16 cores
    When entry 0 gets a job of 2 tasks of 4 cores for 2500 ms
    And the links of entry 0 break while the client of job 0 leaves
    And the client of job 0 submits it again to entry 1 after 1200 ms
    And 1000 ms pass on the site
    Then no worker recorded a violation

  Scenario: An entry that is reached again places nothing elsewhere that is still being stopped
    Given a site of 1 entries and 3 workers of 16 cores
    When entry 0 gets a job of 6 tasks of 4 cores for 2500 ms
    And 110 ms pass on the site
    And worker 0 loses all stops for 300 ms
    And the last message of entry 0 to agent 0 is 650 ms old
    And 60 ms pass on the site
    And agent 0 reaches entry 0 again
    And 1500 ms pass on the site
    Then no worker recorded a violation

  Scenario: A task that still runs for another entry waits at the agent until that has ended
    Given a site of 2 entries and 2 workers of 16 cores
    When worker 1 reports that it drains
    And entry 0 gets a job of 2 tasks of 4 cores for 2500 ms
    And 110 ms pass on the site
    And worker 0 loses all stops for 300 ms
    And the client of job 0 leaves and submits it to entry 1 after 50 ms
    And worker 1 reports that it takes work again
    And 1500 ms pass on the site
    Then no worker recorded a violation
    And job 1 is completed within 3000 ms

  Scenario Outline: The attempts of a lost entry end before its clients submit again though many of the stops are lost
    Given a site of 2 entries and 4 workers of 16 cores with seed <seed>
    And all workers lose 70 % of the stops
    When entry 0 gets a job of 12 tasks of 4 cores for 2500 ms
    And 110 ms pass on the site
    And entry 0 is lost
    And the client of job 0 submits it again to entry 1 after 1300 ms
    And 1000 ms pass on the site
    Then no worker recorded a violation

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |

  Scenario Outline: The attempts of a lost entry end before its clients submit again though their agent is lost too
    Given a site of 2 entries and 4 workers of 16 cores
    When entry 0 gets a job of 12 tasks of 4 cores for 2500 ms
    And 110 ms pass on the site
    And entry 0 is lost
    And <ms> ms pass on the site
    And agent 0 is lost
    And <rest> ms pass on the site
    And the client of job 0 submits it again to entry 1 after 0 ms
    And 1000 ms pass on the site
    Then no worker recorded a violation

    Examples:
      | ms  | rest |
      | 200 | 1100 |
      | 400 | 900  |
      | 600 | 700  |

  Scenario Outline: A message about the worker ends no attempt that the worker still runs
    Given a site of 1 entries and 2 workers of 16 cores
    When entry 0 gets a job of 6 tasks of 4 cores for 2500 ms
    And 110 ms pass on the site
    And agent 0 gets <message>
    And 3000 ms pass on the site
    Then job 0 is completed within 3000 ms
    And no worker recorded a violation

    Examples:
      | message                                 |
      | a leave of its worker                   |
      | a report of another worker              |
      | a report without a start time           |
      | a report of a later start of its worker |

  Scenario Outline: Polls that a worker executes late do not keep runs alive that count as lapsed
    Given a site of 1 entries and 2 workers of 16 cores with seed <seed>
    And worker 0 executes 50 % of the polls late, which extends its lease then
    When 8000 ms pass on the site
    And worker 1 reports that it drains
    And entry 0 gets a job of 2 tasks of 4 cores for 9000 ms, whose client waits 20000 ms
    And 110 ms pass on the site
    And worker 1 reports that it takes work again
    And worker 0 executes all polls late from now on
    And 6000 ms pass on the site
    Then no worker recorded a violation

    Examples:
      | seed |
      | 2    |
      | 10   |
      | 16   |
