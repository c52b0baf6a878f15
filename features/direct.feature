Feature: Direct jobs are answered with their outcome, and no task runs twice at a time

  Scenario: A job of several tasks is done
    Given a site of 2 entries and 4 workers of 16 cores
    When entry 0 gets a job of 6 tasks of 4 cores for 100 ms
    Then job 0 is completed within 120 ms
    And no worker saw anything wrong

  Scenario: Work beyond the room waits and is never started over a worker's capacity
    Given a site of 3 entries and 2 workers of 16 cores
    When each entry gets 2 jobs of 2 tasks of 4 cores for 50 ms, whose clients wait 5000 ms
    Then all jobs are completed
    And no worker saw anything wrong

  Scenario: A task whose worker fails it is tried again
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

  Scenario: A refusal says that nothing has started
    Given a site of 1 entries and 1 workers of 16 cores
    When entry 0 gets 40 jobs of 4 tasks of 4 cores for 200 ms at once
    Then some jobs are refused at once with a time to come back
    And no refused job has started
    And no worker saw anything wrong

  Scenario: A job whose client leaves is stopped
    Given a site of 1 entries and 1 workers of 16 cores
    When entry 0 gets a job of 2 tasks of 4 cores for 2000 ms
    And the client of job 0 leaves after 300 ms
    Then nothing runs 200 ms later

  Scenario: A worker that crashes has its tasks run elsewhere
    Given a site of 1 entries and 2 workers of 16 cores
    When entry 0 gets a job of 6 tasks of 4 cores for 500 ms
    And worker 0 crashes after 200 ms
    Then job 0 is completed within 1300 ms
    And no worker saw anything wrong

  Scenario Outline: Lost answers and restarts never have a task run twice at a time
    Given a site of 2 entries and 3 workers of 16 cores with seed <seed>
    And all workers lose 30 % of their orders and carry them out late
    When random jobs come for 40 s while agents, entries and workers are restarted
    Then no worker saw anything wrong

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |

  Scenario: A job that its client submits again at once waits for the former attempts' end
    Given a site of 1 entries and 3 workers of 16 cores
    When entry 0 gets a job of 6 tasks of 4 cores for 2000 ms
    And the client of job 0 leaves after 300 ms
    And the client of job 0 submits it again at once
    Then job 1 is completed within 2200 ms
    And no worker saw anything wrong

  Scenario Outline: Each rule is all that keeps a promise in some situation
    Given a site of 2 entries and 3 workers of 16 cores
    When the situation of "<rule>" comes about
    Then no worker saw anything wrong
    Given the rule "<rule>" is left out
    And a site of 2 entries and 3 workers of 16 cores
    When the situation of "<rule>" comes about
    Then some worker saw a task run twice at a time or more than its capacity

    Examples:
      | rule                                                     |
      | a lost agent's tasks wait until they can't run           |
      | an agent that restarts starts nothing before it is clean |
      | a start without an answer is not taken as refused        |
      | what stops keeps its room until its end is listed        |
      | owners that are silent are dropped                       |
      | a start under way may reach its worker's next life       |
      | an answer to a start does not say which life gave it     |
      | what an agent has not started is not held                |

  Scenario: Callers hardly notice that one worker of four is ten times slow
    Given a site of 2 entries and 4 workers of 16 cores
    And tasks on worker 0 take 10 times as long
    When jobs of 2 tasks of 4 cores for 200 ms come each 100 ms for 20 s
    Then 95 % of the jobs are completed within their objective

  Scenario: Callers hardly notice that one worker of four fails all at once
    Given a site of 2 entries and 4 workers of 16 cores
    And worker 0 fails all its tasks
    When jobs of 2 tasks of 4 cores for 200 ms come each 100 ms for 20 s
    Then 90 % of the jobs are completed within their objective

  Scenario: A burst of twice the room is served up to the room, and the rest is refused at once
    Given a site of 2 entries and 4 workers of 16 cores
    When jobs of 4 tasks of 4 cores for 200 ms come each 25 ms for 20 s
    Then 40 % of the jobs are completed within their objective
    And 95 % of the refusals come within 50 ms
    And no worker saw anything wrong
