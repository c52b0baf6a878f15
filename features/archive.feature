Feature: An entry gathers audit records into the store
  A sender forgets a record only when the store holds it. A lost answer of the
  store makes no record appear twice; its outage makes no caller wait.

  Background:
    Given the archive of entry-1 before an empty store
    And agent-1 and agent-2 send it their records

  Scenario: One write holds the records of many processes
    When agent-1 records the whole of job-1
    And agent-2 records the whole of job-2
    And 3 seconds of the archive pass
    Then the store got 1 writes
    And agent-1 and agent-2 have nothing left to send
    And the auditor of the store finds only open journals

  Scenario: Nothing is acknowledged while the store is down
    Given the store is down
    When agent-1 records the whole of job-1
    And 9 seconds of the archive pass
    Then agent-1 has 3 records left to send
    When the store is up again
    And 3 seconds of the archive pass
    Then agent-1 and agent-2 have nothing left to send
    And the auditor of the store finds only open journals

  Scenario: What is stored out of order is acknowledged in order
    Given the store is down
    When agent-1 records the whole of job-1
    And 12 seconds of the archive pass
    And agent-1 records the whole of job-2
    And 1 seconds of the archive pass
    And the store is up again
    And 1 seconds of the archive pass
    Then agent-1 has 3 records left to send
    When 5 seconds of the archive pass
    Then agent-1 and agent-2 have nothing left to send

  Scenario: A lost answer does not store records twice
    Given the store applies the next 2 writes but loses the answers
    When agent-1 records the whole of job-1
    And 5 seconds of the archive pass
    Then agent-1 and agent-2 have nothing left to send
    And the store holds 1 segments
    And the auditor of the store finds only open journals

  Scenario: Two entries that stored the same records
    Given entry-2 got the records of agent-1 too, after its link to entry-1 broke
    When agent-1 records the whole of job-1
    And 3 seconds of the archive pass
    Then the store holds 2 segments
    And every record of agent-1 is found once

  Scenario: A long outage fills the buffers and ends as a named gap
    Given the archive takes 2000 bytes while the store does not answer
    And the store is down
    When agent-1 records 400 jobs while 40 seconds of the archive pass
    Then no call of agent-1 waited
    When the store is up again
    And 60 seconds of the archive pass
    Then agent-1 and agent-2 have nothing left to send
    And the auditor of the store finds a gap in agent-1 that adds up to 400 jobs

  Scenario: At most one write a second
    When agent-1 records 400 jobs while 40 seconds of the archive pass
    Then the store got at most one write a second
    And the store got 20 writes

  Scenario: A job is found by its issue time without reading all
    When agent-1 records the whole of job-1
    And 3600 seconds of the archive pass, with a job of agent-2 every minute
    And agent-1 records the whole of job-3
    And 60 seconds of the archive pass
    Then the story of job-1 has the line recorded
    And the story of job-3 has the line recorded
    And each took at most 7 reads of the store

  Scenario: The store refuses a segment's key to another writer
    Given somebody else holds the next key of the archive
    When agent-1 records the whole of job-1
    And 5 seconds of the archive pass
    Then the archive noted a conflict and stored the records beside it

  Scenario: A damaged segment is named and hides nothing else
    When agent-1 records the whole of job-1
    And 3 seconds of the archive pass
    And agent-1 records the whole of job-2
    And 3 seconds of the archive pass
    And the first segment is damaged
    Then reading the store names 1 damaged segment
    And the story of job-1 has the line not recorded; gap in agent-1/aa from 1 to 3

  Scenario: Records that don't shrink make more segments, all below a megabyte
    When agent-1 records 40 times 60000 random characters
    And 20 seconds of the archive pass
    Then agent-1 and agent-2 have nothing left to send
    And the store got at most one write a second
    And no segment is larger than 950000 bytes
    And the auditor of the store finds only open journals

  Scenario: Records are kept for their time, by leases that nobody renews
    Given the archive keeps records for 8 days
    When agent-1 records the whole of job-1
    And 3 seconds of the archive pass
    And 23 hours pass without records
    And agent-1 records the whole of job-2
    And 3 seconds of the archive pass
    And 2 hours pass without records
    And agent-1 records the whole of job-3
    And 3 seconds of the archive pass
    Then the segments stand under leases 1 1 2 of 216 hours

  Scenario: A graceful shutdown leaves nothing behind
    When agent-1 records the whole of job-1
    And the archive finishes
    Then agent-1 and agent-2 have nothing left to send
