Feature: Recorded events are checked against the rules of the model

  Background:
    Given the trace columns "wall_ms process incarnation kind job task generation attempt"

  Scenario: A complete run violates no rule
    When the trace is
      """
      100 home h accepted  j 0 0 0 tasks=2
      101 a    1 permit    - 0 0 0 revision=1 until_ms=900
      101 b    1 permit    - 0 0 0 revision=1 until_ms=900
      110 home h placed    j 0 0 1 target=a
      110 home h placed    j 1 0 1 target=b
      112 a    1 rejected  j 0 0 1
      113 b    1 started   j 1 0 1 zone=north
      115 home h placed    j 0 0 2 target=b
      117 b    1 started   j 0 0 2 zone=north
      200 b    1 finished  j 0 0 2
      201 b    1 finished  j 1 0 1
      202 home h answered  j 0 0 0 outcome=ran
      202 home h answered  j 1 0 0 outcome=ran
      210 e1   1 drained   - 0 0 0 zone=north revision=2
      300 e1   1 in_force  - 0 0 0 zone=north revision=2
      400 e1   1 restored  - 0 0 0 zone=north revision=3
      500 b    1 started   k 0 0 1 zone=north
      """
    Then the trace violates no rule

  Scenario Outline: A trace violates "<rule>"
    When the trace with permits is "<events>"
    Then the trace violates "<rule>" with "<message>"

    Examples:
      | rule | events | message |
      | one start | 1 a 1 started j 0 0 1; 2 b 1 started j 0 1 1 | task j-0 had already started on a |
      | one start | 1 a 1 started j 0 0 1 repeatable=1; 2 a 1 started j 0 0 1 repeatable=1 | task j-0 had already started on a |
      | a rejected attempt never starts | 1 a 1 rejected j 0 0 1; 2 a 1 started j 0 0 1 | attempt j-0.0.1 started although it was rejected |
      | a rejected attempt never starts | 1 a 1 started j 0 0 1; 2 a 1 rejected j 0 0 1 | attempt j-0.0.1 started although it was rejected |
      | the fence holds | 1 a 1 claimed j 0 1 0; 2 a 1 started j 0 0 1 | attempt j-0.0.1 started below the fence 1 |
      | a closed job stays closed | 1 a 1 closed j 0 0 0; 2 a 1 started j 0 0 1 | attempt j-0.0.1 started after the job was closed there |
      | the home places elsewhere | 1 home h placed j 0 0 1 target=home | attempt j-0.0.1 was placed by the home on itself |
      | not_run is true | 1 h 1 accepted j 0 0 0 tasks=1; 2 h 1 answered j 0 0 0 outcome=not_run; 3 a 1 started j 0 1 1 | task j-0 started, but its outcome was reported as not_run |
      | not_run is true | 1 a 1 started j 0 0 1; 2 e 1 refused j 0 0 0 outcome=not_run | task j-0 started, but its outcome was reported as not_run |
      | ran is true | 1 h 1 accepted j 0 0 0 tasks=1; 2 h 1 answered j 0 0 0 outcome=ran | task j-0 was answered as ran but never finished |
      | answers are complete | 1 h 1 accepted j 0 0 0 tasks=2; 2 h 1 answered j 0 0 0 outcome=may_have_run | the answer of j has 1 of 2 tasks |
      | revisions never decrease | 1 a 1 revision - 0 0 0 revision=2; 2 a 1 revision - 0 0 0 revision=1 | a went from revision 2 to 1 |
      | starts are permitted | 950 a 1 started j 0 0 1 | attempt j-0.0.1 started without a permit |
      | starts are permitted | 5 a 2 started j 0 0 1 | attempt j-0.0.1 started without a permit |
      | a drain in force was accepted | 1 e 1 in_force - 0 0 0 zone=north revision=2 | the drain of north at 2 was not accepted |
      | no start in a drained zone | 1 e 1 drained - 0 0 0 zone=north revision=2; 2 e 1 in_force - 0 0 0 zone=north revision=2; 3 a 1 started j 0 0 1 zone=north | attempt j-0.0.1 started in north, which is drained |

  Scenario Outline: A trace of "<case>" violates no rule
    When the trace with permits is "<events>"
    Then the trace violates no rule

    Examples:
      | case | events |
      | two attempts of a repeatable task | 1 a 1 started j 0 0 1 repeatable=1; 2 b 1 started j 0 0 2 repeatable=1 |
      | a request refused while an earlier one ran | 1 a 1 started j 0 0 1; 2 e 1 refused j 0 0 0 outcome=request_not_run |
      | a start before the drain is in force | 1 e 1 drained - 0 0 0 zone=north revision=2; 2 a 1 started j 0 0 1 zone=north; 3 e 1 in_force - 0 0 0 zone=north revision=2 |
      | a new incarnation at an older revision | 1 c 1 revision - 0 0 0 revision=2; 2 c 2 revision - 0 0 0 revision=1 |
      | an answer whose outcome is may_have_run | 1 h 1 accepted j 0 0 0 tasks=1; 2 h 1 answered j 0 0 0 outcome=may_have_run; 3 a 1 started j 0 0 1 |
