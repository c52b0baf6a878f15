Feature: The core protocol is model checked
  Each specification holds within small bounds, and each mechanism is needed: without it
  the checker finds a counterexample. `make check-model` checks larger bounds.

  Scenario Outline: Every property of <specification> holds in every state
    When the model checks the small bounds of "<specification>"
    Then the model is exhaustive and every property holds

    Examples:
      | specification |
      | ownership     |
      | drain         |
      | commands      |
      | leave         |
      | direct        |
      | resubmission  |
      | late_calls    |
      | crashing      |
      | shrinking     |

  Scenario Outline: The states of <specification> include all its witnesses
    When the model searches for the witnesses of "<specification>"
    Then the model reaches every witness

    Examples:
      | specification |
      | ownership     |
      | drain         |
      | commands      |
      | leave         |
      | direct        |
      | resubmission  |
      | late_calls    |
      | crashing      |
      | shrinking     |

  Scenario Outline: <specification> can reach its goal from every state
    When the model checks the progress of "<specification>"
    Then the model is exhaustive and every property holds

    Examples:
      | specification |
      | ownership     |
      | commands      |
      | leave         |
      | direct        |
      | resubmission  |
      | late_calls    |
      | crashing      |
      | shrinking     |

  Scenario: Permits are granted while the store is down for all entries
    When the model checks the progress of "drain" in an outage
    Then the model is exhaustive and every property holds

  Scenario Outline: A property of <specification> is violated if <mutation>
    When the model checks "<specification>" where "<mutation>"
    Then the model finds "<property>" violated in <steps> steps

    Examples: Ownership
      | specification | mutation | property | steps |
      | ownership | a refused attempt may start later (no tombstone) | at most one start | 8 |
      | ownership | a successor places without the answers of all candidates | at most one start | 8 |
      | ownership | a claim does not raise the fence | at most one start | 10 |
      | ownership | an attempt below the fence is accepted | at most one start | 10 |
      | ownership | a close below the fence is accepted | not_run is true | 10 |
      | ownership | a restarted agent answers for its earlier incarnation | at most one start | 7 |
      | ownership | the next attempt is placed after a timeout | at most one start | 7 |
      | ownership | the home places the task on itself | at most one start | 8 |
      | ownership | not_run is answered without a close | not_run is true | 9 |
      | ownership | a claim's answer omits a failed attempt | not_run is true | 11 |
      | ownership | a candidate ignores its own close of the job | not_run is true | 10 |

    Examples: Drain
      | specification | mutation | property | steps |
      | drain | a drain is accepted without a majority | no start after the drain is in force | 11 |
      | drain | the writer counts earlier acknowledgements | no start after the drain is in force | 21 |
      | drain | the vote of a restarted entry counts | no start after the drain is in force | 16 |
      | drain | restarted entries rejoin by each other's votes | no start after the drain is in force | 18 |
      | drain | a restarted entry rejoins by one vote | no start after the drain is in force | 16 |
      | drain | a permit's lifetime counts from the answer | no start after the drain is in force | 15 |
      | drain | an entry's permits count from the end of a confirmation | no start after the drain is in force | 17 |
      | drain | the upstream has no Start-By check | no start after the drain is in force | 15 |
      | drain | a drain is in force once it is accepted | no start after the drain is in force | 14 |
      | drain | an agent acknowledges while a start is in flight | no start after the drain is in force | 18 |
      | drain | an agent's revision may decrease | a revision never reverts | 12 |

    Examples: Commands
      | specification | mutation | property | steps |
      | commands | a retry carries a new id | a command id takes effect once | 6 |
      | commands | after a lost race the change is applied again | a command id takes effect once | 9 |
      | commands | a swap does not compare | a command id takes effect once | 6 |
      | commands | a lost answer is reported as refused | refused is true | 4 |
      | commands | a retry after an unknown outcome is reported as refused | refused is true | 6 |
      | commands | a swap is reported as accepted without its answer | accepted is true | 3 |

    Examples: Leave
      | specification | mutation | property | steps |
      | leave | the agent accepts tasks for a leaving upstream | no task arrives after the leave | 5 |
      | leave | queued tasks are started after the leave | no task arrives after the leave | 5 |
      | leave | a leave is acknowledged while starts are in flight | no task arrives after the leave | 5 |
      | leave | a late renewal reopens the lease | no task arrives after the leave | 6 |
      | leave | the upstream exits while tasks run | no request is cut | 6 |
      | leave | the upstream exits before the acknowledgement | no request is cut | 5 |

    Examples: Direct
      | specification | mutation | property | steps |
      | direct | a restarted agent does not wait for the worker's list | no worker runs more than its room | 7 |
      | direct | a lost answer does not raise the token | no task runs twice at one time | 6 |
      | direct | a start without an answer counts as refused | no task runs twice at one time | 5 |
      | direct | a start does not expire | no task runs twice at one time | 8 |
      | direct | an owner places again without waiting for the lease | no task runs twice at one time | 6 |
      | direct | an owner's wait does not allow for a slow clock | no task runs twice at one time | 8 |
      | direct | an agent keeps the tasks of a silent owner running | no task runs twice at one time | 8 |
      | direct | the time of a freeze does not count as silence | no task runs twice at one time | 11 |
      | direct | room is free as soon as the stop is sent | no worker runs more than its room | 5 |

    Examples: Resubmission
      | specification | mutation | property | steps |
      | resubmission | an agent forgets the attempts of an owner that it drops | no task runs twice at one time | 7 |
      | resubmission | an owner does not repeat its halts on a new link | no task runs twice at one time | 12 |
      | resubmission | the lease outlives the client's wait | no task runs twice at one time | 9 |
      | resubmission | the lease outlives the owner's wait, the shorter one | no task runs twice at one time | 15 |
      | resubmission | a Begin that is read late proves that its owner is alive | no task runs twice at one time | 10 |
      | resubmission | a halt moves the limit of the lease | no task runs twice at one time | 10 |
      | resubmission | an owner vouches for clients that it has not looked at | no task runs twice at one time | 12 |
      | resubmission | an owner sends an attempt without a look at its client | no task runs twice at one time | 13 |
      | resubmission | a running owner overlooks that its client has left | no task runs twice at one time | 9 |

    Examples: Late calls
      | specification | mutation | property | steps |
      | late_calls | a poll without an answer does not raise the token | the next answer makes unanswered calls void | 3 |
      | late_calls | a start without an answer does not raise the token | the next answer makes unanswered calls void | 3 |
      | late_calls | calls without an answer are not counted | what counts as lapsed has ended | 6 |
      | late_calls | calls that await their answer are not counted | what counts as lapsed has ended | 7 |
      | late_calls | an answer ends the count of calls with its token | what counts as lapsed has ended | 11 |
      | late_calls | a call that becomes void did not extend the lease just before | what counts as lapsed has ended | 9 |
      | late_calls | the lease of an answered call counts from its sending | what counts as lapsed has ended | 9 |

    Examples: Crashing
      | specification | mutation | property | steps |
      | crashing | crashes are not counted | a task is not started three times after three crashes | 17 |
      | crashing | lost attempts are not counted | a task is not started three times after three crashes | 19 |
      | crashing | only the owner hears of a crash | a task is not started three times after three crashes | 18 |
      | crashing | crashes are not repeated on a new link | a task is not started three times after three crashes | 19 |
      | crashing | a restarted agent forgets crashes | a task is not started three times after three crashes | 19 |
      | crashing | a lost attempt counts as a crash | a task whose workers were only silent is not given up | 7 |

    Examples: Shrinking
      | specification | mutation | property | steps |
      | shrinking | a report of any age is relied on | no start exceeds room that shrank long ago | 6 |
      | shrinking | a report does not age while the agent is suspended | no start exceeds room that shrank long ago | 8 |
      | shrinking | a report is as old as its arrival | no start exceeds room that shrank long ago | 8 |
      | shrinking | the copy in the store has no date | no start exceeds room that shrank long ago | 7 |
      | shrinking | what is being stopped does not count | no start exceeds room that shrank long ago | 4 |

  Scenario Outline: Every property of <specification> holds with the relaxation: <relaxation>
    When the model checks "<specification>" where "<relaxation>"
    Then the model is exhaustive and every property holds

    Examples:
      | specification | relaxation |
      | leave | tasks are accepted after the leave but refused before their start |
      | ownership | an executor accepts a second attempt |
      | ownership | a successor places the task on itself |
      | resubmission | the lease outlives the owner's wait, the longer one |
      | resubmission | an old Begin is accepted |
      | resubmission | a duplicate is refused instead of held |
      | late_calls | polls extend the lease after one without an answer |

  Scenario: Every mutation and relaxation is listed above
    Then the model's feature names every mutation and relaxation

  Scenario: Every action names the function that implements it
    Then the model's actions name functions that exist, except "in_force_by_agents"

  Scenario Outline: A stale name of a function is detected
    Then the model reports the function "<place>" as <status>

    Examples:
      | place | status |
      | jujubeglade.agent.executor:Executor.claim | present |
      | jujubeglade.agent.takeover:close_job | present |
      | jujubeglade.agent.executor:Executor.assert | missing |
      | jujubeglade.agent.executor:Worker.claim | missing |
      | jujubeglade.agent.executors:Executor.claim | missing |
      | jujubeglade.agent.executor | missing |
