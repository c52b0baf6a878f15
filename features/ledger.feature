Feature: Commands are stored exactly once and reach every entry

  Background:
    Given a stand-in store
    And the ledgers A and B on the stand-in store

  Scenario: A command is answered, and its repetition gets the same answer
    When the ledger A submits "c1" to drain "east"
    Then the ledger answer is "applied at revision 1"
    When the ledger B submits "c1" to drain "east"
    Then the ledger answer is "applied at revision 1"
    And the ledger document in the store has 1 outcomes

  Scenario: One command id stands for one command
    When the ledger A submits "c1" to drain "east"
    And the ledger B submits "c1" to drain "west"
    Then the ledger answer is "command id c1 stands for: drain_zone zone=east"

  Scenario Outline: The outcome of a command whose answer was lost is found by its id
    Given the stand-in store is set to {"lose_answers":<lost>}
    When the ledger A submits "c1" to drain "east"
    Then the ledger answer is "applied at revision 1"
    And the ledger document in the store has 1 outcomes

    Examples:
      | lost |
      | 1    |
      | 2    |

  Scenario: The answer is lost and the store goes down
    Given the stand-in store goes down after its next write without an answer
    When the ledger A submits "c1" to drain "east"
    Then the ledger answer begins "unknown" with the outcome "unknown"
    And the ledger remedy is "ask again with the same command id"
    When the stand-in store is set to {"down":false}
    And the ledger B submits "c1" to drain "east"
    Then the ledger answer is "applied at revision 1"
    And the ledger document in the store has 1 outcomes

  Scenario: A command is not recorded while the store is down
    Given the stand-in store is set to {"down":true}
    When the ledger A submits "c1" to drain "east"
    Then the ledger answer begins "not recorded" with the outcome "request_not_run"
    When the stand-in store is set to {"down":false}
    Then the ledger document in the store has 0 outcomes

  Scenario: Many commands are answered together while the store is down
    Given the stand-in store is set to {"down":true}
    When the ledger A submits 30 commands at once
    Then each ledger answer begins "not recorded"

  Scenario: A lost write that another command has overtaken is not recorded
    Given the ledger A loses its next write, and the store fails all later ones
    When the ledger A submits "c1" to drain "east"
    Then the ledger answer begins "not recorded" with the outcome "request_not_run"

  Scenario: A command whose write takes effect late is recorded once
    Given the stand-in store hangs from its next write on
    When the ledger A submits "c1" to drain "east"
    Then the ledger answer begins "unknown" with the outcome "unknown"
    When the stand-in store is set to {"hang":false}
    And the ledger B submits "c1" to drain "east"
    Then the ledger answer is "applied at revision 1"
    And the ledger document in the store has 1 outcomes

  Scenario: The loser of a race gets the id of the winner, each time it asks
    When the ledger A submits "c1" to drain "east"
    And the ledgers race: A submits "c2" to restore "east" while B's "c3" drains "west" and "c4" restores "east"
    Then the ledger answer is "unchanged at revision 4"
    And the ledger document in the store has 4 outcomes
    When the ledger A submits "c5" to drain "east" expecting revision 1
    Then the ledger answer is "command c4 changed zone east first, at revision 3"
    And the ledger remedy is "nothing was changed; look, and if you still want it send it with a new id"
    When the ledger B submits "c5" to drain "east"
    Then the ledger answer is "command c4 changed zone east first, at revision 3"

  Scenario: Two conflicting commands at once have one winner
    When the ledger A submits "c1" to drain "east"
    And the ledgers race: A submits "c2" to restore "east" while B's "c3" restores "east" and "c4" drains "east"
    Then the ledger answer is "command c4 changed zone east first, at revision 3"

  Scenario: A change arrives through the watch, between two polls
    Given the ledger B polls every 60000 ms
    When the ledger A submits "c1" to drain "east"
    Then the ledger B receives revision 1

  Scenario: A change arrives by the poll when the watch has ended
    Given the ledger B polls every 50 ms without a watch
    When the ledger A submits "c1" to drain "east"
    Then the ledger B receives revision 1

  Scenario: A store that lost its data does not revert the configuration
    When the ledger A submits "c1" to drain "east"
    And the ledger's document in the store is emptied
    And the ledger A submits "c2" to drain "west"
    Then the ledger answer begins "not recorded" with the outcome "request_not_run"
    And the ledger A holds revision 1

  Scenario: A read confirms the time at which it began; a failed read confirms nothing
    When the ledger A reads at 1000 ms and the answer takes 80 ms
    And the stand-in store is set to {"down":true}
    And the ledger A reads at 2000 ms and the answer takes 80 ms
    Then the times of confirmed ledger reads are "1000"
