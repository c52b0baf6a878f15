Feature: A failed request is explained from its id and the logs alone

  Scenario: A refused request
    Given a platform site of 1 entries and 1 workers that logs
    When 600 ms pass
    And a client submits 4 tasks of 4 cores for 800 ms to entry 0 in the background
    And a client submits 8 tasks of 4 cores for 800 ms to entry 0
    Then the client gets 503
    And the timeline of the last request has "job answered" with "reason=no room in time"
    And the timeline has no gaps

  Scenario: A late request
    Given a platform site of 1 entries and 1 workers that logs
    And worker 0 of the platform takes 6 times as long for its tasks
    When a client submits 2 tasks of 4 cores for 200 ms to entry 0
    Then the client gets 200 completed
    And the timeline of the last request has "attempt ended" with "how=done"
    And the timeline of the last request has "job answered" with "state=completed"
    And the timeline has no gaps

  Scenario: A request that failed on a worker
    Given a platform site of 1 entries and 1 workers that logs
    And worker 0 of the platform fails all its tasks
    When a client submits 1 tasks of 4 cores for 50 ms to entry 0
    Then the client gets 200 failed
    And the timeline of the last request has "attempt ended" with "how=failed"
    And the timeline of the last request has "attempt repeated" with "after=failed"
    And the timeline has no gaps

  Scenario: What is missing from the logs is listed
    Given the log lines
      """
      {"time":"2026-01-01T12:00:00.010Z","name":"entry-1","event":"job taken","job":"00000000000000ab","tasks":1}
      not a log line
      {"time":"2026-01-01T12:00:00.020Z","name":"entry-1","event":"attempt sent","task":"00000000000000ab.0.0","run":1,"worker":"agent-2"}
      {"time":"2026-01-01T12:00:00.030Z","name":"entry-1","event":"store lost","dropped":7}
      {"time":"2026-01-01T12:00:00.040Z","name":"entry-1","event":"attempt repeated","task":"00000000000000ab.0.0","run":2}
      """
    When the request 00000000000000ab is explained
    Then the gaps of the timeline are
      """
      no line tells the answer: the entry was killed, or its log is missing
      attempt 00000000000000ab.0.0 run=1 has no end in the logs
      entry-1 dropped 7 lines before 'store lost'
      """
    And the command explains it from its standard input
