Feature: An entry archives audit records in the store
  A process removes a record from its buffer only after the store holds it. A lost
  answer of the store duplicates no record, and an outage of the store delays no caller.

  Background:
    Given the archive of entry-1 with an empty store
    And agent-1 and agent-2 send it their records

  Scenario: One write stores the records of many processes
    When agent-1 records all events of job-1
    And agent-2 records all events of job-2
    And the archive runs for 3 seconds
    Then the store received 1 writes
    And agent-1 and agent-2 have nothing left to send
    And the audit of the store finds only open journals

  Scenario: A shutdown while a write is under way stores all records
    When agent-1 records all events of job-1
    And the archive is asked to finish while it writes them
    Then agent-1 and agent-2 have nothing left to send
    And the store received 1 writes
    And the audit of the store finds only open journals

  Scenario: Nothing is acknowledged while the store is down
    Given the store is down
    When agent-1 records all events of job-1
    And the archive runs for 9 seconds
    Then agent-1 has 3 records left to send
    When the store is up again
    And the archive runs for 3 seconds
    Then agent-1 and agent-2 have nothing left to send
    And the audit of the store finds only open journals

  Scenario: Records that are stored out of order are acknowledged in order
    Given the store is down
    When agent-1 records all events of job-1
    And the archive runs for 12 seconds
    And agent-1 records all events of job-2
    And the archive runs for 1 seconds
    And the store is up again
    And the archive runs for 1 seconds
    Then agent-1 has 3 records left to send
    When the archive runs for 5 seconds
    Then agent-1 and agent-2 have nothing left to send

  Scenario: A lost answer does not store records twice
    Given the store applies the next 2 writes but loses the answers
    When agent-1 records all events of job-1
    And the archive runs for 5 seconds
    Then agent-1 and agent-2 have nothing left to send
    And the store holds 1 segments
    And the audit of the store finds only open journals

  Scenario: Records that two entries have stored are found once
    Given entry-2 got the records of agent-1 too, after its link to entry-1 broke
    When agent-1 records all events of job-1
    And the archive runs for 3 seconds
    Then the store holds 2 segments
    And every record of agent-1 is found once

  Scenario: A long outage fills the buffers and is recorded as a gap
    Given the archive buffers at most 2000 bytes
    And the store is down
    When agent-1 records 400 jobs while the archive runs for 40 seconds
    Then agent-1 dropped records instead of waiting
    When the store is up again
    And the archive runs for 60 seconds
    Then agent-1 and agent-2 have nothing left to send
    And the audit of the store finds a gap in agent-1 that adds up to 400 jobs

  Scenario: The archive writes at most once per second
    When agent-1 records 400 jobs while the archive runs for 40 seconds
    Then the store received at most one write per second
    And the store received 20 writes

  Scenario: A job is found by its issue time without reading all segments
    When agent-1 records all events of job-1
    And the archive runs for 3600 seconds, with a job of agent-2 every minute
    And agent-1 records all events of job-3
    And the archive runs for 60 seconds
    Then the explanation of job-1 has the line recorded
    And the explanation of job-3 has the line recorded
    And each explanation took at most 7 reads of the store

  Scenario: Another writer has taken a segment's key
    Given another writer has taken the next key of the archive
    When agent-1 records all events of job-1
    And the archive runs for 5 seconds
    Then the archive kept that value and stored the records under another key

  Scenario: A damaged segment is reported and hides no other segment
    When agent-1 records all events of job-1
    And the archive runs for 3 seconds
    And agent-1 records all events of job-2
    And the archive runs for 3 seconds
    And the first segment is damaged
    Then reading the store reports 1 damaged segment
    And the explanation of job-1 has the line not recorded; gap in agent-1/aa from 1 to 3

  Scenario: Records that can't be compressed make more segments, all below a megabyte
    When agent-1 records 40 times 60000 random characters
    And the archive runs for 20 seconds
    Then agent-1 and agent-2 have nothing left to send
    And the store received at most one write per second
    And no segment is larger than 950000 bytes
    And the audit of the store finds only open journals

  Scenario: Records expire after their retention, by leases that are not renewed
    Given the archive keeps records for 8 days
    When agent-1 records all events of job-1
    And the archive runs for 3 seconds
    And 23 hours pass without records
    And agent-1 records all events of job-2
    And the archive runs for 3 seconds
    And 2 hours pass without records
    And agent-1 records all events of job-3
    And the archive runs for 3 seconds
    Then the segments are attached to leases 1 1 2 of 216 hours

  Scenario: A graceful shutdown stores all records
    When agent-1 records all events of job-1
    And the archive finishes
    Then agent-1 and agent-2 have nothing left to send
