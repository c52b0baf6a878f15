Feature: Clients that send without end, or almost whole, and stay open take no process down

  The process is that of the smallest machine in service: an entry has 160 MB and 1,638
  descriptors, an agent 168 MB and 4,096. Of the descriptors 200 are for files. Nothing
  else depends on the speed of the machine: the process lives, its memory, with the bytes
  that it has received and not read, stays below that of its machine, so do its
  descriptors, and an ordinary request is answered while the clients stay, and when they
  have gone. The scenarios run one at a time, apart from other load (`features.run`).

  Scenario Outline: Clients of an entry
    Given a platform site of processes on the smallest machines
    When <count> clients of kind <kind> connect to the listener clients of entry-0
    Then the process lives within the memory and the descriptors of its machine
    And an ordinary job is completed and the entry is ready
    When these clients have gone
    Then an ordinary job is completed and the entry is ready
    And the process lives within the memory and the descriptors of its machine

    Examples:
      | count | kind                    |
      | 1700  | silent                  |
      | 1700  | idle                    |
      | 1000  | whole-body              |
      | 1000  | body-in-pieces          |
      | 1000  | large-chunks            |
      | 600   | tiny-chunks             |
      | 1000  | endless-chunk-extension |
      | 500   | endless-head            |
      | 500   | large-head              |
      | 1700  | endless-line            |
      | 1700  | empty-lines             |
      | 200   | many-steps              |
      | 200   | many-tasks              |
      | 200   | compressed-body         |
      | 500   | body-behind-request     |
      | 100   | unread-answers          |

  Scenario Outline: Clients of the other listeners of a platform site
    Given a platform site of processes on the smallest machines
    When <count> clients of kind <kind> connect to the listener <listener> of <process>
    Then the process lives within the memory and the descriptors of its machine
    And an ordinary job is completed and the entry is ready
    When these clients have gone
    Then an ordinary job is completed and the entry is ready
    And the process lives within the memory and the descriptors of its machine

    Examples:
      | count | kind         | listener  | process |
      | 1700  | silent       | readiness | entry-0 |
      | 500   | large-head   | readiness | entry-0 |
      | 1700  | silent       | stream    | entry-0 |
      | 1000  | whole-body   | stream    | entry-0 |
      | 1700  | silent       | metrics   | entry-0 |
      | 4200  | silent       | control   | agent-0 |
      | 100   | whole-report | control   | agent-0 |
      | 4200  | silent       | metrics   | agent-0 |

  Scenario Outline: Clients of an entry with tickets and of its agent
    Given a cluster of processes on the smallest machines
    When <count> clients of kind <kind> connect to the listener <listener> of <process>
    Then the process lives within the memory and the descriptors of its machine
    And an ordinary job is completed and the entry is ready
    When these clients have gone
    Then an ordinary job is completed and the entry is ready
    And the process lives within the memory and the descriptors of its machine

    Examples:
      | count | kind               | listener | process   |
      | 1700  | silent             | http     | entry-1   |
      | 200   | large-job          | http     | entry-1   |
      | 500   | large-head         | http     | entry-1   |
      | 1700  | empty-lines        | http     | entry-1   |
      | 1700  | silent             | stream   | entry-1   |
      | 4200  | silent             | http     | worker-01 |
      | 4200  | silent             | stream   | worker-01 |
      | 200   | large-announcement | announce | worker-01 |

  Scenario Outline: A request inside the limits is served in calm
    Given a platform site of processes on the smallest machines
    When one client sends the largest body <how>
    Then it is answered with a completed job

    Examples:
      | how                          |
      | at once                      |
      | in pieces with pauses        |
      | in chunks of 65536 bytes     |
      | in chunks of 1 byte          |

  Scenario: The job with the most tasks is accepted in calm
    Given a platform site of processes on the smallest machines
    When one client submits a job of 10000 steps without fields
    Then it is answered with a completed job
