Feature: A task that crashes the workers that start it is given up, and those beside it are not
  A worker that has crashed is back after some seconds. A task under which three workers
  have crashed must not be started three times more.

  Scenario: A task that crashes each worker that starts it is given up
    Given a site of 1 entries and 6 workers of 16 cores
    And task 0 of job 0 crashes each worker that starts it
    When entry 0 gets a job of 1 tasks of 4 cores for 500 ms, whose client waits 25000 ms
    Then job 0 is failed within 12000 ms
    And task 0 of job 0 has crashed at most 3 workers

  Scenario: A task whose start crashes the worker before it is answered is given up
    Given a site of 1 entries and 6 workers of 16 cores
    And task 0 of job 0 crashes each worker before its start is answered
    When entry 0 gets a job of 1 tasks of 4 cores for 500 ms, whose client waits 25000 ms
    Then job 0 is failed within 14000 ms
    And task 0 of job 0 has crashed at most 3 workers

  Scenario: The crashes under a task count after its owner was killed
    Given a site of 2 entries and 8 workers of 16 cores
    And task 0 of job 0 crashes each worker that starts it
    When entry 0 gets a job of 1 tasks of 4 cores for 500 ms, whose client waits 25000 ms
    And entry 0 is killed after 5000 ms, and its client submits job 0 again
    And 20000 ms pass on the site
    Then task 0 of job 0 has crashed at most 3 workers

  Scenario: The crashes under a task count after all entries were replaced
    Given a site of 2 entries and 8 workers of 16 cores
    And task 0 of job 0 crashes each worker that starts it
    When entry 0 gets a job of 1 tasks of 4 cores for 500 ms, whose client waits 25000 ms
    And all entries are replaced after 6000 ms, and the client of job 0 submits it again
    And 20000 ms pass on the site
    Then task 0 of job 0 has crashed at most 4 workers

  Scenario: A task under which workers crash whose agents are restarted is given up
    Given a site of 1 entries and 8 workers of 16 cores
    And task 0 of job 0 crashes each worker that starts it
    When entry 0 gets a job of 1 tasks of 4 cores for 500 ms, whose client waits 25000 ms
    And each agent whose worker has crashed is restarted, for 20000 ms
    Then task 0 of job 0 has crashed at most 5 workers

  Scenario: Tasks that only shared their worker with one that crashes it are completed
    Given a site of 1 entries and 4 workers of 16 cores
    And task 0 of job 0 crashes each worker that starts it
    When entry 0 gets 4 jobs of 3 tasks of 4 cores for 1000 ms, whose clients wait 25000 ms
    Then job 0 is failed within 12000 ms
    And the jobs 1 to 3 are completed

  Scenario: A task is not given up because its workers were silent
    Given a site of 1 entries and 3 workers of 16 cores
    When entry 0 gets a job of 1 tasks of 4 cores for 1000 ms, whose client waits 25000 ms
    And each worker that runs a task falls silent for 4000 ms, three times
    Then job 0 is completed within 20000 ms

  Scenario: A task whose workers fall silent again and again while it runs is completed
    Given a site of 1 entries and 3 workers of 16 cores
    When entry 0 gets a job of 1 tasks of 4 cores for 1000 ms, whose client waits 60000 ms
    And each worker that runs a task falls silent for 4000 ms, six times
    Then job 0 is completed within 50000 ms

  Scenario: A task that is lost with silent workers just after its starts is not shown as failed
    Given a site of 1 entries and 6 workers of 16 cores
    When entry 0 gets a job of 1 tasks of 4 cores for 1000 ms, whose client waits 60000 ms
    And each worker that starts a task falls silent for 8000 ms, six times
    Then job 0 is unfinished within 50000 ms

  Scenario: A job is not given up because of a task that is done when crashes are proved
    Given a site of 1 entries and 2 workers of 4 cores
    And tasks on worker 1 take 3 times as long
    When entry 0 gets a job of 2 tasks of 4 cores for 600 ms
    And two crashes under a done task of job 0 are proved after 900 ms
    Then job 0 is completed within 2000 ms

  Scenario: A task is not given up because its workers left
    Given a site of 1 entries and 4 workers of 16 cores
    When entry 0 gets a job of 1 tasks of 4 cores for 1000 ms, whose client waits 25000 ms
    And each worker that runs a task leaves and is replaced, three times
    Then job 0 is completed within 20000 ms

  Scenario Outline: A task is given up by the crashes that are charged to it
    Given the crashes "<crashes>"
    Then task T is <verdict>

    Examples: x+ has survived its probation, x! is on probation, x is neither
      | crashes                            | verdict      |
      | T a b                              | not given up |
      | T a b+; T! c d+                    | given up     |
      | T a b+; T! c! d+                   | not given up |
      | T a; T b; T c                      | given up     |
      | T a; T b! c; T d! e                | not given up |
      | T+ a; T+ b; T+ c                   | not given up |
      | T+ a+; T+ b+; T+ c+                | given up     |
      | T+ a; T+ b; T+ c; T+ d             | given up     |

  Scenario: A crash that several agents and links tell of counts once
    Given the crashes "T a; T! b"
    And the same crashes again
    Then workers have crashed 2 times under task T
