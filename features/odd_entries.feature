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
