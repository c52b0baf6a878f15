Feature: Owners and executors answer truly when messages are late, lost or doubled

  The agents are real and run in one process. The steps decide when a task ends, which
  messages are lost or delivered twice, and which requests are delayed. The first agent
  is the home, the next ones are its successors. A start is written AGENT:TASK.

  Scenario: A task that succeeds while its job is being closed is not answered as not run
    Given the owners' agents home A B with 8 slots
    When home receives an owners' job of 1 unrepeatable tasks
    And owners' requests are delayed
    And home receives a cancel of the owners' job
    And all owners' tasks succeed
    And owners' requests are delivered
    Then home answers the owners' job as failed: ran

  Scenario: A task that fails while its job is being closed is not answered as not run
    Given the owners' agents home A B with 8 slots
    When home receives an owners' job of 1 unrepeatable tasks
    And owners' requests are delayed
    And home receives a cancel of the owners' job
    And all owners' tasks fail
    And owners' requests are delivered
    Then home answers the owners' job as failed: ran

  Scenario: A result that arrives after the answer breaks no link
    Given the owners' agents home A B with 8 slots
    When home receives an owners' job of 4 unrepeatable tasks
    And home receives a cancel of the owners' job
    Then home answers the owners' job as failed: may_have_run may_have_run may_have_run may_have_run
    And no owners' link broke
    When another owners' job begins
    And home receives an owners' job of 4 unrepeatable tasks
    And all owners' tasks succeed
    Then home answers the owners' job as complete: ran ran ran ran

  Scenario: A cancel whose sender is lost still ends the job
    Given the owners' agents home A B with 8 slots
    When home receives an owners' job of 1 unrepeatable tasks
    And owners' requests are delayed
    And home receives a cancel of the owners' job
    And the link of the cancelling client breaks
    And owners' requests are delivered
    Then home answers the owners' job as failed: may_have_run

  Scenario: A successor that is cancelled before its requests are answered doesn't answer not run
    Given the owners' agents home A B with 8 slots
    When home receives an owners' job of 2 unrepeatable tasks
    And the owners' agent home becomes unreachable
    And owners' requests are delayed
    And A receives an owners' job of 2 unrepeatable tasks
    And A receives a cancel of the owners' job
    And owners' requests are delivered
    Then A answers the owners' job as failed: may_have_run may_have_run

  Scenario: A successor that can't reach a candidate answers no task as not run
    Given the owners' agents home A B with 1 slots
    When home receives an owners' job of 3 unrepeatable tasks
    And the owners' agent home becomes unreachable
    And the owners' agent B becomes unreachable
    And A receives an owners' job of 3 unrepeatable tasks
    Then A answers the owners' job as failed: may_have_run may_have_run may_have_run

  Scenario: A successor that can't reach the home answers no repeatable task as not run
    Given the owners' agents home A with 1 slots
    When home receives an owners' job of 1 repeatable tasks
    And the owners' agent home becomes unreachable
    And owners' messages of kind Start are lost
    And A receives an owners' job of 1 repeatable tasks
    And A receives a cancel of the owners' job
    Then A answers the owners' job as failed: may_have_run

  Scenario: An owner whose close comes after a later generation's claim doesn't answer not run
    Given the owners' agents home A B with 1 slots
    And owners' messages of kind Fenced are lost
    When home receives an owners' job of 8 unrepeatable tasks
    And A receives an owners' job of 8 unrepeatable tasks
    And A receives a cancel of the owners' job
    And home receives a cancel of the owners' job
    Then home answers that the owners' job moved

  Scenario: Messages that are delivered twice start no task twice
    Given the owners' agents home A B with 8 slots
    And each owners' message is delivered 2 times
    When home receives an owners' job of 4 unrepeatable tasks
    And home receives the owners' job of 4 tasks 3 more times
    Then no owners' task started twice, and 4 started
    When all owners' tasks succeed
    Then home answers the owners' job as complete: ran ran ran ran
    And no owners' link broke

  Scenario: A successor adopts running tasks and starts none twice
    Given the owners' agents home A B with 8 slots
    When home receives an owners' job of 4 unrepeatable tasks
    And A receives the owners' job of 4 tasks 1 more times
    Then no owners' task started twice, and 4 started
    And home answers that the owners' job moved
    When all owners' tasks succeed
    Then A answers the owners' job as complete: ran ran ran ran
    And no owners' link broke

  Scenario: A job that is submitted to a successor with fewer tasks fails
    Given the owners' agents home A B with 8 slots
    When home receives an owners' job of 4 unrepeatable tasks
    And A receives the owners' job of 2 tasks 1 more times
    Then A answers the owners' job as failed: may_have_run may_have_run

  Scenario: Tasks that wait for a leaving upstream are started elsewhere
    Given the owners' agents home A B with 1 slots
    When home receives an owners' job of 4 unrepeatable tasks
    And the upstream of A leaves
    And all owners' tasks succeed
    And all owners' tasks succeed
    And all owners' tasks succeed
    Then the owners' starts are A:0 B:1 B:2 B:3

  Scenario Outline: A refusal takes unanswered requests into account
    When a router's three owners answer <first>, <second> and <third>
    Then the router's refusal has the outcome <outcome>

    Examples:
      | first   | second  | third   | outcome         |
      | full    | full    | full    | request_not_run |
      | leaving | full    | full    | request_not_run |
      | silent  | full    | full    | unknown         |
      | silent  | leaving | leaving | unknown         |
      | moved   | full    | full    | unknown         |
