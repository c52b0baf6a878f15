Feature: Scarce room goes to the entries that need it soonest

  The agent's announcer is real, its links are fakes, and time is virtual. Needs are
  written OWNER:MS; an owner without one needs no room. Offers count as such only where
  the entries coordinate.

  Scenario: Room that an owner declines is offered to the next owner at once
    Given an agent with 8000 free of owners a:50 b:200 c:400 d
    When an attempt of d ends
    Then the agent has shown room to a
    When a declines
    Then the agent has shown room to a b
    When b declines
    Then the agent has shown room to a b c

  Scenario: Without coordination, declined room waits for the next announcement
    Given an agent that doesn't coordinate with 8000 free of owners a:50 b:200 c:400 d
    When an attempt of d ends
    And a declines
    Then the agent has shown room to a
    When 50 ms go by at the agent
    Then the agent has shown room to a a b c d

  Scenario: Room offered to an owner that never answers goes to the next one
    Given an agent with 8000 free of owners a:50 b:200 c:400 d
    When an attempt of d ends
    And 8 ms go by at the agent
    Then the agent has shown room to a
    When 4 ms go by at the agent
    Then the agent has shown room to a b
    When 10 ms go by at the agent
    Then the agent has shown room to a b c

  Scenario: Room offered to an owner that dies goes to the next one
    Given an agent with 8000 free of owners a:50 b:200 c:400 d
    When an attempt of d ends
    And the link of a closes
    And 12 ms go by at the agent
    Then the agent has shown room to a b

  Scenario: Owners that decline in turn are asked once for each freed room
    Given an agent with 8000 free of owners a:50 b:200 d
    When an attempt of d ends
    And a declines
    And b declines
    And a needs room by 60 ms
    And a declines
    And 20 ms go by at the agent
    Then the agent has shown room to a b

  Scenario: An owner of the build before, which doesn't decline, keeps no room idle
    Given an agent with 8000 free of owners a:50 d
    When an attempt of d ends
    And 200 ms go by at the agent
    Then the agent has last shown room to each of a d

  Scenario: Room that is held for one owner isn't shown to another one
    Given an agent with 8000 free of owners a:50 b:200 d
    When an attempt of d ends
    And the agent refuses an attempt of b
    Then the agent has shown room to a
    When a declines
    Then the agent has shown room to a b

  Scenario: Room that is held for one owner isn't shown to one that has told of no need
    Given an agent with 8000 free of owners a:50 c d
    When an attempt of d ends
    And the agent refuses an attempt of c
    Then the agent has shown room to a
    When 12 ms go by at the agent
    And the agent refuses an attempt of c
    Then the agent has shown room to a c

  Scenario: A new need gets free room without waiting for an announcement
    Given an agent with 8000 free of owners a b c d
    When b needs room by 30 ms
    Then the agent has shown room to b

  Scenario: A need that a share would not hold is offered all free room
    Given an agent with 6400 free of owners a b c d
    And tasks of 1600 on average
    When 45 ms go by after a change of the room
    Then the agent has last shown 3200 free to a and 0 free to d
    When d needs room by 30 ms
    Then the agent has last shown 3200 free to a and 6400 free to d

  Scenario: An operator sees in metrics and in few lines why room was offered
    Given an agent with 8000 free of owners a:50 b:200 c:400 d
    And the log is recorded
    When 20 attempts of d end, 10 ms apart, and a declines after each
    Then the agent has counted 20 offers as freed and 20 as declined
    And the log has 1 line "room offered"
    And the log has "room offered" with cause "declined"
    And the log has "room offered" with owner "b"

  Scenario Outline: Room is divided when it is less than all owners might take
    Then of <free> free and tasks of <task> on average, <owners> owners are shown <shares> shares

    Examples:
      | free  | task | owners | shares |
      | 16000 | 1600 | 12     | 5      |
      | 48000 | 1600 | 12     | 12     |
      | 900   | 1600 | 12     | 1      |
      | 16000 | 0    | 12     | 12     |

  Scenario: Owners get shares of scarce room in turn
    Given an agent with 6400 free of owners a b c d
    And tasks of 1600 on average
    When 45 ms go by after a change of the room
    Then the agent has shown room to a b
    When 45 ms go by after a change of the room
    Then the agent has shown room to a b c d

  Scenario Outline: An entry answers room that it needs later than its agent knows
    Given an entry whose agent knows a need by <known> ms
    When its need is by <present> ms and it receives <free> free
    Then it sends its agent <beats> heartbeats
    And it counts on <left> free there

    Examples:
      | known | present | free | beats | left |
      | 50    | inf     | 8000 | 1     | 8000 |
      | 50    | 200     | 8000 | 1     | 0    |
      | 50    | 60      | 8000 | 0     | 0    |
      | 50    | inf     | 0    | 0     | 0    |
      | inf   | inf     | 8000 | 0     | 8000 |

  Scenario: An entry below the threshold answers no room, and counts on what it has
    Given an entry below the threshold whose agent knows a need by 50 ms
    When its need is by inf ms and it receives 8000 free
    Then it sends its agent 0 heartbeats
    And it counts on 8000 free there

  Scenario: An entry below the threshold tells all agents of its need
    Given an entry below the threshold with 34 agents, which know of no need
    When its need is by 30 ms and a round ends
    Then it sends its agents 34 heartbeats

  Scenario: An entry with urgent work tells some agents at once
    Given an entry with 34 agents, which know of no need
    When its need is by 30 ms and a round ends
    Then it sends its agents 10 heartbeats
    When its need is by 30 ms and a round ends
    Then it sends its agents 10 heartbeats

  Scenario: Callers of competing entries are served better where these coordinate
    When 12 entries compete for 12 workers, with and without coordination
    Then coordination raises the share in time of checks by at least 0.05
    And it lowers the share of starts that are refused for room by at least 0.1
    And it sends at most 1.1 times the messages
    And no worker recorded a violation

  Scenario: Room that is shown to none still counts in the forecasts of an entry
    Given an entry whose agent knows a need by 50 ms
    When it receives 8000 free, of which 8000 are withheld
    Then it counts on 0 free there
    And its forecasts count 8000 free there

  Scenario Outline: Below the threshold an agent and its entries send the same messages
    When 4 entries that coordinate from <threshold> on share a worker
    Then they send <messages> messages as without coordination

    Examples:
      | threshold | messages      |
      | 5         | the same      |
      | 4         | not the same  |

  Scenario: A worker that accepts again is offered to one of those that wait
    Given an agent with 8000 free of owners a:50 b:200 c d
    And the worker accepts nothing
    When a needs room by 40 ms
    And 200 ms go by after a change of the room
    And the worker accepts attempts
    And 5 ms go by after a change of the state
    Then the agent has shown room to a
    When 12 ms go by at the agent
    Then the agent has shown room to a b

  Scenario: Shares of scarce room go to owners that can be reached
    Given an agent with 3200 free of owners a b c d
    And tasks of 1600 on average
    And the link of a closes
    When 45 ms go by after a change of the room
    Then the agent has shown room to b
    When 45 ms go by after a change of the room
    Then the agent has shown room to b c

  Scenario: An owner that never answers isn't waited for anew with each ended attempt
    Given an agent with 8000 free of owners a:50 b:200 d
    When an attempt of d ends
    And 6 ms go by at the agent
    And an attempt of d ends
    And 6 ms go by at the agent
    Then the agent has shown room to a a b

  Scenario: A repeated need that took longer to arrive is not a decline
    Given an agent with 8000 free of owners a:50 b:200 d
    When an attempt of d ends
    And 4 ms go by at the agent
    And a needs room by 47 ms
    Then the agent has shown room to a

  Scenario: An owner that was asked before is offered room for more urgent work
    Given an agent with 8000 free of owners d x y z a:50 b:200
    And tasks of 4000 on average
    When an attempt of d ends
    And a declines
    And b declines
    And 70 ms go by at the agent
    Then the agent has shown room to a b d
    When a needs room by 60 ms
    Then the agent has shown room to a b d a

  Scenario: Nothing is withheld of a worker that has shrunk below what it runs
    Given an agent with -500 free of owners a:50 d
    When the agent refuses an attempt of d
    Then the agent has last shown -500 free to d

  Scenario Outline: A share of scarce room is shown first to the owner that needs it soonest
    Then of owners a b:50 c:20 d, after <turn> shares, the order is <order>

    Examples:
      | turn | order   |
      | 0    | c b a d |
      | 1    | c b d a |
      | 2    | c b a d |
