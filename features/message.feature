Feature: Messages between builds that know different trailing fields

  Scenario: A trailing field that has its default is not sent
    Given a message type of build 2 with a trailing field
    When build 2 sends it with the default
    Then build 1, which does not know the field, reads it

  Scenario: A trailing field of a newer build is dropped
    Given a message type of build 2 with a trailing field
    When build 2 sends it with a value of its own
    Then build 1, which does not know the field, reads it

  Scenario: A message of an older build gets the default
    Given a message type of build 2 with a trailing field
    When build 1 sends it
    Then build 2 reads the default

  Scenario: A message that lacks a field without a default is refused
    When a Halt without its run arrives
    Then it is refused with a remedy
