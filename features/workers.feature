Feature: A home lets go of the workers that no ticket can name any more

  Scenario Outline: A worker that has not been used for two windows
    Given a loopback cluster of 3 workers
    When a client submits a task of <run> ms there, and the home's clock stands <later> ms later
    Then the home knows <count> workers

    Examples:
      | run  | later  | count |
      | 1    | 0      | 3     |
      | 1    | 230000 | 3     |
      | 1    | 241000 | 0     |
      | 3000 | 241000 | 3     |
