Feature: An agent reconnects to an entry that returns

  A VM without power does not answer: each attempt to connect lasts until its timeout.

  Scenario: An entry that was away briefly is reached soon
    Given an agent that dials an entry in virtual time
    When the entry has no power for 3000 ms
    Then the agent reaches it within 400 ms of its return

  Scenario: An entry that was away for long is reached as soon as it registers
    Given an agent that dials an entry in virtual time
    When the entry has no power for 20000 ms
    And the store shows a change of the entries
    Then the agent reaches it within 250 ms of its return

  Scenario: An entry that is away for long is dialed rarely, and no more once it is unlisted
    Given an agent that dials an entry in virtual time
    When the entry has no power for 20000 ms
    Then the agent dialed it at most 45 times
    When the store no longer lists the entry for 31000 ms
    And the entry is back but unlisted for 3000 ms
    Then the agent has not reached it

  Scenario: An entry whose message causes an error is dialed again
    Given an agent that dials an entry in virtual time
    When the next link to the entry ends with an error
    And the entry is reached and left
    Then the agent reaches it within 400 ms of its return
