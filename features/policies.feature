Feature: Scheduling decisions under load

  A home and eleven executors with eight slots each use stand-in upstreams in virtual
  time. Load is a share of the site's capacity; tasks run 50 to 150 ms. Faults begin
  after two seconds of light load, in which the home learns the usual run times.

  Scenario Outline: A worker that fails everything at once
    Given the policies site with health <health>
    And the policies worker 3 fails every task
    When policies jobs of 4 repeatable tasks arrive at 60 % for 5 s
    Then <failed> of the policies jobs fail
    And the policies worker 3 gets <share> of the starts

    Examples:
      | health    | failed         | share          |
      | probation | less than 1 %  | less than 2 %  |
      | off       | more than 50 % | more than 30 % |

  Scenario: Two workers that fail everything are both put in probation
    Given the policies site with health probation
    And the policies worker 3 fails every task
    And the policies worker 7 fails every task
    When policies jobs of 4 repeatable tasks arrive at 60 % for 5 s
    Then less than 1 % of the policies jobs fail
    And 2 policies workers are in probation

  Scenario: A recovered worker gets tasks again
    Given the policies site with health probation
    And the policies worker 3 fails every task until 4 s have passed
    When policies jobs of 4 repeatable tasks arrive at 60 % for 20 s
    Then less than 1 % of the policies jobs fail
    And the policies worker 3 finishes more than 3 % of the tasks

  Scenario: Tasks that fail everywhere put no worker out of service
    Given the policies site with health probation
    When policies jobs of 4 tasks that fail everywhere arrive at 3 % for 10 s
    And policies jobs of 4 repeatable tasks arrive at 57 % for 10 s
    Then more than 4 % of the policies jobs fail
    And 0 policies workers are in probation

  Scenario Outline: A worker that takes ten times as long
    Given the policies site with placement <placement>
    And policies hedging <hedging>
    And the policies worker 3 takes 10 times as long
    When policies jobs of 4 repeatable tasks arrive at 60 % for 5 s
    Then less than 1 % of the policies jobs fail
    And 95 % of the policies jobs are answered within <time> ms

    Examples:
      | placement    | hedging | time |
      | least_delay  | late    | 250  |
      | least_delay  | off     | 250  |
      | least_loaded | late    | 400  |

  Scenario: Unrepeatable tasks are never hedged or retried
    Given the policies site with placement least_loaded
    And policies hedging late
    And the policies worker 3 takes 10 times as long
    And the policies worker 5 fails every task
    When policies jobs of 4 unrepeatable tasks arrive at 60 % for 5 s
    Then no policies task starts twice

  Scenario: Retries of a failing service stay within the budget
    Given the policies site with health probation
    When policies jobs of 1 tasks that fail everywhere arrive at 60 % for 5 s
    Then the policies starts are at most 120 % of the tasks plus 210

  Scenario: The loser of a hedge is stopped
    Given the policies site with placement least_loaded
    And policies hedging late
    And the policies worker 3 takes 100 times as long
    When policies jobs of 4 repeatable tasks arrive at 30 % for 5 s
    Then the policies worker 3 has stopped every task that it did not finish

  Scenario Outline: A tenant that floods beside a small one of the same class
    Given the policies site with queueing <queueing>
    When policies jobs of 50 normal tasks of flood arrive at 150 % for 5 s
    And policies jobs of 4 normal tasks of small arrive at 10 % for 5 s
    Then 95 % of the policies jobs of small are answered <time>
    And the policies jobs of flood all complete

    Examples:
      | queueing | time                 |
      | fair     | within 300 ms        |
      | arrival  | later than 1000 ms   |

  Scenario: Batch jobs progress beside a flood of urgent jobs
    Given the policies site with queueing fair
    When policies jobs of 50 urgent tasks of desk arrive at 200 % for 5 s
    And policies jobs of 4 batch tasks of night arrive at 2 % for 5 s
    Then 95 % of the policies jobs of night are answered within 1000 ms

  Scenario: Tenants share the capacity by the weights of their quotas
    Given the policies site with queueing fair
    And the policies quota of heavy is 0 starts a second with weight 3
    And the policies quota of light is 0 starts a second with weight 1
    When policies jobs of 50 normal tasks of heavy arrive at 400 % for 2 s
    And policies jobs of 50 normal tasks of light arrive at 400 % for 2 s
    Then in the first 2 s heavy gets 2.5 to 3.5 times the starts of light

  Scenario Outline: More load than the site's capacity, with deadlines of one second
    Given the policies site with admission <admission>
    When policies jobs of 4 tasks with a deadline of 1000 ms arrive at 130 % for 6 s
    Then the policies goodput is <goodput> of the capacity
    And <failed> of the policies jobs fail

    Examples:
      | admission | goodput        | failed         |
      | deadline  | more than 95 % | less than 1 %  |
      | always    | less than 60 % | more than 30 % |

  Scenario: A refusal gives the time after which the job is accepted
    Given the policies site with admission deadline
    When the policies site is full for 2000 ms
    Then a policies job with a deadline of 1000 ms is refused as "deadline"
    And the refusal has the outcome "request_not_run"
    And the same policies job is accepted after the time that the refusal gave

  Scenario: A deadline that no task of the service can meet
    Given the policies site with admission deadline
    When the policies site has settled
    Then a policies job with a deadline of 20 ms is refused as "never_runnable"

  Scenario: A declared run time alone causes no refusal
    Given the policies site with admission deadline
    When the policies site has settled
    Then a policies job that declares 60000 ms for a task of 50 ms completes within 1000 ms

  Scenario: A service that no worker offers
    Given the policies site with admission deadline
    When the policies site has settled
    Then a policies job of service "brakes" is refused as "no_worker"

  Scenario: A payload above the limit in force
    Given the policies site with admission deadline
    When the policies site has settled
    And the policies limit max_payload_bytes becomes 10
    Then a policies job with a deadline of 1000 ms is refused as "never_runnable"

  Scenario: A full queue
    Given the policies site with admission always
    When the policies site has settled
    And the policies site is full for 2000 ms
    And the policies limit max_queue_tasks becomes 100
    Then a policies job with a deadline of 1000 ms is refused as "overloaded"

  Scenario: A tenant within its quota is accepted in an overload
    Given the policies site with admission deadline
    And the policies quota of acme is 10000 starts a second with weight 1
    When the policies site is full for 2000 ms
    Then a policies job with a deadline of 1000 ms is accepted

  Scenario: A tenant beyond its quota is refused in an overload
    Given the policies site with admission deadline
    And the policies quota of acme is 10 starts a second with weight 1
    When the policies site is full for 2000 ms
    Then a policies job with a deadline of 1000 ms is refused as "quota"

  Scenario Outline: A small job beside large ones of the same tenant
    Given the policies site with queueing <queueing>
    When the policies site is full for 4000 ms
    Then a policies job of 1 task is answered <time>
    And every policies job completes

    Examples:
      | queueing | time               |
      | fair     | within 500 ms      |
      | arrival  | later than 3000 ms |

  Scenario: A large job is not starved by small ones
    Given the policies site with queueing fair
    When the policies site is full for 200 ms
    And policies jobs of 1 repeatable tasks arrive at 200 % for 5 s
    Then the first policies job that filled the site ends within 2000 ms

  Scenario: The longest task of a job starts first
    Given the policies site with queueing fair
    When the policies site is full for 500 ms
    Then a policies job of 200 tasks that declares its last one longest starts it first

  Scenario: A restored zone gets its load back gradually
    Given the policies site with health probation
    When the policies site has settled
    And the policies zone b is drained and restored
    Then the policies workers of zone b may be given 2 tasks each

  Scenario: Rules change while tasks wait
    Given the policies site with queueing fair
    When the policies site is full for 2000 ms
    And the policies rule queueing becomes arrival
    Then every policies job completes

  Scenario: A wave of cancellations costs one request for each job and worker
    Given the policies site with queueing fair
    When the policies site is full for 2000 ms
    And all policies jobs are cancelled
    Then the policies messages are at most 2 for each job and worker
