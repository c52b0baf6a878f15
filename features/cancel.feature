Feature: A cancelled job says truly what became of its tasks

  Background:
    Given a loopback cluster of 3 workers

  Scenario Outline: A task that ends while its job is being closed was started
    When a client submits a task of 3000 ms and cancels it <delay> ms later, 5 times
    Then no answer calls a task not run that an upstream has started

    Examples:
      | delay |
      | 0     |
      | 30    |

  Scenario: A task that no worker has taken is not run
    When a client submits 80 tasks of 1000 ms and cancels them 100 ms later, 1 times
    Then no answer calls a task not run that an upstream has started
    And 56 tasks are answered as not run
