Feature: Owners and executors keep their word whatever happens to frames

  The agents are real and stand in one process; a step says when a task ends, which
  frames are lost or arrive twice, and which questions are held. The first agent is the
  home, the next ones its successors. A start is written AGENT:TASK.

  Scenario: A task that ends while its job is being closed is not called not run
    Given the owners' agents home A B with 8 slots
    When home is handed an owners' job of 1 single tasks
    And owners' questions are held
    And home is told to cancel the owners' job
    And all owners' tasks succeed
    And owners' questions pass again
    Then home answers the owners' job as failed: ran

  Scenario: A task that fails while its job is being closed is not called not run
    Given the owners' agents home A B with 8 slots
    When home is handed an owners' job of 1 single tasks
    And owners' questions are held
    And home is told to cancel the owners' job
    And all owners' tasks fail
    And owners' questions pass again
    Then home answers the owners' job as failed: ran

  Scenario: A result that comes after the answer breaks nothing
    Given the owners' agents home A B with 8 slots
    When home is handed an owners' job of 4 single tasks
    And home is told to cancel the owners' job
    Then home answers the owners' job as failed: may_have_run may_have_run may_have_run may_have_run
    And no owners' link broke
    When another owners' job begins
    And home is handed an owners' job of 4 single tasks
    And all owners' tasks succeed
    Then home answers the owners' job as complete: ran ran ran ran

  Scenario: A cancel whose asker is lost still ends the job
    Given the owners' agents home A B with 8 slots
    When home is handed an owners' job of 1 single tasks
    And owners' questions are held
    And home is told to cancel the owners' job
    And the link of who cancels breaks
    And owners' questions pass again
    Then home answers the owners' job as failed: may_have_run

  Scenario: A successor that ends before it has asked doesn't say not run
    Given the owners' agents home A B with 8 slots
    When home is handed an owners' job of 2 single tasks
    And the owners' agent home falls silent
    And owners' questions are held
    And A is handed an owners' job of 2 single tasks
    And A is told to cancel the owners' job
    And owners' questions pass again
    Then A answers the owners' job as failed: may_have_run may_have_run

  Scenario: A successor that misses a witness says not run of nothing
    Given the owners' agents home A B with 1 slots
    When home is handed an owners' job of 3 single tasks
    And the owners' agent home falls silent
    And the owners' agent B falls silent
    And A is handed an owners' job of 3 single tasks
    Then A answers the owners' job as failed: may_have_run may_have_run may_have_run

  Scenario: A successor that misses the home says not run of no repeatable task
    Given the owners' agents home A with 1 slots
    When home is handed an owners' job of 1 repeatable tasks
    And the owners' agent home falls silent
    And owners' frames of kind Start are lost
    And A is handed an owners' job of 1 repeatable tasks
    And A is told to cancel the owners' job
    Then A answers the owners' job as failed: may_have_run

  Scenario: An owner whose close meets a later generation doesn't say not run
    Given the owners' agents home A B with 1 slots
    And owners' frames of kind Fenced are lost
    When home is handed an owners' job of 8 single tasks
    And A is handed an owners' job of 8 single tasks
    And A is told to cancel the owners' job
    And home is told to cancel the owners' job
    Then home says that the owners' job moved

  Scenario: Frames that arrive twice start nothing twice
    Given the owners' agents home A B with 8 slots
    And each owners' frame arrives 2 times
    When home is handed an owners' job of 4 single tasks
    And the owners' job of 4 tasks is handed to home 3 times more
    Then no owners' task started twice, and 4 started
    When all owners' tasks succeed
    Then home answers the owners' job as complete: ran ran ran ran
    And no owners' link broke

  Scenario: A successor adopts what runs and starts nothing twice
    Given the owners' agents home A B with 8 slots
    When home is handed an owners' job of 4 single tasks
    And the owners' job of 4 tasks is handed to A 1 times more
    Then no owners' task started twice, and 4 started
    And home says that the owners' job moved
    When all owners' tasks succeed
    Then A answers the owners' job as complete: ran ran ran ran
    And no owners' link broke

  Scenario: An id that a successor is handed for fewer tasks fails
    Given the owners' agents home A B with 8 slots
    When home is handed an owners' job of 4 single tasks
    And the owners' job of 2 tasks is handed to A 1 times more
    Then A answers the owners' job as failed: may_have_run may_have_run

  Scenario: What waits for an upstream that leaves goes elsewhere
    Given the owners' agents home A B with 1 slots
    When home is handed an owners' job of 4 single tasks
    And the upstream of A leaves
    And all owners' tasks succeed
    And all owners' tasks succeed
    And all owners' tasks succeed
    Then the owners' starts are A:0 B:1 B:2 B:3

  Scenario Outline: A refusal counts the requests that went unanswered
    When a router finds its three owners <first>, <second> and <third>
    Then the router's refusal says <outcome>

    Examples:
      | first   | second  | third   | outcome         |
      | full    | full    | full    | request_not_run |
      | leaving | full    | full    | request_not_run |
      | silent  | full    | full    | unknown         |
      | silent  | leaving | leaving | unknown         |
      | moved   | full    | full    | unknown         |
