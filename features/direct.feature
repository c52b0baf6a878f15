Feature: Direct jobs are answered with their outcome, and no task has two concurrent runs

  Scenario: A job of several tasks is completed
    Given a site of 2 entries and 4 workers of 16 cores
    When entry 0 gets a job of 6 tasks of 4 cores for 100 ms
    Then job 0 is completed within 120 ms
    And no worker recorded a violation

  Scenario: Work beyond the free capacity waits and never exceeds a worker's capacity
    Given a site of 3 entries and 2 workers of 16 cores
    When each entry gets 2 jobs of 2 tasks of 4 cores for 50 ms, whose clients wait 5000 ms
    Then all jobs are completed
    And no worker recorded a violation

  Scenario: A task that fails on its worker is retried
    Given a site of 1 entries and 3 workers of 16 cores
    And worker 0 fails all its tasks
    When entry 0 gets a job of 6 tasks of 4 cores for 50 ms
    Then job 0 is completed within 400 ms

  Scenario: A task that fails everywhere fails its job
    Given a site of 1 entries and 1 workers of 16 cores
    And worker 0 fails all its tasks
    When entry 0 gets a job of 1 tasks of 4 cores for 50 ms
    Then job 0 is failed within 3000 ms

  Scenario: A task larger than any worker fails its job at once
    Given a site of 1 entries and 2 workers of 16 cores
    When entry 0 gets a job of 1 tasks of 20 cores for 50 ms
    Then job 0 is failed within 10 ms

  Scenario: A refused job has not started
    Given a site of 1 entries and 1 workers of 16 cores
    When entry 0 gets 40 jobs of 4 tasks of 4 cores for 200 ms at once
    Then some jobs are refused at once with a retry time
    And no refused job has started
    And no worker recorded a violation

  Scenario: A job is stopped when its client disconnects
    Given a site of 1 entries and 1 workers of 16 cores
    When entry 0 gets a job of 2 tasks of 4 cores for 2000 ms
    And the client of job 0 disconnects after 300 ms
    Then no task runs 200 ms later

  Scenario: The tasks of a crashed worker run on another worker
    Given a site of 1 entries and 2 workers of 16 cores
    When entry 0 gets a job of 6 tasks of 4 cores for 500 ms
    And worker 0 crashes after 200 ms
    Then job 0 is completed within 1300 ms
    And no worker recorded a violation

  Scenario Outline: Lost answers and restarts never cause two concurrent runs of a task
    Given a site of 2 entries and 3 workers of 16 cores with seed <seed>
    And all workers leave 30 % of the starts unanswered and execute them late
    When random jobs arrive for 40 s while agents, entries and workers are restarted
    Then no worker recorded a violation

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |

  Scenario: A job that is resubmitted at once waits until its earlier attempts have ended
    Given a site of 1 entries and 3 workers of 16 cores
    When entry 0 gets a job of 6 tasks of 4 cores for 2000 ms
    And the client of job 0 disconnects after 300 ms
    And the client of job 0 resubmits it at once
    Then job 1 is completed within 2200 ms
    And no worker recorded a violation

  Scenario Outline: Each rule alone prevents a violation in some situation
    Given a site of 2 entries and 3 workers of 16 cores
    When the situation that depends on "<rule>" occurs
    Then no worker recorded a violation
    Given the rule "<rule>" is left out
    And a site of 2 entries and 3 workers of 16 cores
    When the situation that depends on "<rule>" occurs
    Then some worker recorded a violation

    Examples:
      | rule                                                                          |
      | a lost agent's tasks are repeated only when they can't run any more           |
      | a restarted agent starts nothing before its predecessor's attempts have ended |
      | a start without an answer is not treated as refused                           |
      | a stopping attempt keeps its capacity until the worker lists its end          |
      | silent owners are dropped                                                     |
      | a start in flight may reach the worker's next incarnation                     |
      | an answer to a start does not identify the worker's incarnation               |
      | the lease is not renewed for attempts that the agent has not started          |
      | the lease ends before a client's next submission can start                    |
      | a halt that was lost with its link is repeated                                |
      | a dropped owner is kept until its attempts have ended                         |
      | the fencing token rises after a poll without an answer                        |
      | a start is refused when the lease outlives what its owner is alive for        |
      | the time that counts for a halted attempt stands still                        |
      | attempts start only by a recent report of the worker                          |
      | tasks under which workers crash are given up                                  |
      | all entries hear of a crash                                                   |

  Scenario Outline: Each rule prevents a violation in some situation while a rule that overlaps it is left out
    Given a site of 2 entries and 3 workers of 16 cores
    And the rule "<overlapping rule>" is left out
    When the situation that depends on "<rule>" occurs
    Then no worker recorded a violation
    Given the rule "<rule>" is left out
    And a site of 2 entries and 3 workers of 16 cores
    When the situation that depends on "<rule>" occurs
    Then some worker recorded a violation

    Examples:
      | rule                                            | overlapping rule                                           |
      | a stop without an answer is repeated each 40 ms | the lease ends before a client's next submission can start |

  Scenario: Most jobs meet their objective while one worker of four is ten times slower
    Given a site of 2 entries and 4 workers of 16 cores
    And tasks on worker 0 take 10 times as long
    When jobs of 2 tasks of 4 cores for 200 ms arrive every 100 ms for 20 s
    Then at least 95 % of the jobs are completed within their objective

  Scenario: Most jobs meet their objective while one worker of four fails all its tasks
    Given a site of 2 entries and 4 workers of 16 cores
    And worker 0 fails all its tasks
    When jobs of 2 tasks of 4 cores for 200 ms arrive every 100 ms for 20 s
    Then at least 90 % of the jobs are completed within their objective

  Scenario: A load of twice the capacity is served up to the capacity, and the rest is refused at once
    Given a site of 2 entries and 4 workers of 16 cores
    When jobs of 4 tasks of 4 cores for 200 ms arrive every 25 ms for 20 s
    Then at least 40 % of the jobs are completed within their objective
    And at least 95 % of the refusals arrive within 50 ms
    And no worker recorded a violation
