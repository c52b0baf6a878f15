Feature: Nothing starts for a client that has left

  The system knows at once that a client has closed its connection; the entry reads that
  later, after the request. A client that has left submits its job again elsewhere, so
  what the entry starts for it runs twice at a time.

  # Guards against: an entry that stood still starts jobs whose clients have left (TWICE).
  Scenario Outline: A request whose client has left before it was read starts no task
    Given a platform site of 1 entries and 2 workers
    When 40 clients send a job on a connection that is <connection> and <leaves> while the entry stands still
    Then no task starts within 500 ms
    And a client that submits 3 tasks of 1 cores for 30 ms gets 200

    Examples:
      | connection  | leaves                           |
      | new         | closes it                        |
      | new         | resets it                        |
      | new         | closes it behind another request |
      | open before | closes it                        |
      | open before | resets it                        |
      | open before | closes it behind another request |

  Scenario Outline: A request whose client has stayed is served though the entry stood still
    Given a platform site of 1 entries and 2 workers
    When a client that stays sends a job on a connection that is <connection> while the entry stands still
    Then the client that stayed is answered with a completed job

    Examples:
      | connection  |
      | new         |
      | open before |
