Feature: One clock type in milliseconds

  Scenario: A manual clock moves only when told to
    Given a manual clock at 1000 ms
    When the clock advances by 250 ms
    Then the clock reads 1250 ms
