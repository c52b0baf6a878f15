Feature: The audit records of a process
  Recording never makes a process wait. Records that the buffer can't hold are
  replaced by a gap, which is a record too.

  Background:
    Given a journal of agent-3/ab12 that holds 6 records

  Scenario: Records wait until they are acknowledged
    When the journal records
      | kind     | subject | detail        |
      | accepted | job-1   | tenant=acme   |
      | answered | job-1   | state=complete |
    Then the journal lists 1-opened 2-accepted 3-answered
    When the journal's records up to 2 are acknowledged
    Then the journal lists 3-answered

  Scenario: A batch that is sent twice has the same records
    When the journal records 5 jobs
    Then two batches of 3 records from the journal are equal

  Scenario: A connection sends each record once
    When the journal records 2 jobs
    Then the journal lists, after record 1, 2-accepted 3-accepted
    And the journal lists, after record 3, nothing
    And the journal lists 1-opened 2-accepted 3-accepted

  Scenario: A full buffer replaces the oldest records by one gap
    When the journal records 12 jobs
    Then the journal lists gap-1-to-7 8-accepted 9-accepted
    And the journal counts 7 lost records

  Scenario: Records of a batch that was taken stay in a full buffer
    When the journal records 2 jobs
    And a batch of 2 records is taken from the journal
    And the journal records 12 jobs
    Then the journal lists 1-opened 2-accepted gap-3-to-11

  Scenario: The answer of a job records the end of each task
    Given a job whose tasks ended as
      | executor   | outcome      | attempt |
      | agent-1/aa | ran          | 1       |
      | agent-1/aa | ran          | 1       |
      | agent-2/bb | may_have_run | 2       |
      | agent-1/aa | ran          | 1       |
    Then the ends of the tasks are encoded as
      """
      ends    !!"!
      legend  agent-1/aa ran 1;agent-2/bb may_have_run 2
      """

  Scenario: The attempts of a job at an executor become one record
    When an executor records started 0.1 1.1 2.1 7.1 7.2 of job-1
    And 100 ms pass for the journal
    Then the journal lists 1-opened
    When 200 ms pass for the journal
    Then the journal lists 1-opened 2-started
    And the journal's last record has attempts=0-2.1 7.1 7.2

  Scenario: A job whose tasks start continually is recorded after a second
    When an executor starts a task of job-1 every 100 ms for 1000 ms
    Then the journal lists 1-opened 2-started

  Scenario: A batch is unchanged by packing and unpacking
    When the journal records 4 jobs
    Then the journal's records are equal after packing and unpacking
    And bytes that are no batch are refused as frame

  Scenario: Values that can't be encoded are recorded as text
    When the journal records a job whose tenant is half a surrogate pair
    And the journal records a job whose size is 2 to the 70th
    Then the journal lists 1-opened 2-accepted 3-accepted
    And the journal's last record has size=1180591620717411303424
    And the journal's records are equal after packing and unpacking
