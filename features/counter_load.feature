Feature: How callers are served under the load of the users' counters

  The kinds of request and their rates are those of the users' sheets; time is virtual.
  The site has four entries and eleven workers of 32 cores each, of which an ordinary day
  keeps seven tenths busy.

  Scenario: Almost all requests of an ordinary day are served, and none is refused
    Given the counters' site
    When the counters' load runs for 10 s
    Then at least 99.9 % of the counters' requests are served
    And none of the counters' requests is refused

  Scenario: Callers are served as before soon after a burst of 1.5 times the load
    Given the counters' site
    When the counters' load runs for 16 s, 1.5 times as high from 4 s to 8 s
    Then at least 99 % of the counters' requests that arrive after 11 s are served
    And no worker recorded a violation

  Scenario Outline: Under lasting overload no kind and no entry is starved
    Given the counters' site, with seed <seed>
    When the counters' load runs at 1.8 times its rate for 12 s
    Then each kind and each entry is served at least half as often as all are
    And at least 95 % of the counters' refusals arrive before the objective
    And no worker recorded a violation

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario: The command runs a load and prints how callers were served
    When the counters' command runs a load of 3 s without a burst
    Then it prints a line for all, check, issue, hold and each window

  Scenario Outline: Freed room is announced first to the entry that needs it soonest
    Given owners that need room by
      | owner | ms  |
      | a     | 500 |
      | b     | 120 |
      | c     | inf |
    Then room that <owner> freed is announced first to <first>

    Examples:
      | owner | first |
      | a     | b     |
      | b     | b     |
      | c     | b     |

  Scenario: Freed room is announced first to its former owner if no entry needs room
    Given owners that need room by
      | owner | ms  |
      | a     | inf |
      | b     | inf |
    Then room that b freed is announced first to b
