Feature: Upstreams announce, renew and leave

  Scenario: A new announcement of an upstream replaces its former lease
    Given an agent that accepts announcements of upstreams
    When the upstream posts /v1/announce {"service": "parts", "address": "http://127.0.0.1:9", "slots": 8, "connections": 64, "lease_ms": 3000}
    And the upstream posts /v1/announce {"service": "parts", "address": "http://127.0.0.1:9", "slots": 8, "connections": 64, "lease_ms": 3000}
    Then the agent offers 8 slots

  Scenario Outline: Tasks that an upstream reports beyond the agent's count take slots once reported twice
    Given an agent that accepts announcements of upstreams
    When the upstream posts /v1/announce {"service": "parts", "address": "http://127.0.0.1:9", "slots": 2, "connections": 64, "lease_ms": 3000}
    And the upstream renews with the reports <reports>
    Then the upstream has <state>

    Examples:
      | reports | state        |
      | 0       | a free slot  |
      | 2       | a free slot  |
      | 2 2     | no free slot |
      | 2 1     | a free slot  |
      | 2 2 0   | a free slot  |

  Scenario Outline: A wrong request is refused with its error and changes nothing
    Given an agent that accepts announcements of upstreams
    When the upstream posts <path> <body>
    Then the agent answers the upstream with <status>: <error>

    Examples:
      | path         | body                                  | status | error                                                                                 |
      | /v1/announce | {}                                    | 400    | body: the fields are not service, address, slots, connections, lease_ms [bad_request] |
      | /v1/announce | {"service": "parts", "address": "http://127.0.0.1:9", "slots": 1000000000000000000000000000000, "connections": 64, "lease_ms": 3000} | 400 | slots: slots is not of type int |
      | /v1/announce | {"service": "\ud800", "address": "http://127.0.0.1:9", "slots": 8, "connections": 64, "lease_ms": 3000} | 400 | service: service is not of type str |
      | /v1/renew    | {"lease": "none"}                     | 404    | the lease is not known; announce again                                                |
      | /v1/leave    | [1]                                   | 404    | the lease is not known; nothing is sent to it                                         |

  # Guards against: an agent that can't encode the load that it reports.
  Scenario: A count of running tasks that can't be computed with is refused
    Given an agent that accepts announcements of upstreams
    When the upstream posts /v1/announce {"service": "parts", "address": "http://127.0.0.1:9", "slots": 8, "connections": 64, "lease_ms": 3000}
    And the upstream renews with the reports 1000000000000000000000000000000
    Then the agent answers the upstream with 400: running is not a count

  # Guards against: sums of accepted counts that the peer refuses, and so a link lost.
  Scenario: The load of upstreams with the largest counts can be read by the entries
    Given an agent that accepts announcements of upstreams
    When the upstream posts /v1/announce {"service": "parts", "address": "http://127.0.0.1:9", "slots": 9007199254740992, "connections": 64, "lease_ms": 3000}
    And the upstream posts /v1/announce {"service": "parts", "address": "http://127.0.0.1:10", "slots": 9007199254740992, "connections": 64, "lease_ms": 3000}
    Then the agent offers 18014398509481984 slots
    And the entries can read its load

  # Guards against: an attempt that breaks off at an answer of its upstream.
  Scenario Outline: A time to wait that is no number of seconds counts as one
    When an upstream turns a task away with Retry-After <text>
    Then the agent waits <wait> ms

    Examples:
      | text   | wait  |
      | 7      | 7000  |
      | ²      | 1000  |
      | soon   | 1000  |
      | 999999999999999999999999 | 1000 |
