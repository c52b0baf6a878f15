Feature: An agent serves some of many entries

  A link costs both ends heartbeats and announcements of room. Each agent serves at most
  12 entries, so that this cost doesn't grow with the fleet.

  Scenario: Links are spread evenly, and a process has no more of them than the limit
    Given a field of 36 entries and 72 workers of 16 cores
    Then each agent is linked to 12 entries
    And each entry is linked to 12 to 48 agents

  Scenario: A fleet with few entries has a link between every agent and every entry
    Given a field of 11 entries and 20 workers of 16 cores
    Then each agent is linked to 11 entries
    And each entry is linked to 20 to 20 agents

  Scenario: An agent of many entries receives no more messages than one of 12
    Given a field of 36 entries and 18 workers of 16 cores
    When the messages to the agents are counted for 3000 ms
    Then each agent got at most 300 messages

  Scenario: An entry with many agents and a long queue sends no more messages than its limit
    Given a field of 1 entries and 60 workers of 1 cores
    When jobs of 8 tasks for 100 ms are sent to entry 0 each 12 ms for 3000 ms
    Then the agents got at most 1600 heartbeats a second

  Scenario: A job that only the workers of other entries could run is refused at once, and not failed
    Given a field of 36 entries and 12 workers of 16 cores
    And a worker of 64 cores in the field
    When each entry of the field gets a job of a task of 32 cores
    Then the 12 entries with a large worker complete theirs, and the others refuse within 50 ms
    When each entry of the field gets a job of a task of 99 cores
    Then each entry of the field answers that the job has failed

  Scenario: A new link repeats only those ends that the owner may not have
    Given a field of 1 entries and 1 workers of 64 cores
    When jobs of 2 tasks for 20 ms are sent to entry 0 each 20 ms for 3000 ms
    And 1000 ms pass in the field
    And the link of worker 0 to entry 0 is reset
    Then the roster on the next link repeats at most 10 ends

  Scenario: Agents serve other entries in place of lost ones
    Given a field of 20 entries and 30 workers of 16 cores
    When entries 0 to 4 of the field are killed
    And 1500 ms pass in the field
    Then each agent is linked to 12 entries
    When entry 7 of the field gets a job of 8 tasks for 100 ms
    Then all jobs of the field are completed within 400 ms

  Scenario: An entry that is left to other agents loses no running task
    Given a field of 12 entries and 4 workers of 64 cores
    When each entry of the field gets a job of 4 tasks for 3000 ms
    And 8 entries are added to the field
    Then all jobs of the field are completed within 3500 ms
    And no task of the field was started twice
    When 2500 ms pass in the field
    Then each agent is linked to 12 entries

  Scenario: Tasks are started twice if links close while something runs for their owner
    Given a field of 12 entries and 4 workers of 64 cores
    And the rule "a link is closed only once nothing runs for its owner" is left out
    When each entry of the field gets a job of 4 tasks for 3000 ms
    And 8 entries are added to the field
    And 6000 ms pass in the field
    Then some task of the field was started twice

  Scenario Outline: Jobs are served while entries come and go
    Given a field of 16 entries and 24 workers of 64 cores with seed <seed>
    When entries of the field are killed, restarted and added for 20000 ms under load
    Then no worker recorded a violation
    And at least 95 % of the jobs at entries that stayed are completed

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
