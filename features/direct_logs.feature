Feature: The log shows what each conclusion about an attempt rests on

  Scenario Outline: An end tells why the attempt was halted, how long that took and with how many stops
    Given a site of 2 entries and 2 workers of 16 cores
    And the log is recorded
    When entry 0 gets a job of 2 tasks of 4 cores for 2500 ms
    And workers lose stops for 250 ms while <event>
    Then the log has "attempt halted" with cause "<cause>"
    And the log has "attempt ended" with how "stopped"
    And its halted_for_ms is at least 200 and its stop_calls at least 4

    Examples:
      | event                       | cause           |
      | the client of job 0 leaves  | owner asked     |
      | entry 0 is lost             | owner lost      |
      | job 0 is sent to entry 1    | submitted again |

  Scenario: The log tells how long a worker was silent when its lease counted as expired
    Given a site of 1 entries and 1 workers of 16 cores
    And the log is recorded
    When entry 0 gets a job of 2 tasks of 4 cores for 2500 ms
    And worker 0 is silent for 3000 ms
    Then the log has "worker lease expired" with attempts "2"
    And its answer_age_ms is at least 1100 and its unanswered_polls at least 2

  Scenario: The log tells which attempts an agent lists that the entry no longer waits for
    Given a site of 1 entries and 1 workers of 16 cores
    And the log is recorded
    When entry 0 gets a job of 1 tasks of 4 cores for 2500 ms
    And the links of entry 0 break while the client of job 0 leaves
    Then the log has "roster received" with unwanted "0000000000000001.0.0/1"

  Scenario: The log tells that an attempt came from an owner that had been silent
    Given a site of 1 entries and 1 workers of 16 cores
    And the log is recorded
    When 10 ms pass on the site
    And entry 0 gets a job of 1 tasks of 4 cores for 100 ms
    And the last message of entry 0 to agent 0 is 900 ms old
    And 50 ms pass on the site
    Then the log has "attempt of a silent owner" with owner "entry-0"
    And its silence_ms is at least 700 and its run at least 1

  Scenario: The log tells for how long a worker was lost whose tasks are placed again
    Given a site of 1 entries and 2 workers of 16 cores
    And the log is recorded
    When entry 0 gets a job of 6 tasks of 4 cores for 2500 ms
    And agent 0 is cut off for 3000 ms
    Then the log has "worker gone" with worker "worker-0"
    And its lost_for_ms is at least 1700 and its holding at least 1

  Scenario: The log tells which attempts a worker ran when it crashed, and how old they were
    Given a site of 1 entries and 2 workers of 16 cores
    And the log is recorded
    When entry 0 gets a job of 2 tasks of 8 cores for 2500 ms
    And worker 0 crashes and is back after 1500 ms
    Then the log has "worker crashed" with worker "worker-0"
    And its attempts are "0000000000000001.0.0/1" and were 50 to 310 ms old
    And the log has "attempt repeated" with losses "1"

  Scenario: The log doesn't take a worker that was only silent for one that has crashed
    Given a site of 1 entries and 2 workers of 16 cores
    And the log is recorded
    When entry 0 gets a job of 2 tasks of 8 cores for 2500 ms
    And worker 0 is silent for 3000 ms
    And 500 ms pass on the site
    Then the log has "attempt repeated" with losses "1"
    And the log has no "worker crashed"

  Scenario: The log tells on how old a report of the worker an attempt relied
    Given a site of 1 entries and 1 workers of 16 cores
    And the log is recorded
    When 300 ms pass on the site
    And entry 0 gets a job of 1 tasks of 4 cores for 100 ms
    And 200 ms pass on the site
    Then the log has "attempt ended" with how "done"
    And its report_age_ms is at least 400 and its ran_ms at least 100

  Scenario: The log tells that a worker has fewer resources than before
    Given a site of 1 entries and 1 workers of 16 cores
    And the log is recorded
    When worker 0 shrinks to 6 cores
    Then the log has "worker resized" with former_cpu "16000"
    And its cpu is at least 6000 and its free_cpu at least 16000
