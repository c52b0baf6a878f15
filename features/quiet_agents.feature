Feature: An entry sends nothing to agents whose heartbeats are overdue

  Scenario: A job isn't sent to agents whose open connections have gone silent
    Given a field of 2 entries and 6 workers of 16 cores
    When the links of entry 0 to workers 0 to 3 go silent
    And 400 ms pass in the field
    And entry 0 of the field gets a job of 8 tasks for 100 ms
    Then all jobs of the field are completed within 200 ms

  Scenario: A job waits for the next heartbeat when all agents are quiet
    Given a field of 1 entries and 2 workers of 16 cores
    When the links of entry 0 to workers 0 to 1 are held for 400 ms
    And entry 0 of the field gets a job of 8 tasks for 100 ms
    Then all jobs of the field are completed within 400 ms
    And no task of the field was started twice
