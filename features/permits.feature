Feature: Permits stay within what a majority of the entries knows

  Time moves only when a step says so. "Reads the store" stands for a read that
  succeeded; in all else the store is silent.

  Scenario: A read of the store is good for the time of a permit
    Given the permit entries A B C
    When the permit entry A reads the store at revision 4
    Then the permit of A is revision 4 for 2000 ms
    When 1999 ms pass for the permit entries
    Then the permit of A is revision 4 for 1 ms
    When 1 ms pass for the permit entries
    Then the permit of A is revision 4 for 0 ms

  Scenario: A slow read counts from its begin, and an older one takes nothing back
    Given the permit entries A
    When the permit entry A reads the store at revision 4, begun 1500 ms ago
    Then the permit of A is revision 4 for 500 ms
    When the permit entry A reads the store at revision 4, begun 1900 ms ago
    Then the permit of A is revision 4 for 500 ms

  Scenario: An outage that all entries see stops nothing
    Given the permit entries A B C
    And all permit entries read the store at revision 4
    When 60000 ms pass for the permit entries
    Then the permit entries A B C agree
    And the permit of C is revision 4 for 2000 ms

  Scenario: An entry cut off from store and entries lets its permits run out
    Given the permit entries A B C
    And all permit entries read the store at revision 4
    And the permit entry C is cut off
    When a drain of revision 5 is recorded by A
    Then the drain is "accepted" at A
    And the permit entry C does not agree
    And the permit of C is revision 4 for 2000 ms
    When 2000 ms pass for the permit entries
    Then the permit entry C does not agree
    And the permit of C is revision 4 for 0 ms
    And the drain is "in_force" at A

  Scenario: An entry that alone lost the store learns of the drain from a peer
    Given the permit entries A B C
    And all permit entries read the store at revision 4
    And the permit entry C is cut off
    And a drain of revision 5 is recorded by A
    When the permit entry C is joined to B alone
    Then the permit entries C agree
    And the permit of C is revision 5 for 2000 ms

  Scenario: A vote that shows a drain is of no use without its document
    Given the permit entries A B C
    And all permit entries read the store at revision 4
    And the permit entry C is cut off
    And a drain of revision 5 is recorded by A
    And 2000 ms pass for the permit entries
    When the permit entry C is joined to B alone, but fetches nothing
    Then the permit entry C does not agree
    And the permit of C is revision 4 for 0 ms

  Scenario: A change that no majority holds is recorded, and spread later
    Given the permit entries A B C
    And all permit entries read the store at revision 4
    And the permit entry B is cut off
    And the permit entry C is cut off
    When a drain of revision 5 is recorded by A
    And 60000 ms pass for the permit entries
    Then the drain is "recorded" at A
    When the permit entry B is joined to A alone
    And A spreads the drain again
    Then the drain is "accepted" at A
    And the permit entry B holds revision 5

  Scenario: An older or a malformed document takes nothing back
    Given the permit entries A B
    And the permit entry A reads the store at revision 5
    And the permit entry B reads the store at revision 4
    When the permit entry B offers its document to A
    And the permit entry A is offered {"revision":9}
    Then the permit entry A holds revision 5

  Scenario: A fresh entry is not counted until it has read the store
    Given the permit entries A B C
    And the permit entry A reads the store at revision 4
    And the permit entry C is cut off
    Then the permit entry A does not agree
    When the permit entry B reads the store at revision 4
    Then the permit entries A agree

  Scenario: A restarted entry is not counted in place of what it forgot
    Given the permit entries A B C
    And all permit entries read the store at revision 4
    And the permit entry C is cut off
    And a drain of revision 5 is recorded by A
    When the permit entry A is cut off
    And the permit entry B restarts
    And the permit entry C is joined to B alone
    And 2000 ms pass for the permit entries
    Then the permit entry C does not agree
    And the permit entry B does not agree

  Scenario: A restarted entry counts once it has heard from every other entry
    Given the permit entries A B C
    And all permit entries read the store at revision 4
    And a drain of revision 5 is recorded by A
    When the permit entry B restarts
    Then the permit entries B agree
    And the permit of B is revision 5 for 2000 ms
    When the permit entry A is cut off
    Then the permit entries C agree

  Scenario: Two restarted entries do not vouch for each other
    Given the permit entries A B C
    And all permit entries read the store at revision 4
    And the permit entry C is cut off
    And a drain of revision 5 is recorded by A
    When the permit entry A restarts
    And the permit entry B restarts
    And the permit entry C is joined to all
    And 2000 ms pass for the permit entries
    Then the permit entry A does not agree
    And the permit entry B does not agree
    And the permit entry C does not agree
    When the permit entry A reads the store at revision 5
    Then the permit entries C agree
    And the permit of C is revision 5 for 2000 ms
    And the permit entries B agree

  Scenario: A lone entry that restarts needs the store
    Given the permit entries A
    And the permit entry A reads the store at revision 4
    Then the permit entries A agree
    When the permit entry A restarts
    And the permit entry A has heard from all of no others
    Then the permit entry A does not agree

  Scenario Outline: With five entries three are a majority
    Given the permit entries A B C D E
    And all permit entries read the store at revision 4
    When the permit entry D is cut off
    And the permit entry E is cut off
    Then the permit entries A agree
    When the permit entry <cut> is cut off
    Then the permit entry A does not agree

    Examples:
      | cut |
      | B   |
      | C   |

  Scenario: A drain that every entry holds is still not in force before its time
    Given the permit entries A B C
    And all permit entries read the store at revision 4
    And the permit entry C is cut off
    When a drain of revision 5 is recorded by A
    Then the drain is "accepted" at A
    When the permit entry C is joined to all
    And A spreads the drain again
    Then the drain is "accepted" at A

  Scenario: A peer that never answers holds up nobody
    Given the permit entries A B C
    And all permit entries read the store at revision 4
    When the permit entry C hangs
    Then the permit entries A B agree

  Scenario: While the store answers the entries are not asked
    Given the permit entries A
    When the permit entry A reads the store at revision 4
    Then the permit entry A has the store on time
    When 1100 ms pass for the permit entries
    Then the permit entry A finds the store late

  Scenario: Left to themselves, entries renew their permits and spread a change
    Given the permit entries A B C
    And all permit entries read the store at revision 4
    When 60000 ms pass for the permit entries
    And the permit entry A reads the store at revision 5
    And the permit entries run until each has a permit and the drain is accepted
    Then the permit of C is revision 5 for 2000 ms
