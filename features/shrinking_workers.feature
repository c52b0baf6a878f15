Feature: A worker whose capacity shrinks while it runs is not loaded beyond it

  Scenario: Tasks are started by the capacity that a worker has shrunk to
    Given a site of 1 entries and 1 workers of 16 cores
    When worker 0 shrinks to 6 cores
    And entry 0 gets 3 jobs of 1 tasks of 4 cores for 300 ms, whose clients wait 5000 ms
    Then all jobs are completed
    And no worker recorded a violation

  Scenario: A start on its way to an agent whose worker shrinks is refused
    Given a site of 1 entries and 1 workers of 16 cores
    When entry 0 gets 4 jobs of 1 tasks of 4 cores for 300 ms, whose clients wait 5000 ms
    And worker 0 shrinks to 6 cores
    Then all jobs are completed
    And no worker recorded a violation

  Scenario: A task that is being stopped counts in a worker that has shrunk
    Given a site of 1 entries and 1 workers of 16 cores
    And worker 0 takes 400 ms to stop a task
    When entry 0 gets a job of 2 tasks of 4 cores for 2500 ms
    And the client of job 0 disconnects after 100 ms
    And worker 0 shrinks to 8 cores
    And entry 0 gets 1 jobs of 1 tasks of 4 cores for 300 ms, whose clients wait 5000 ms
    Then job 1 is completed within 2000 ms
    And no worker recorded a violation

  Scenario: A worker that has grown again is used up to its new capacity
    Given a site of 1 entries and 1 workers of 16 cores
    When worker 0 shrinks to 4 cores
    And worker 0 grows to 16 cores
    And entry 0 gets a job of 4 tasks of 4 cores for 500 ms
    Then job 0 is completed within 560 ms
    And no worker recorded a violation

  Scenario: A task too large for a worker that has shrunk is refused at once
    Given a site of 1 entries and 1 workers of 16 cores
    When worker 0 shrinks to 4 cores
    And 50 ms pass on the site
    And entry 0 gets a job of 1 tasks of 8 cores for 100 ms, whose client waits 5000 ms
    Then job 0 is refused within 10 ms

  Scenario: An agent starts nothing by a report that is older than the contact timeout
    Given a site of 1 entries and 1 workers of 16 cores
    When the reports of worker 0 are lost and it shrinks to 6 cores
    And 4500 ms pass on the site
    And entry 0 gets a job of 4 tasks of 4 cores for 300 ms
    And 1000 ms pass on the site
    Then no worker recorded a violation

  Scenario: A report that was under way for long allows no start
    Given a site of 1 entries and 1 workers of 16 cores
    When worker 0 shrinks to 6 cores, and its report of before arrives 5000 ms late
    And entry 0 gets a job of 4 tasks of 4 cores for 300 ms
    And 1000 ms pass on the site
    Then no worker recorded a violation

  Scenario: An agent that was suspended starts nothing by a report from before
    Given a field of 1 entries and 1 workers of 16 cores
    When the fault "a worker shrinks while its agent is suspended" occurs
    Then no worker recorded a violation

  Scenario: A restarted agent starts nothing by the capacity that the store has kept
    Given a site of 1 entries and 1 workers of 16 cores
    When worker 0 shrinks to 6 cores while its agent is down and the store keeps the old report
    And entry 0 gets a job of 4 tasks of 4 cores for 300 ms
    And 1000 ms pass on the site
    Then no worker recorded a violation
