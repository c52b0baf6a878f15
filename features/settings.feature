Feature: Settings are checked as a whole

  Scenario: A settings file with several mistakes shows them all
    Given the settings file "entry-1.json5"
      """
      // The first entry.
      {
        role: "entry",
        name: "entry-1",
        zone: "rennes",
        rak: "rack-1",
        cluster_key: "short",
        stream: "127.0.0.1:7100",
        http: "127.0.0.1:7100",
        entries: {"entry-1": "localhost:7100", "entry 2": "127.0.0.1:0"},
        store: {address: "10.0.0.9:2379", timeout_ms: 1},
        caller_tokens: {"agencies": "a token of agencies"},
        operator_tokens: {"duty": "a token of agencies"},
        limits: {windw_ms: 1000, permit_ms: 600, candidates: 1, max_jobs: "many"},
      }
      """
    Then the settings problems are
      """
      entry-1.json5: rak: no such setting; did you mean rack?
      entry-1.json5: rack: missing; add it (rack of the machine)
      entry-1.json5: cluster_key: a length of 5; write a string of 16 to 512 characters
      entry-1.json5: entries.entry-1: "localhost" isn't an IP number; write an IP number and a port, such as "10.0.0.1:7100"
      entry-1.json5: entries.entry 2: "entry 2" isn't a name; write 1 to 63 letters, digits, dots or dashes
      entry-1.json5: entries.entry 2: port 0 is out of range; write a port from 1 to 65535
      entry-1.json5: limits.windw_ms: no such setting; did you mean window_ms?
      entry-1.json5: limits.max_jobs: "many" isn't a whole number; write a whole number from 1 to 1000000
      entry-1.json5: limits.candidates: 1 is out of range; write a whole number from 2 to 64
      entry-1.json5: limits.permit_ms: 600 ms is less than two heartbeats of 1000 ms; raise permit_ms or lower heartbeat_ms
      entry-1.json5: store.address: "10.0.0.9:2379" isn't a URL; write one such as "http://10.0.0.9:2379"
      entry-1.json5: store.timeout_ms: 1 is out of range; write a whole number from 50 to 30000
      entry-1.json5: http: the address of stream too; give each its own port
      entry-1.json5: operator_tokens.duty: the same token as caller_tokens.agencies; give each its own
      """

  Scenario: An agent that could be reached from outside is refused
    Given the settings file "worker-01.json5"
      """
      {
        role: "agent", name: "worker-01", zone: "brest", rack: "rack-1",
        cluster_key: "a key of the cluster",
        stream: "10.0.0.5:7100", http: "10.0.0.5:7200", announce: "10.0.0.5:7300",
        entries: {"entry-1": "10.0.0.1:7100", "entry-2": "10.0.0.1:7100"},
        store: {address: "10.0.0.9:80"},
        log_level: "inof",
        limits: {permit_ms: 2000.5, heartbeat_ms: true, max_payload_bytes: 5000000},
      }
      """
    Then the settings problems are
      """
      worker-01.json5: store: a setting of role entry only; remove it
      worker-01.json5: log_level: "inof" isn't known; did you mean info? write one of debug, info, notice, warning, error
      worker-01.json5: limits.permit_ms: 2000.5 isn't a whole number; write a whole number from 200 to 4000
      worker-01.json5: limits.heartbeat_ms: true isn't a whole number; write a whole number from 50 to 2000
      worker-01.json5: limits.max_payload_bytes: 5000000 is more than max_body_bytes (4194304); lower it, or raise max_body_bytes
      worker-01.json5: announce: 10.0.0.5 can be reached from outside; write a loopback address, such as "127.0.0.1:7300"
      worker-01.json5: entries.entry-2: the address of entry-1 too; give each entry its own
      """

  Scenario: Broken JSON is shown with its line
    Given the settings file "entry-1.json5"
      """
      {
        role: "entry",
        name: ,
      }
      """
    Then the settings problems are
      """
      entry-1.json5: line 3: Unexpected "," at column 9; correct the JSON here
      """

  Scenario: A key given twice is refused
    Given the settings file "entry-1.json5"
      """
      {role: "entry", role: "agent"}
      """
    Then the settings problems are
      """
      entry-1.json5: Duplicate key "role" found in object; correct the JSON
      """

  Scenario: A missing file is named
    When the settings file "no-such-folder/entry-1.json5" is loaded
    Then the settings problems are
      """
      no-such-folder/entry-1.json5: can't be read: No such file or directory; check the path and rights
      """

  Scenario: Valid settings are read with their defaults
    Given the settings file "worker-01.json5"
      """
      {
        role: "agent", name: "worker-01", zone: "brest", rack: "rack-1",
        cluster_key: "a key of the cluster",
        stream: "[::1]:7100", http: "10.0.0.5:7200", announce: "127.0.0.1:0",
        entries: {"entry-1": "10.0.0.1:7100"},
        limits: {permit_ms: 3000},
      }
      """
    Then there are no settings problems
    And the settings have
      | setting             | value          |
      | log_level           | info           |
      | stream              | [::1]:7100     |
      | announce            | 127.0.0.1:0    |
      | metrics             | None           |
      | limits.permit_ms    | 3000           |
      | limits.window_ms    | 120000         |
      | limits.candidates   | 16             |
    And the text of the settings shows no secret

  Scenario: The reference page is current
    Then docs/SETTINGS.md is the rendered page of the settings

  Scenario: The example files are valid and as their script writes them
    Then every settings file under examples is valid and as generated
