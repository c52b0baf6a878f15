Feature: Audit records can be verified
  Each incarnation's records are chained by hashes under the cluster key.
  Lost and altered records are found and reported.

  Background:
    Given audit records of these events
      | at ms | by         | kind     | subject | detail                                             |
      | 10    | agent-1/aa | accepted | job-1   | tenant=acme tasks=2 candidates=agent-2/bb,agent-3/cc |
      | 15    | agent-2/bb | started  | job-1   | attempts=0-1.1 first_ms=1767268800012 last_ms=1767268800013 |
      | 40    | agent-2/bb | finished | job-1   | attempts=0.1                                        |
      | 90    | agent-1/aa | retried  | job-1   | attempts=1.2                                        |
      | 95    | agent-3/cc | started  | job-1   | attempts=1.2                                        |
      | 120   | agent-1/aa | answered | job-1   | state=complete ends=!" legend=agent-2/bb~ran~1;agent-3/cc~ran~2 |
      | 130   | entry-1/ee | refused  | job-2   | problem=quota outcome=not_run                       |
      | 140   | entry-1/ee | command  | cmd-7   | text=drain~zone~north status=accepted revision=12   |

  Scenario: Complete and closed journals have no findings
    When all journals are closed
    Then the audit finds nothing

  Scenario: A journal that is not closed may have lost its tail
    When all journals but agent-2/bb are closed
    Then the audit finds
      """
      agent-2/bb: tail may be lost after 3
      """

  Scenario: Records that the process dropped are reported as a gap
    Given agent-4/dd recorded 20 jobs into a buffer of 4 records
    When all journals are closed
    Then the audit finds
      """
      gap in agent-4/dd from 1 to 18
      """

  Scenario Outline: Tampering is found
    Given all journals are closed
    When <tampering>
    Then the audit finds
      """
      <finding>
      """

    Examples:
      | tampering                                                  | finding                                                   |
      | record 2 of agent-2/bb is removed                          | missing in agent-2/bb from 2 to 2                         |
      | record 1 of agent-2/bb is removed                          | missing in agent-2/bb from 1 to 1                         |
      | record 4 of agent-2/bb is removed                          | agent-2/bb: tail may be lost after 3                      |
      | record 2 of entry-1/ee is changed                          | changed: entry-1/ee record 2                              |
      | record 2 of agent-2/bb is moved behind record 3            | missing in agent-2/bb from 2 to 2; reordered: agent-2/bb record 2 stands too late |
      | a second record 2 of agent-2/bb is added without the key   | forged: agent-2/bb has two records 2                      |
      | record 2 of agent-2/bb is replaced without the key         | changed: agent-2/bb record 2; broken: agent-2/bb record 3 does not follow 2 |
      | the time before record 2 of agent-2/bb is changed, record 1 removed | changed: agent-2/bb record 2; missing in agent-2/bb from 1 to 1 |
      | the hash before record 2 of agent-2/bb is changed, record 1 removed | changed: agent-2/bb record 2; missing in agent-2/bb from 1 to 1 |
      | agent-2/bb is rewritten from record 2 without the key      | changed: agent-2/bb record 2; changed: agent-2/bb record 3; changed: agent-2/bb record 4 |

  Scenario: A record whose detail was made unreadable is not trusted
    Given all journals are closed
    When the detail of record 4 of agent-1/aa is made unreadable
    Then explaining job-1 ends with
      """
      not to be trusted; changed: agent-1/aa record 4
      """

  Scenario: A repeated record is no finding
    Given all journals are closed
    When record 2 of agent-2/bb is repeated
    Then the audit finds nothing

  Scenario: The explanation of a job
    When all journals are closed
    Then explaining job-1 gives
      """
      2026-01-01 12:00:00.010 agent-1/aa accepted job-1: candidates=agent-2/bb,agent-3/cc, tasks=2, tenant=acme (record 2)
      2026-01-01 12:00:00.015 agent-2/bb started job-1: tasks 0-1 attempt 1, from 2026-01-01 12:00:00.012 to 2026-01-01 12:00:00.013 (record 2)
      2026-01-01 12:00:00.040 agent-2/bb has the upstream's answer for job-1: task 0 attempt 1 (record 3)
      2026-01-01 12:00:00.090 agent-1/aa placed again job-1: task 1 attempt 2 (record 3)
      2026-01-01 12:00:00.095 agent-3/cc started job-1: task 1 attempt 2 (record 2)
      2026-01-01 12:00:00.120 agent-1/aa answered job-1: state=complete, task 0 ran on agent-2/bb at attempt 1, task 1 ran on agent-3/cc at attempt 2 (record 4)
      recorded
      """

  Scenario: The explanation of a task, a refusal and a command
    When all journals are closed
    Then explaining job-1-1.2 gives
      """
      2026-01-01 12:00:00.010 agent-1/aa accepted job-1: candidates=agent-2/bb,agent-3/cc, tasks=2, tenant=acme (record 2)
      2026-01-01 12:00:00.090 agent-1/aa placed again job-1: task 1 attempt 2 (record 3)
      2026-01-01 12:00:00.095 agent-3/cc started job-1: task 1 attempt 2 (record 2)
      2026-01-01 12:00:00.120 agent-1/aa answered job-1: state=complete, task 1 ran on agent-3/cc at attempt 2 (record 4)
      recorded
      """
    And explaining job-2 gives
      """
      2026-01-01 12:00:00.130 entry-1/ee refused a request for job-2: outcome=not_run, problem=quota (record 2)
      recorded
      """
    And explaining cmd-7 gives
      """
      2026-01-01 12:00:00.140 entry-1/ee executed command cmd-7: revision=12, status=accepted, text=drain zone north (record 3)
      recorded
      """

  Scenario: An explanation names its gaps
    Given agent-4/dd recorded 20 jobs into a buffer of 4 records
    And all journals are closed
    When record 3 of agent-2/bb is removed
    Then explaining job-1 ends with
      """
      not recorded; gap in agent-2/bb from 3 to 3
      not recorded; gap in agent-4/dd from 1 to 18
      """

  Scenario: A candidate whose tail is lost may have started a task
    When all journals but agent-3/cc are closed
    Then explaining job-1 ends with
      """
      not recorded; no record of agent-3/cc after 2
      """
    And explaining job-2 ends with
      """
      recorded
      """

  Scenario: A mark shows that an idle process lost nothing
    Given 15000 ms without events, after which every process marks its journal
    Then explaining job-1 ends with
      """
      recorded
      """
    And every journal was marked once

  Scenario: A subject without records
    When all journals are closed
    Then explaining job-9 gives
      """
      recorded: no record names job-9, and none is missing
      """
    When record 2 of entry-1/ee is removed
    Then explaining job-9 gives
      """
      not recorded; gap in entry-1/ee from 2 to 2
      """

  Scenario: Earlier records are not needed for an explanation
    Given 60000 ms later agent-1/aa, which had been idle, answers job-5
    And all journals are closed
    When the records of the first 30000 ms are left out
    Then explaining job-5 ends with
      """
      recorded
      """

  Scenario: An altered record makes every explanation untrusted, as its time may be altered too
    Given 60000 ms later agent-1/aa, which had been idle, answers job-5
    And all journals are closed
    When record 2 of entry-1/ee is changed
    Then explaining job-5 ends with
      """
      not to be trusted; changed: entry-1/ee record 2
      """
