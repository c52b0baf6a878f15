Feature: Clients hold a bounded part of a process, and who gives way is decided in one place

  Scenario Outline: For a new connection the request furthest from whole for longest gives way
    Given unfinished requests at 10000 ms
      | name     | missing | since_ms | held   |
      | newcomer | 1.0     | 9990     | 0      |
      | ordinary | 1.0     | 9900     | 300    |
      | stalled  | 0.1     | 2000     | 262000 |
      | silent   | 1.0     | 5000     | 0      |
      | chunked  | 0.5     | 4000     | 90000  |
    When room is made for a connection with a bound of <bound>
    Then <names> give way

    Examples: one of 32 connections at once, those that began within a second at last
      | bound | names                   |
      | 5     | silent                  |
      | 64    | silent, chunked         |
      | 320   | silent, chunked, stalled |

  Scenario: For memory the request gives way that has held most for longest
    Given unfinished requests at 10000 ms
      | name     | missing | since_ms | held   |
      | ordinary | 1.0     | 9990     | 300    |
      | old      | 0.5     | 1000     | 50000  |
      | large    | 0.1     | 1000     | 260000 |
      | new      | 0.5     | 9000     | 200000 |
    When their bound is 480000 bytes
    Then large give way
    When their bound is 200000 bytes
    Then large, old, new give way

  Scenario: Nothing gives way for memory below the bound
    Given unfinished requests at 10000 ms
      | name | missing | since_ms | held  |
      | old  | 0.5     | 1000     | 50000 |
    When their bound is 60000 bytes
    Then none give way

  Scenario: Input that takes long to parse waits, and short requests go first
    Given a pacer whose turns are 10 ms
    When in one turn input of these connections arrives
      | name    | large | ms |
      | bulk-1  | yes   | 8  |
      | bulk-2  | yes   | 8  |
      | bulk-3  | yes   | 8  |
      | short-1 | no    | 1  |
      | short-2 | no    | 1  |
    Then the turns parse
      | turn | names                    |
      | 1    | bulk-1 bulk-2            |
      | 2    | short-1 short-2 bulk-3   |

  Scenario Outline: The bounds follow from what the machine has
    When the bounds are computed for <memory> MB and <descriptors> descriptors
    Then there are <connections> connections and <unfinished> MB of unfinished requests

    Examples:
      | memory | descriptors | connections | unfinished |
      | 160    | 1638        | 938         | 22         |
      | 160    | 1000        | 600         | 22         |
      | 300    | 4100        | 2432        | 57         |
      | 552    | 8192        | 5120        | 120        |

  Scenario: Closed connections are logged once in ten seconds and all are counted
    Given the closures of a process
    When 500 connections are closed over 25 seconds
    Then 500 are counted and 3 lines are logged

  Scenario: Processes that dial at once get their links beside silent connections
    When 400 processes dial a listener at once, beside 300 silent connections
    Then all of them have a link

  Scenario: A connection without a place is closed without an answer, as its job is not known
    Given a listener with one place, on which a request is being served
    When another client connects and sends a request
    Then that client gets no answer, and the first one is answered
