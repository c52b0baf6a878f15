Feature: Audit records are compared with the upstreams' own logs

  Scenario Outline: Each false record is found, and no true one
    Given the audit records to compare
      | source | kind     | job | detail                      |
      | w-1/aa | opened   |     |                             |
      | w-1/aa | accepted | j1  | tasks=2                     |
      | w-1/aa | started  | j1  | attempts=0.1 last_ms=50     |
      | w-1/aa | <kind>   | j1  | <detail>                    |
      | w-1/aa | <end>    |     |                             |
    And the starts in the upstreams' logs
      | upstream | task | attempt |
      | w-1      | 0    | 1       |
      | <other>  | 1    | 1       |
    Then the comparison finds "<found>"

    Examples:
      | kind     | detail                        | end            | other | found                                       |
      | started  | attempts=1.1 last_ms=60       | closed_journal | w-1   |                                             |
      | mark     |                               | closed_journal | w-1   | untold: w-1: j1 task 1 attempt 1            |
      | mark     |                               | mark           | w-1   |                                             |
      | started  | attempts=1.1,7.1 last_ms=60   | closed_journal | w-1   | false_started: w-1/aa: j1 task 7 attempt 1  |
      | started  | attempts=1.1,7.1 last_ms=60   | mark           | w-1   |                                             |
      | rejected | attempts=1.1 last_ms=60       | mark           | w-1   | false_rejected: w-1/aa: j1 task 1 attempt 1 |
      | answered | ends=ran,not_run              | mark           | w-1   | false_not_run: w-1/aa: j1 task 1            |
      | answered | ends=ran,ran                  | mark           | w-1   |                                             |
      | answered | ends=ran,ran,ran              | mark           | w-1   | false_ran: w-1/aa: j1 task 2                |
      | closed   |                               | mark           | w-1   | started_closed: w-1/aa: j1                  |

  Scenario: The records of a whole site are true
    Given a loopback cluster of 4 workers
    When its clients submit 30 jobs by seed 7, cancelling some, while a zone is drained
    Then the site's records report every start, and no false one
