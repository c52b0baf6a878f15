Feature: The answer to a cancelled job has the true outcome of each task

  Background:
    Given a loopback cluster of 3 workers

  Scenario Outline: A task that ends while its job is closed counts as started
    When a client submits a task of 3000 ms and cancels it <delay> ms later, 5 times
    Then the answers report exactly the tasks that no upstream started as not run

    Examples:
      | delay |
      | 0     |
      | 30    |

  Scenario: A task that no worker has accepted is not run
    When a client submits 80 tasks of 1000 ms and cancels them 100 ms later, 1 times
    Then the answers report exactly the tasks that no upstream started as not run
    And 56 tasks are answered as not run
