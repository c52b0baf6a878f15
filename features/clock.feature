Feature: Clocks count milliseconds

  Scenario: A manual clock moves only when it is advanced
    Given a manual clock at 1000 ms
    When the clock advances by 250 ms
    Then the clock reads 1250 ms
