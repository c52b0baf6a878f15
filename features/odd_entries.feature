Feature: One odd record costs only itself, wherever it comes from

  Another writer may leave anything under a key of the store, and a stranger may send
  anything to a port. It is refused as it is read, so that it ends no process, breaks no
  loop off, and is neither read nor sent on again and again.

  Background:
    Given errors are recorded

  # Guards against: a process that ends with signal 11 as it decodes (LOST).
  Scenario Outline: A stranger without the key ends no entry
    Given a platform site of 1 entries and 1 workers
    When entry 1 is started as a separate process
    And a stranger sends entry 1 messages that are nested <depth> deep
    Then the process still runs after 300 ms

    Examples:
      | depth |
      | 17    |
      | 400   |

  # Guards against: an agent that ends at each start, or starts nothing, by its copy.
  Scenario Outline: An odd copy of a worker's report is passed over
    Given a platform site of 1 entries and 1 workers
    When the copy of agent 0's worker has <field> <value>
    And agent 0 restarts
    Then agents reach entry 0 within 1500 ms
    And no loop has broken off
    And a client that submits 1 tasks of 4 cores for 50 ms gets 200

    Examples:
      | field      | value                 |
      | name       | 7                     |
      | name       | ["w-0"]               |
      | name       | "a\nb"                |
      | started_ms | "x"                   |
      | started_ms | -1                    |
      | started_ms | 18446744073709551615  |
      | service    | 3                     |
      | labels     | "a"                   |
      | labels     | [3]                   |
      | total      | "much"                |
      | total      | [1, 2, 3]             |
      | token      | "x"                   |
      | token      | 18446744073709551615  |
      | token      | null                  |
      | clock_ms   | "x"                   |
      | clock_ms   | NaN                   |
      | clock_ms   | Infinity              |
      | clock_ms   | -5                    |
      | crashes    | [7]                   |
      | crashes    | 3                     |
      | crashes    | messages 400 deep     |
      | total      | negative resources    |
      | total      | resources of texts    |

  Scenario: Random odd messages are refused, or are the same when they are encoded again
    Given 4000 odd messages for each of the seeds
    Then each is refused or comes out of the codec as it went in
