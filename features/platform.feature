Feature: jujubeglade serves the users' platform over its published protocol

  Scenario: A client's job is executed and answered
    Given a platform site of 2 entries and 3 workers
    When a client submits 4 tasks of 4 cores for 50 ms to entry 0
    Then the client gets 200 completed
    And entry 0 is ready
    And no worker of the platform recorded a violation

  Scenario Outline: A request that can't be served is answered and starts no task
    Given a platform site of 1 entries and 1 workers
    When a client sends <method> <path> with <body>
    Then the client gets <status>
    And nothing was started

    Examples:
      | method | path                     | body                                                                  | status |
      | POST   | /stock/0123456789abcdef  | {                                                                     | 400    |
      | POST   | /stock/0123456789abcdef  | []                                                                    | 400    |
      | POST   | /stock/0123456789abcdef  | {"bestEffort": true}                                                  | 400    |
      | POST   | /stock/0123456789abcdef  | {"bestEffort": true, "steps": []}                                     | 400    |
      | POST   | /stock/0123456789abcdef  | {"bestEffort": true, "steps": [{"count": "4"}]}                       | 400    |
      | POST   | /stock/0123456789abcdef  | {"bestEffort": true, "steps": [{"count": 1, "cpu": -1}]}              | 400    |
      | POST   | /stock/0123456789abcdef  | {"bestEffort": true, "steps": [{"count": 1, "after": [0]}]}           | 400    |
      | POST   | /stock/0123456789abcdef  | {"bestEffort": true, "steps": [{"count": 100000}]}                    | 400    |
      | POST   | /stock/0123456789abcdef  | {"steps": [{"count": 1, "cpu": 1000}]}                                | 503    |
      | POST   | /stock/0123456789abcdef  | {"bestEffort": true, "steps": [{"count": 1, "gangScheduled": true}]}  | 503    |
      | POST   | /stock/0123456789abcdef  | {"bestEffort": true, "steps": [{"count": 1, "cpu": 99000}]}           | 200    |
      | POST   | /stock/not-an-id         | {}                                                                    | 400    |
      | POST   | /other/0123456789abcdef  | {}                                                                    | 404    |
      | GET    | /stock/0123456789abcdef  | {}                                                                    | 410    |
      | DELETE | /stock/0123456789abcdef  | {}                                                                    | 410    |
      | PUT    | /stock/0123456789abcdef  | {}                                                                    | 405    |
      | GET    | /stock/                  | {}                                                                    | 200    |

  Scenario Outline: An unknown field is named in the log and has no effect
    Given a platform site of 1 entries and 1 workers that logs
    When a client sends POST /stock/0123456789abcdef with <body>
    Then the client gets 200 completed
    And a log line of "fields ignored" names 0123456789abcdef and <names>

    Examples:
      | body                                                             | names         |
      | {"bestEffort": true, "spec": "1000 50", "steps": [{"cpu": 1000}], "colour": 3} | colour        |
      | {"bestEffort": true, "spec": "1000 50", "steps": [{"cpu": 1000, "colour": [1]}]} | steps.colour  |

  Scenario: A client timeout of any number of digits is taken
    Given a platform site of 1 entries and 1 workers
    When a client submits 1 tasks of 4 cores for 50 ms with a timeout of 400 digits
    Then the client gets 200 completed

  Scenario: A request with many unknown fields is logged on a short line
    Given a platform site of 1 entries and 1 workers that logs
    When a client sends a job with 5000 unknown fields
    Then the client gets 200 completed
    And no log line is longer than 2000 characters

  Scenario Outline: An unreadable report has no effect
    Given a platform site of 1 entries and 1 workers
    When worker 0 reports with <change>
    Then the report gets 400
    When a client submits 1 tasks of 4 cores for 50 ms to entry 0
    Then the client gets 200 completed

    Examples:
      | change                     |
      | {"state": "lost"}          |
      | {"state": 3}               |
      | {"capacity": null}         |
      | {"capacity": {"cpu": "x"}} |
      | {"labels": [1]}            |
      | {"sequence": "late"}       |

  Scenario: An entry without a configuration is not ready and refuses requests
    Given a platform site of 1 entries and 1 workers, not configured
    When a client submits 1 tasks of 4 cores for 50 ms to entry 0
    Then the client gets 503
    And entry 0 is not ready

  Scenario: A new configuration is in force at every entry
    Given a platform site of 2 entries and 2 workers
    When the operator moves the route to /parts/
    And a client sends GET /stock/ with {}
    Then the client gets 404
    When a client sends GET /parts/ with {}
    Then the client gets 200

  Scenario: A process that the store does not answer receives a change from its peers
    Given a platform site of 2 entries and 2 workers
    When the store stops answering entry 0
    And the operator moves the route to /parts/
    And a client sends GET /parts/ with {}
    Then the client gets 200

  Scenario: A process that the store does not answer receives a large configuration once, from one peer
    Given a platform site of 3 entries and 6 workers
    When the store stops answering entry 0
    And the operator adds 1844 routes and moves the route to /parts/
    Then entry 0 answers GET /parts/ with 200 within 2000 ms
    And processes have sent each other the routes 1 times

  Scenario: A large configuration is read from the store alone
    Given a platform site of 3 entries and 6 workers
    When the operator adds 1844 routes and moves the route to /parts/
    Then entry 0 answers GET /parts/ with 200 within 2000 ms
    And entry 1 answers GET /parts/ with 200 within 2000 ms
    And entry 2 answers GET /parts/ with 200 within 2000 ms
    And processes have sent each other the routes 0 times

  Scenario: A configuration that takes longer to transfer than the store's timeout is received
    Given a platform site of 1 entries and 1 workers
    When the store sends 160000 bytes a second
    And the operator adds 1844 routes and moves the route to /parts/
    Then entry 0 answers GET /parts/ with 200 within 7000 ms

  Scenario Outline: An agent outlasts answers of its worker that can't be read
    Given a platform site of 1 entries and 1 workers
    When worker 0 answers polls with <change> for 1200 ms
    Then agents reach entry 0 within 3000 ms
    And a client that submits 1 tasks of 4 cores for 50 ms gets 200

    Examples:
      | change                                |
      | {"running": [["no-task"]]}            |
      | {"running": [[1, 2]]}                 |
      | {"finished": [[1]]}                   |
      | {"finished": 3}                       |
      | {"born": "x"}                         |

  Scenario Outline: An entry outlasts a configuration that can't be read
    Given a platform site of 1 entries and 1 workers
    When another writer makes <text> the configuration
    Then entry 0 answers GET /stock/ with 200 within 1000 ms
    When the operator moves the route to /parts/
    Then entry 0 answers GET /parts/ with 200 within 2000 ms

    Examples:
      | text                                                          |
      | [1]                                                           |
      | {"version": 9, "routes": [], "services": [], "limits": 3}     |
      | {"version": 9, "routes": [3], "services": []}                 |

  Scenario: A process that starts during a store outage receives its state from its peers
    Given a platform site of 2 entries and 2 workers
    When the store fails for all processes
    And entry 0 restarts
    And a client submits 2 tasks of 4 cores for 50 ms to entry 0
    Then the client gets 200 completed

  Scenario: Changes are received after the store has dropped its history
    Given a platform site of 1 entries and 1 workers
    When the store drops its history
    And the operator moves the route to /parts/
    And a client sends GET /parts/ with {}
    Then the client gets 200

  Scenario: No task starts in an evacuated zone until the evacuation ends
    Given a platform site of 1 entries and 2 workers
    When the operator evacuates zone-0
    And a client submits 6 tasks of 4 cores for 50 ms to entry 0
    Then the client gets 200 completed
    And no task started in zone-0
    When the operator ends the evacuation of zone-0
    And a client submits 6 tasks of 4 cores for 50 ms to entry 0
    Then some task started in zone-0

  Scenario: No task starts on a draining worker
    Given a platform site of 1 entries and 2 workers
    When worker 0 drains
    And a client submits 6 tasks of 4 cores for 50 ms to entry 0
    Then the client gets 200 completed
    And no task started on worker 0

  Scenario: Open connections to the store stop answering while new ones work
    Given a platform site of 2 entries and 2 workers
    When every open connection to the store stops answering
    And the operator moves the route to /parts/
    Then entry 0 answers GET /parts/ with 200 within 3000 ms
    And entry 1 answers GET /parts/ with 200 within 3000 ms

  Scenario: A run is not cut short when open connections to its worker go silent
    Given a platform site of 1 entries and 1 workers
    When a client submits 16 tasks of 1 cores for 50 ms to entry 0
    And a client submits 1 tasks of 1 cores for 2000 ms to entry 0 and waits 200 ms
    And every open connection to worker 0 goes silent
    Then the waiting client gets 200
    And the task has run once

  Scenario: A task is stopped before its client submits it again though open connections to the worker are silent
    Given a platform site of 1 entries and 1 workers
    When a client submits 16 tasks of 1 cores for 50 ms to entry 0
    And a client submits 1 tasks of 1 cores for 5000 ms to entry 0 and waits 200 ms
    And every open connection to worker 0 goes silent
    And the client leaves
    Then no worker runs a task 1250 ms after the client has left

  Scenario Outline: An entry is registered and reached though the store's answers to its writes are lost
    Given a platform site of 2 entries and 2 workers
    When the store <fault>
    And entry 1 restarts
    Then entry 1 is registered within 5000 ms
    And agents reach entry 1 within 5000 ms

    Examples:
      | fault                                                    |
      | applies every 2nd change without an answer               |
      | applies every 2nd change 1500 ms late, without an answer |

  Scenario Outline: An unreadable key of an entry is ignored and the other keys are used
    Given a platform site of 1 entries and 1 workers
    When another writer puts <value> under an entry's key
    And entry 0 restarts
    Then agents reach entry 0 within 3000 ms
    And a client that submits 1 tasks of 4 cores for 50 ms gets 200

    Examples:
      | value        |
      | bytes ff fe  |
      | text nowhere |
      | text a:b     |
      | text :0      |

  Scenario: A restarted agent takes work before its worker's next report
    Given a platform site of 1 entries and 1 workers
    When the store has a copy of every worker
    And worker 0 stops sending reports
    And agent 0 restarts
    Then agents reach entry 0 within 1000 ms
    And a client that submits 1 tasks of 4 cores for 50 ms gets 200

  Scenario: A restarted agent's fencing token rises though its clock was set back
    Given a platform site of 1 entries and 1 workers
    When the store has a copy of every worker
    And agent 0 restarts after its clock was set back by 3600 s
    Then the worker of agent 0 gets calls with a higher token than before

  Scenario: A recalled worker without a report soon gets no more work
    Given a platform site of 1 entries and 1 workers
    When the store has a copy of every worker
    And worker 0 stops sending reports
    And agent 0 restarts
    And 2500 ms pass
    Then no agent accepts work from entry 0

  Scenario: The crashes in a copy of a worker count after a restart of all processes
    Given a platform site of 1 entries and 1 workers
    When the copy of agent 0's worker tells of two crashes under the next job
    And entry 0 restarts
    And agent 0 restarts
    And 700 ms pass
    And a client submits 1 tasks of 4 cores for 50 ms to entry 0
    Then the client gets 200 failed
    And no task started on worker 0

  Scenario: A draining worker is not recalled
    Given a platform site of 1 entries and 1 workers
    When the store has a copy of every worker
    And worker 0 drains
    And 700 ms pass
    And worker 0 stops sending reports
    And agent 0 restarts
    And 300 ms pass
    Then no agent accepts work from entry 0

  Scenario Outline: A copy that is unreadable or of another worker is ignored
    Given a platform site of 1 entries and 1 workers
    When the key of agent 0's worker contains <value>
    And agent 0 restarts
    Then agents reach entry 0 within 1500 ms
    And a client that submits 1 tasks of 4 cores for 50 ms gets 200

    Examples:
      | value                    |
      | bytes ff fe              |
      | text nothing             |
      | a copy of another worker |
      | a copy with unreadable crashes |

  Scenario: An entry registers again after its key was removed
    Given a platform site of 1 entries and 1 workers
    When the entries' keys expire in the store
    Then entry 0 is registered within 3000 ms

  Scenario: A process keeps running after SIGHUP and exits gracefully on SIGTERM
    Given a platform site of 1 entries and 1 workers
    When entry 1 runs as a separate process and gets SIGHUP
    Then the process still runs after 300 ms
    When the process gets SIGTERM
    Then the process exits with code 0 within 6000 ms

  Scenario: A process that gets SIGHUP before it has started keeps running
    Given a platform site of 1 entries and 1 workers
    When entry 1 is started as a separate process
    Then it ignores SIGHUP before it has imported its modules
    And the process still runs after 2000 ms

  Scenario: Only the adapter and the stand-ins use the platform's names
    Then no module of the product except the adapter and the stand-ins contains the platform's fields or calls
    And the adapter has fewer than 1500 lines
