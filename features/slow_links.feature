Feature: Slow links of entries are not lost by what the processes themselves send

  The entries of the field are behind 2 Mbit/s, in each direction. What is silent for
  600 ms counts as lost.

  Scenario: All links of an entry are replaced at once after many tasks
    Given a field of 1 entries and 24 workers of 16 cores
    And the entries of the field are behind 250000 bytes a second
    When jobs of 48 tasks for 20 ms are sent to entry 0 each 40 ms for 8000 ms
    And all links of entry 0 are reset
    And 400 ms pass in the field
    Then no link of the field is lost in the next 3000 ms

  Scenario: All links are lost again if all ends are repeated
    Given a field of 1 entries and 24 workers of 16 cores
    And the entries of the field are behind 250000 bytes a second
    And the rule "an end that its owner has is not repeated on a new link" is left out
    When jobs of 48 tasks for 20 ms are sent to entry 0 each 40 ms for 8000 ms
    And all links of entry 0 are reset
    And 400 ms pass in the field
    Then some links of the field are lost in the next 3000 ms

  Scenario: Everything restarts at once
    Given a field of 30 entries and 60 workers of 16 cores
    And the entries of the field are behind 250000 bytes a second
    When all processes of the field are killed and started again at once
    And 2000 ms pass in the field
    Then no link of the field is lost in the next 3000 ms
    When entry 7 of the field gets a job of 8 tasks for 100 ms
    Then all jobs of the field are completed within 400 ms
