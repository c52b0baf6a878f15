Feature: The command line

  Background:
    Given a job file "job.json" for the command line
      """
      {"tenant": "price-hold", "tasks": [{"service": "hold", "payload": {"part": 7}}]}
      """

  Scenario: A job is submitted with a fresh ticket and shown as a table
    Given a stand-in entry that answers
      | status | body                                                                                                                                                             |
      | 200    | {"tickets": ["t-1"]}                                                                                                                                             |
      | 200    | {"id": "t-1", "state": "failed", "reason": "deadline", "tasks": [{"outcome": "ran", "result": {"held": 7}}, {"outcome": "not_run", "error": "deadline passed"}]} |
    When the command line runs "submit job.json"
    Then the command line exits with 1 and prints
      """
      id t-1
      t-1 failed: deadline
      task  outcome  result
      0     ran      {"held": 7}
      1     not_run  deadline passed
      """
    And stand-in entry 1 received
      | request          | id  |
      | POST /v1/tickets |     |
      | POST /v1/jobs    | t-1 |

  Scenario: A lost connection sends the same submission to the next entry
    Given a stand-in entry that answers
      | status | body                 |
      | 200    | {"tickets": ["t-2"]} |
      | lost   |                      |
    And a stand-in entry that answers
      | status | body                                                                                  |
      | 200    | {"id": "t-2", "state": "complete", "tasks": [{"outcome": "ran", "result": [1.5, ""]}]} |
    When the command line runs "submit job.json"
    Then the command line exits with 0 and prints
      """
      id t-2
      t-2 complete
      task  outcome  result
      0     ran      [1.5, ""]
      """
    And stand-in entry 2 received
      | request       | id  |
      | POST /v1/jobs | t-2 |

  Scenario: A refusal after a lost answer has an unknown outcome
    Given a stand-in entry that answers
      | status | body |
      | lost   |      |
    And a stand-in entry that answers
      | status | body                                                                                                                         |
      | 503    | {"kind": "overloaded", "message": "the queue is full", "remedy": "come back later", "outcome": "request_not_run", "retry_after_ms": 700} |
    When the command line runs "submit job.json --id t-3"
    Then the command line exits with 2 and prints
      """
      id t-3
      the queue is full
      overloaded, unknown: come back later; the same id again tells what became of it
      come back in 700 ms
      """

  Scenario: A refusal is shown with its remedy
    Given a stand-in entry that answers
      | status | body                                                                                                            |
      | 429    | {"kind": "quota", "message": "price-hold is over its quota", "remedy": "submit less", "outcome": "not_run"} |
    When the command line runs "submit job.json --id t-4"
    Then the command line exits with 1 and prints
      """
      id t-4
      price-hold is over its quota
      quota, not_run: submit less
      """

  Scenario: A status waits until the job no longer runs
    Given a stand-in entry that answers
      | status | body                                |
      | 200    | {"id": "t-5", "state": "running"}   |
      | 200    | {"id": "t-5", "state": "complete"}  |
    When the command line runs "--json status t-5 --wait"
    Then the command line exits with 0 and prints
      """
      {"id": "t-5", "state": "complete", "reason": "", "tasks": []}
      """

  Scenario: A repeated command keeps its id, and a recorded one is not yet in force
    Given a stand-in entry that answers
      | status | body                                                                                   |
      | 200    | {"id": "c-1", "status": "recorded", "revision": 8, "lines": ["zone rennes drained"]}  |
    When the command line runs "run --id c-1 'drain zone rennes'"
    Then the command line exits with 2 and prints
      """
      id c-1
      zone rennes drained
      recorded at 8
      """
    And stand-in entry 1 received
      | request           | id  |
      | POST /v1/commands | c-1 |

  Scenario: The shell runs each line and ends with the worst status
    Given a stand-in entry that answers
      | status | body                                                                                                        |
      | 400    | {"kind": "syntax", "message": "zon isn't right here", "remedy": "did you mean zone?", "outcome": "not_run"} |
      | 200    | {"id": "c-2", "status": "in_force", "revision": 9, "lines": []}                                            |
    When the command line runs "shell" with the input
      """
      # Out for the evening.
      drain zon rennes

      drain zone rennes
      quit
      drain zone brest
      """
    Then the command line exits with 1 and prints
      """
      id ID
      zon isn't right here
      syntax, not_run: did you mean zone?
      id ID
      in_force at 9
      """

  Scenario: An unreadable answer has an unknown outcome
    Given a stand-in entry that answers
      | status | body                           |
      | 200    | {"id": "t-6", "state": 7}      |
      | 200    | <html>not an entry</html>      |
    When the command line runs "status t-6"
    Then the command line exits with 2 and prints
      """
      the entry's answer can't be read
      internal, unknown: check that --entry names an entry, and its release
      """

  Scenario: The check of settings prints every problem
    Given a job file "wrong.json5" for the command line
      """
      {
        role: "agent", name: "worker-01", zone: "brest", rack: "rack 1",
        cluster_key: "a key of the cluster",
        stream: "10.0.0.5:7100", http: "10.0.0.5:7200", announce: "127.0.0.1:7300",
        entries: {"entry-1": "10.0.0.1:70000"},
      }
      """
    When the command line runs "check wrong.json5"
    Then the command line exits with 1 and prints
      """
      place                         problem                     remedy
      wrong.json5: rack             "rack 1" isn't a name       write 1 to 63 letters, digits, dots or dashes
      wrong.json5: entries.entry-1  port 70000 is out of range  write a port from 1 to 65535
      """

  Scenario: A job file with a number that JSON can't carry is refused
    Given a job file "huge.json" for the command line
      """
      {"tasks": [1e999]}
      """
    When the command line runs "submit huge.json"
    Then the command line exits with 1 and prints
      """
      huge.json: 1e999 is too large; write it as a string
      bad_request, request_not_run: correct the JSON
      """

  Scenario: Every settings file of the examples passes the check
    When the command line checks the files of examples
    Then the command line exits with 0 and prints
      """
      28 files are right
      """
