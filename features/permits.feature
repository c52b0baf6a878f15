Feature: Permits follow the revision that a majority of the entries confirms

  The clock advances only by steps. "Reads the store" is a read that succeeds; apart from
  these reads the store does not answer.

  Scenario: A read of the store is valid for the duration of a permit
    Given the permit entries A B C
    When the permit entry A reads the store at revision 4
    Then the permit of A is revision 4 for 2000 ms
    When 1999 ms pass for the permit entries
    Then the permit of A is revision 4 for 1 ms
    When 1 ms pass for the permit entries
    Then the permit of A is revision 4 for 0 ms

  Scenario: A slow read counts from its start, and an older one shortens no permit
    Given the permit entries A
    When the permit entry A reads the store at revision 4, started 1500 ms ago
    Then the permit of A is revision 4 for 500 ms
    When the permit entry A reads the store at revision 4, started 1900 ms ago
    Then the permit of A is revision 4 for 500 ms

  Scenario: A store outage for all entries ends no permit
    Given the permit entries A B C
    And all permit entries read the store at revision 4
    When 60000 ms pass for the permit entries
    Then a majority confirms the permit entries A B C
    And the permit of C is revision 4 for 2000 ms

  Scenario: The permits of an entry cut off from the store and all entries expire
    Given the permit entries A B C
    And all permit entries read the store at revision 4
    And the permit entry C is cut off
    When a drain of revision 5 is recorded by A
    Then the drain is "accepted" at A
    And no majority confirms the permit entry C
    And the permit of C is revision 4 for 2000 ms
    When 2000 ms pass for the permit entries
    Then no majority confirms the permit entry C
    And the permit of C is revision 4 for 0 ms
    And the drain is "in_force" at A

  Scenario: An entry that alone lost the store receives the drain from a peer
    Given the permit entries A B C
    And all permit entries read the store at revision 4
    And the permit entry C is cut off
    And a drain of revision 5 is recorded by A
    When the permit entry C is connected to B only
    Then a majority confirms the permit entries C
    And the permit of C is revision 5 for 2000 ms

  Scenario: A vote that reports a drain confirms nothing without the drain's document
    Given the permit entries A B C
    And all permit entries read the store at revision 4
    And the permit entry C is cut off
    And a drain of revision 5 is recorded by A
    And 2000 ms pass for the permit entries
    When the permit entry C is connected to B only, and its fetches fail
    Then no majority confirms the permit entry C
    And the permit of C is revision 4 for 0 ms

  Scenario: A change that no majority has is recorded, and spread later
    Given the permit entries A B C
    And all permit entries read the store at revision 4
    And the permit entry B is cut off
    And the permit entry C is cut off
    When a drain of revision 5 is recorded by A
    And 60000 ms pass for the permit entries
    Then the drain is "recorded" at A
    When the permit entry B is connected to A only
    And A spreads the drain again
    Then the drain is "accepted" at A
    And the permit entry B has revision 5

  Scenario: An older or malformed document replaces nothing
    Given the permit entries A B
    And the permit entry A reads the store at revision 5
    And the permit entry B reads the store at revision 4
    When the permit entry B offers its document to A
    And the permit entry A is offered {"revision":9}
    Then the permit entry A has revision 5

  Scenario: A fresh entry is not counted until it has read the store
    Given the permit entries A B C
    And the permit entry A reads the store at revision 4
    And the permit entry C is cut off
    Then no majority confirms the permit entry A
    When the permit entry B reads the store at revision 4
    Then a majority confirms the permit entries A

  Scenario: A restarted entry that lost its state does not count for a majority
    Given the permit entries A B C
    And all permit entries read the store at revision 4
    And the permit entry C is cut off
    And a drain of revision 5 is recorded by A
    When the permit entry A is cut off
    And the permit entry B restarts
    And the permit entry C is connected to B only
    And 2000 ms pass for the permit entries
    Then no majority confirms the permit entry C
    And no majority confirms the permit entry B

  Scenario: A restarted entry counts once every other entry has answered it
    Given the permit entries A B C
    And all permit entries read the store at revision 4
    And a drain of revision 5 is recorded by A
    When the permit entry B restarts
    Then a majority confirms the permit entries B
    And the permit of B is revision 5 for 2000 ms
    When the permit entry A is cut off
    Then a majority confirms the permit entries C

  Scenario: Two restarted entries do not make each other's votes count
    Given the permit entries A B C
    And all permit entries read the store at revision 4
    And the permit entry C is cut off
    And a drain of revision 5 is recorded by A
    When the permit entry A restarts
    And the permit entry B restarts
    And the permit entry C is connected to all
    And 2000 ms pass for the permit entries
    Then no majority confirms the permit entry A
    And no majority confirms the permit entry B
    And no majority confirms the permit entry C
    When the permit entry A reads the store at revision 5
    Then a majority confirms the permit entries C
    And the permit of C is revision 5 for 2000 ms
    And a majority confirms the permit entries B

  Scenario: A single entry that restarts needs the store
    Given the permit entries A
    And the permit entry A reads the store at revision 4
    Then a majority confirms the permit entries A
    When the permit entry A restarts
    And the permit entry A has votes from all of its zero peers
    Then no majority confirms the permit entry A

  Scenario Outline: With five entries three are a majority
    Given the permit entries A B C D E
    And all permit entries read the store at revision 4
    When the permit entry D is cut off
    And the permit entry E is cut off
    Then a majority confirms the permit entries A
    When the permit entry <cut> is cut off
    Then no majority confirms the permit entry A

    Examples:
      | cut |
      | B   |
      | C   |

  Scenario: A drain that every entry has is not in force before older permits have ended
    Given the permit entries A B C
    And all permit entries read the store at revision 4
    And the permit entry C is cut off
    When a drain of revision 5 is recorded by A
    Then the drain is "accepted" at A
    When the permit entry C is connected to all
    And A spreads the drain again
    Then the drain is "accepted" at A

  Scenario: A peer that never answers delays no other entry
    Given the permit entries A B C
    And all permit entries read the store at revision 4
    When the permit entry C hangs
    Then a majority confirms the permit entries A B

  Scenario: The entries are not asked while the store answers
    Given the permit entries A
    When the permit entry A reads the store at revision 4
    Then the confirmation of the permit entry A is current
    When 1100 ms pass for the permit entries
    Then the confirmation of the permit entry A is stale

  Scenario: Running entries renew their permits and spread a change
    Given the permit entries A B C
    And all permit entries read the store at revision 4
    When 60000 ms pass for the permit entries
    And the permit entry A reads the store at revision 5
    And the permit entries run until each has a permit and the drain is accepted
    Then the permit of C is revision 5 for 2000 ms
