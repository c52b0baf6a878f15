Feature: What callers get under the load of the users' counters

  The users' kinds of request come as on their sheets, in virtual time: four entries and
  eleven workers of 32 cores, seven tenths of which are busy on an ordinary day.

  Scenario: An ordinary day is served whole
    Given the counters' site
    When the counters' load comes for 10 s
    Then 99.9 % of the counters' requests are served
    And none of the counters' requests is refused

  Scenario: After a burst of half as much again callers are soon served as before
    Given the counters' site
    When the counters' load comes for 16 s, 1.5 times as much from 4 s to 8 s
    Then 99 % of the counters' requests that come after 11 s are served
    And no worker recorded a violation

  Scenario Outline: Under lasting overload no kind and no entry is starved
    Given the counters' site, with seed <seed>
    When the counters' load comes 1.8 times as often for 12 s
    Then each kind and each entry is served at least half as often as all are
    And 95 % of the counters' refusals come before the objective
    And no worker recorded a violation

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario: The command plays a load and prints what callers got
    When the counters' command plays 3 s without a burst
    Then it prints a line for all, check, issue, hold and each window

  Scenario Outline: Freed room is told first to the entry that needs it soonest
    Given owners that need room by
      | owner | ms  |
      | a     | 500 |
      | b     | 120 |
      | c     | inf |
    Then room that <owner> freed is told first to <heir>

    Examples:
      | owner | heir |
      | a     | b    |
      | b     | b    |
      | c     | b    |

  Scenario: Freed room stays with its owner while nobody needs any
    Given owners that need room by
      | owner | ms  |
      | a     | inf |
      | b     | inf |
    Then room that b freed is told first to b
