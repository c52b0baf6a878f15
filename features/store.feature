Feature: The store interface, its driver and the stand-in

  Background:
    Given a stand-in store

  Scenario: Keys are written by comparison only
    When the store key "a" is swapped to "one" at revision 0
    And the store key "a" is swapped to "two" at revision 0
    Then the store answered "conflict, request_not_run"
    And the store key "a" has the value "one"
    And the store key "b" is at revision 0

  Scenario: A prefix is read in order, without any other key
    When the store keys "x/2 x/1 y/1 x" are written
    Then the store prefix "x/" has the keys "x/1 x/2"

  Scenario: A value above the size limit is not sent
    When a store value of 1000001 bytes is swapped
    Then the store answered "too_large, request_not_run"
    And the stand-in store counted 0 "txn"

  Scenario: A value at the size limit is reported whole by a watch
    Given a store watch of "big"
    When a store value of 1000000 bytes is swapped
    Then the store watch reports 1000000 bytes

  Scenario Outline: A failed write reports whether it may have taken effect
    Given the stand-in store is set to <fault>
    When the store key "a" is swapped to "one" at revision 0
    Then the store answered "<answer>"
    And after the faults the store key "a" has the value "<value>"

    Examples:
      | fault             | answer                   | value |
      | {"down":true}     | store, request_not_run   |       |
      | {"lose_answers":1}| store, unknown           | one   |
      | {"hang":true}     | store, unknown           | one   |
      | {"delay_ms":600}  | store, unknown           | one   |
      | {"delay_ms":20}   | ok                       | one   |

  Scenario: Open connections break when the store goes down
    When the store key "a" is swapped to "one" at revision 0
    And the stand-in store is set to {"down":true}
    And the store key "a" is swapped to "two" at revision 2
    And the stand-in store is set to {"down":false}
    Then the store key "a" has the value "one"

  Scenario: The keys of a lease are deleted when it expires
    Given a store lease of 60000 ms with the key "a"
    When the store lease is renewed
    Then the store answered "ok"
    When the stand-in store is set to {"lapse_leases":true}
    And the store lease is renewed
    Then the store answered "conflict, request_not_run"
    And the store key "a" is at revision 0

  Scenario: A waiting watch is counted as one call and reports deletions
    Given a store lease of 60000 ms with the key "a"
    And a store watch of "a"
    When the store lease is revoked
    Then the store watch reports a deletion of "a"
    And the stand-in store counted 1 "watch"

  Scenario: A watch from a revision reports every later change
    When the store key "a" is swapped to "one" at revision 0
    And a store watch of "a" begins at revision 2
    Then the store watch reports 3 bytes

  Scenario: A watch reports its end
    Given a store watch of "a"
    When the stand-in store is set to {"down":true}
    Then the store watch ends with "store, request_not_run"

  Scenario: An unknown driver is refused with the names of those that exist
    When a store is connected with the driver "paper"
    Then the store answered "settings, request_not_run"
    And the store remedy is "use one of: etcd, platform"

  Scenario: The stand-in runs as a separate process
    Given a stand-in store process
    When its control endpoint receives {"delay_ms":5}
    And the store key "a" is swapped to "one" at revision 0
    Then its control endpoint counts 1 "txn"
