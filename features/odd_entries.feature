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

  # Guards against: connections of strangers that are kept open after an error.
  Scenario Outline: A stranger's odd first message costs only its connection
    Given a platform site of 1 entries and 1 workers
    When a stranger sends entry 0 a first message with <field> <value>
    Then entry 0 closes that connection
    And no loop has broken off

    Examples:
      | field    | value           |
      | version  | "x"             |
      | version  | null            |
      | identity | "x"             |
      | identity | 7               |
      | nonce    | "x"             |
      | nonce    | null            |

  # Guards against: a link's reader that breaks off at what its handler doesn't expect.
  Scenario Outline: What a peer with the key sends and nobody expects costs only its link
    Given a platform site of 1 entries and 1 workers
    When a peer with the key sends entry 0 <what>
    Then entry 0 closes that connection
    And no loop has broken off
    And a client that submits 1 tasks of 4 cores for 50 ms gets 200

    Examples:
      | what                     |
      | a number                 |
      | a message for agents     |
      | a message of a handshake |

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
      | total      | negative resources    |
      | total      | resources of texts    |

  Scenario: A copy of a worker's report that is nested too deep is passed over
    Given a platform site of 1 entries and 1 workers
    When the copy of agent 0's worker is messages that are nested 400 deep
    And agent 0 restarts
    Then agents reach entry 0 within 1500 ms
    And no loop has broken off
    And a client that submits 1 tasks of 4 cores for 50 ms gets 200

  # Guards against: an agent that can't encode what it announces.
  Scenario Outline: An odd report of a worker is refused and the next one is used
    Given a platform site of 1 entries and 1 workers
    When worker 0 reports with <change>
    Then the report gets 400
    And no loop has broken off
    When a client submits 1 tasks of 4 cores for 50 ms to entry 0
    Then the client gets 200 completed

    Examples:
      | change                                                              |
      | {"capacity": {"cpu": 1e30, "requestedMemoryMb": 1}}                 |
      | {"capacity": {"cpu": 1000000000000000000000000000000, "requestedMemoryMb": 1}} |
      | {"capacity": {"cpu": 16000, "requestedMemoryMb": 9007199254740993}} |
      | {"capacity": {"cpu": -1, "requestedMemoryMb": 1}}                   |
      | {"capacity": {"cpu": true, "requestedMemoryMb": 1}}                 |
      | {"service": "\ud800"}                                               |
      | {"labels": ["\udfff"]}                                              |
      | {"born": 1000000000000000000000000000000}                           |
      | {"sequence": 1000000000000000000000000000000}                       |

  Scenario: A report under an id that is no part of a header is refused
    Given a platform site of 1 entries and 1 workers
    When a report arrives under the id a%0Ab
    Then the report gets 400
    And no loop has broken off
    And a client that submits 1 tasks of 4 cores for 50 ms gets 200

  # Guards against: a round of the scheduler that breaks off at one job.
  Scenario Outline: An odd submission is refused and others are served
    Given a platform site of 1 entries and 1 workers
    When a client sends POST /stock/0123456789abcdef with <body>
    Then the client gets 400
    And no loop has broken off
    And a client that submits 1 tasks of 4 cores for 50 ms gets 200

    Examples:
      | body                                                                                                |
      | {"bestEffort": true, "spec": "\ud800", "steps": [{"cpu": 1}]}                                       |
      | {"bestEffort": true, "steps": [{"cpu": 1000000000000000000000000000000}]}                           |
      | {"bestEffort": true, "steps": [{"cpu": 1, "requestedMemoryMb": 9007199254740993}]}                  |
      | {"bestEffort": true, "steps": [{"cpu": 1, "estimatedRuntimeMs": 1000000000000000000000000000000}]}  |
      | {"bestEffort": true, "steps": [{"cpu": 1, "requirements": "\ud800"}]}                               |
      | {"bestEffort": true, "steps": [{"cpu": 1, "affinity": "\ud800"}]}                                   |
      | {"bestEffort": true, "steps": [{"cpu": 1, "antiAffinity": 1000000000000000000000000000000}]}        |

  # Guards against: checks that refuse what an entry computes from accepted values.
  Scenario: The largest estimates that are accepted cost no link while their job waits
    Given a platform site of 1 entries and 1 workers
    When a client submits 1 tasks of 16 cores for 600 ms to entry 0 and waits 100 ms
    And a client that goes on waiting sends {"bestEffort": true, "spec": "1000 30", "steps": [{"cpu": 16000, "estimatedRuntimeMs": 9007199254740992}, {"cpu": 1, "estimatedRuntimeMs": 9007199254740992, "after": [0]}, {"cpu": 1, "estimatedRuntimeMs": 9007199254740992, "after": [1]}]}
    And 300 ms pass
    Then no link is lost
    And the waiting client gets 200

  Scenario Outline: An odd answer of a worker costs no more than itself
    Given a platform site of 1 entries and 1 workers
    When worker 0 answers polls with <change> for 600 ms
    Then no loop has broken off
    And agents reach entry 0 within 3000 ms
    And a client that submits 1 tasks of 4 cores for 50 ms gets 200

    Examples:
      | change                                                                            |
      | {"running": [["0123456789abcdef.0.0.0", [], "", 100]]}                            |
      | {"running": [["0123456789abcdef.0.0.99999999999999999999", 1, "", 100]]}          |
      | {"finished": [["x", "0123456789abcdef.0.0.0", 1, "done", ""]]}                    |
      | {"finished": [[1000000000000000000000000000000, "0123456789abcdef.0.0.0", 1, "done", ""]]} |
      | {"finished": [[1, "0123456789abcdef.0.0.0", 1, ["done"], ""]]}                    |
      | {"clockMs": "x"}                                                                  |
      | {"clockMs": 1000000000000000000000000000000}                                      |
      | {"clockMs": null}                                                                 |

  # Guards against: an attempt that never ends, as its start's answer can't be read.
  Scenario Outline: An odd answer to a start counts as a refusal
    Given a platform site of 1 entries and 1 workers
    When worker 0 refuses the next start with <body>
    And a client submits 1 tasks of 4 cores for 50 ms to entry 0
    Then the client gets 200 completed
    And no loop has broken off

    Examples:
      | body                                        |
      | {"clockMs": 5, "reason": ["fence"]}         |
      | {"clockMs": 5, "reason": {"x": 1}}          |
      | {"clockMs": "x", "reason": "room"}          |
      | {"reason": 7}                               |

  Scenario Outline: An odd configuration is passed over
    Given a platform site of 1 entries and 1 workers
    When another writer makes <text> the configuration
    Then entry 0 answers GET /stock/ with 200 within 1000 ms
    And no loop has broken off
    When the operator moves the route to /parts/
    Then entry 0 answers GET /parts/ with 200 within 2000 ms

    Examples:
      | text                                                                                             |
      | {"version": 1000000000000000000000000000000, "routes": [], "services": []}                       |
      | {"version": 9, "routes": [], "services": [{"name": "\ud800"}]}                                   |
      | {"version": 9, "routes": [{"name": "r", "host": "h", "prefix": "/", "service": "s", "targetLatencyMs": Infinity}], "services": []} |
      | {"version": 9, "routes": [{"name": "r", "host": "h", "prefix": "/", "service": "s", "slackFactor": 1e300}], "services": []} |

  # Guards against: an entry of another writer that is read again at every change.
  Scenario Outline: An odd entry is read once, however often others change
    Given a platform site of 1 entries and 1 workers
    When another writer leaves <text> under <key>
    And the operator evacuates zone-0
    And the operator ends the evacuation of zone-0
    And another writer leaves 127.0.0.9:1 under jujubeglade/entries/other
    And another writer leaves 127.0.0.9:2 under jujubeglade/entries/other
    Then each process has logged "<event>" once at most
    And some process has logged "<event>"

    Examples:
      | text             | key                     | event                    |
      | [1]              | op/config               | configuration unreadable |
      | 127.0.0.1:70000  | jujubeglade/entries/odd | registration unreadable  |

  Scenario: Evacuations under odd keys leave the others in force
    When the evacuations of these keys are read: op/evacuate/\ud800, op/evacuate/zone-1
    Then the evacuated zones are zone-1
    And a peer can read these evacuations

  Scenario Outline: An odd page of the store is an error of the store
    When the store answers a page with <body>
    Then the page is refused

    Examples:
      | body                                                            |
      | {"items": ["x"], "at": 1, "hasMore": false}                     |
      | {"items": [{"key": "a", "revision": "x"}], "at": 1}             |
      | {"items": [{"key": "a", "value": "?", "revision": 1}], "at": 1} |
      | {"items": 3, "at": 1, "hasMore": false}                         |

  Scenario Outline: An odd value under the id of a command is another writer's
    When the key of a command's id holds <value>
    Then the id is refused with the remedy: use a new id for a new command

    Examples:
      | value                  |
      | 7                      |
      | [1]                    |
      | {"x": 1}               |
      | nothing                |
      | lists 100000 deep      |

  Scenario: A configuration of a peer that unpacks to more than any has is refused
    When a peer answers with 200 MB of zeros, compressed
    Then the configuration of the peer is refused, and takes less than 64 MB

  Scenario: A request whose host is no text is answered
    Given a platform site of 1 entries and 1 workers
    When a client sends bytes that name the host ff fe
    Then it gets an answer
    And a client that submits 1 tasks of 4 cores for 50 ms gets 200

  Scenario: Random odd messages are refused, or are the same when they are encoded again
    Given 4000 odd messages for each of the seeds
    Then each is refused or comes out of the codec as it went in

  Scenario: Random odd bodies are refused, or what they lead to can be sent on
    Given 1000 odd bodies of each kind for each of the seeds
    Then each is refused or what it leads to can be encoded
