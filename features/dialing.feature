Feature: An agent finds an entry that comes back

  A VM without power does not answer: a try takes as long as a connection may take.

  Scenario: An entry that was away shortly is found soon
    Given an agent that dials an entry in virtual time
    When the entry has no power for 3000 ms
    Then the agent reaches it within 400 ms of its return

  Scenario: An entry that was away long is found as soon as it registers
    Given an agent that dials an entry in virtual time
    When the entry has no power for 20000 ms
    And the store shows a change of the entries
    Then the agent reaches it within 250 ms of its return

  Scenario: An entry that is long gone is tried seldom, then forgotten
    Given an agent that dials an entry in virtual time
    When the entry has no power for 20000 ms
    Then the agent tried at most 45 times
    When the store no longer lists the entry for 31000 ms
    And the entry is back unlisted for 3000 ms
    Then the agent has not reached it
