Feature: Tasks run in the rack of their data while that helps their callers

  Outside of the rack of its data a task takes three times as long here, so that a job
  of one run time is in time only in its rack (slack factor 1.6).

  Scenario: Urgent jobs that need one rack are in time although other jobs fill all racks
    Given entries that expect a remote penalty of 3
    When the counters' load runs for 4 s and urgent jobs need three racks
    Then at least 75 % of the urgent jobs are in time
    And no worker recorded a violation
    Given entries that expect a remote penalty of 1
    When the counters' load runs for 4 s and urgent jobs need three racks
    Then at most 45 % of the urgent jobs are in time

  Scenario Outline: A task waits for its rack only while it is in time there and late elsewhere
    Given a task of 100 ms that has <slack> ms left
    When it is expected to take <inside> ms in its rack and <outside> ms elsewhere
    Then it <decision>

    Examples:
      | slack | inside | outside | decision       |
      | 160   | 100    | 300     | waits          |
      | 100   | 100    | 300     | waits          |
      | 99    | 100    | 300     | runs elsewhere |
      | 300   | 100    | 300     | runs elsewhere |
      | 160   | inf    | 300     | runs elsewhere |

  Scenario Outline: Demand for a rack follows what asks for it, and is forgotten
    When jobs ask for <cores> cores of a rack for <seconds> s, which ended <passed> s ago
    Then its demand is between <least> and <most> cores

    Examples:
      | cores | seconds | passed | least | most |
      | 10    | 8       | 0      | 9     | 11   |
      | 10    | 1       | 0      | 4     | 6    |
      | 10    | 8       | 1      | 4     | 6    |
      | 10    | 8       | 8      | 0     | 0.1  |

  Scenario: A task waits for its full rack and runs there
    Given a site of two racks with a remote penalty of 3
    And the log is recorded
    When rack 0 is full for 100 ms
    And a job of 2 tasks of 200 ms needs rack 0
    Then it is completed within 320 ms
    And 4 attempts were sent inside and 0 outside of their rack
    And the log has "attempt held back for its rack" with rack "rack-0"
    And its slack_ms is at least 300 and its outside_ms at least 600
    And it was logged once for each task

  Scenario: Without a remote penalty a task never waits for its rack
    Given a site of two racks with a remote penalty of 1
    When rack 0 is full for 100 ms
    And a job of 2 tasks of 200 ms needs rack 0
    Then 2 attempts were sent inside and 2 outside of their rack

  Scenario: A task waits no longer than it can be in time in its rack
    Given a site of two racks with a remote penalty of 3
    When rack 0 is full for 2000 ms
    And a job of 2 tasks of 200 ms needs rack 0
    Then it is completed within 900 ms
    And 2 attempts were sent inside and 2 outside of their rack

  Scenario: A job that waits for its rack does not block others
    Given a site of two racks with a remote penalty of 3
    When rack 0 is full for 100 ms
    And 12 jobs of 1 tasks of 200 ms need rack 0
    And a job of 2 tasks of 400 ms needs no rack
    Then it is completed within 415 ms

  Scenario Outline: A task does not wait for a rack that can't run it
    Given a site of two racks with a remote penalty of 3
    When rack 0 is full for 2000 ms
    And a job of 2 tasks of 200 ms needs rack 0
    And 40 ms later <event>
    Then it is completed within 720 ms

    Examples:
      | event                                  |
      | the workers of rack 0 drain            |
      | the links of rack 0 break              |
      | the zone of rack 0 is evacuated        |
      | the workers of rack 0 shrink to 1 core |

  Scenario: A task that waits for a fast worker of its rack is not refused as late
    Given a site of two racks with a remote penalty of 3
    And the workers of rack 0 are known to take half as long
    When rack 0 is full for 230 ms
    And a job of 1 tasks of 200 ms needs rack 0
    Then it is completed within 440 ms
    And 3 attempts were sent inside and 0 outside of their rack

  Scenario: A task that was held for its rack is refused as late once all room is taken
    Given a site of two racks with a remote penalty of 3
    And the workers of rack 0 are known to take half as long
    When rack 0 is full for 2000 ms
    And a job of 1 tasks of 200 ms needs rack 0
    And other jobs then fill rack 1 for 2000 ms
    Then it is refused within 240 ms

  Scenario: A task that may not run on a free worker of its rack does not block others
    Given a site of two racks with a remote penalty of 3
    When one worker of rack 0 is full for 100 ms and the other for 2000 ms
    And a job of 2 tasks of 200 ms needs rack 0
    And its first task failed on the worker that is free first
    And the site runs on for 110 ms
    Then it runs in rack 0

  Scenario: A task whose rack has no worker runs elsewhere at once
    Given a site of two racks with a remote penalty of 3
    When a job of 2 tasks of 200 ms needs rack 7
    Then it is completed within 615 ms

  Scenario: An entry that knows of no list of entries still leaves a wanted rack to others
    Given a site of two racks with a remote penalty of 3
    And the entry has lost the list of entries
    When a job of 2 tasks of 400 ms needs rack 0
    And a job of 1 tasks of 100 ms needs no rack
    Then it runs in rack 1

  Scenario: A route whose slack factor exceeds the remote penalty avoids no rack
    Given a site of two racks with a remote penalty of 3
    When a job of 2 tasks of 400 ms needs rack 0
    And a job of 1 tasks of 100 ms of a route with slack factor 4 needs no rack
    Then it runs in rack 0

  Scenario: An entry that has restarted runs tasks in their rack without knowing of demand
    Given a site of two racks with a remote penalty of 3
    When a job of 1 tasks of 400 ms needs rack 0
    And the entry restarts
    And a job of 1 tasks of 200 ms needs rack 0
    Then it is completed within 215 ms

  Scenario: Other tasks use a wanted rack when there is room nowhere else
    Given a site of two racks with a remote penalty of 3
    When a job of 2 tasks of 400 ms needs rack 0
    And rack 1 is full for 2000 ms
    And a job of 1 tasks of 100 ms needs no rack
    Then it is completed within 115 ms

  Scenario: Runs outside of the rack do not make a worker look slow
    Given a site of two racks with a remote penalty of 3
    When 6 jobs in turn of 1 tasks of 100 ms need rack 7
    Then no worker looks slower than 1.1 times the usual

  Scenario: Runs outside of the rack that are reported after a new link are no faster either
    Given a site of two racks with a remote penalty of 3
    When a job of 2 tasks of 300 ms needs rack 0
    And 40 ms later the links of all racks break for 400 ms
    Then no worker looks faster than 0.9 times the usual

  Scenario: A job whose rack has no worker is refused when it would be late and had to wait
    Given a site of two racks with a remote penalty of 3
    When rack 0 is full for 150 ms
    And rack 1 is full for 150 ms
    And a job of 2 tasks of 200 ms needs rack 7
    Then it is refused within 5 ms

  Scenario: A deployment without a remote penalty decides exactly as before
    Then a load with racks gets the same workers as with the decisions before

  Scenario: Entries that coordinate do not all choose the same of equally good workers
    Given 8 equally free workers
    Then 12 entries that coordinate choose at least 4 of them
    And 12 entries that do not coordinate choose 1 of them

  Scenario: Entries that coordinate choose a worker with twice the room first
    Given 8 equally free workers, one of which has twice the room
    Then 12 entries that coordinate choose 1 of them
