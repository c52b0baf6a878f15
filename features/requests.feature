Feature: Every request is answered, and a refusal gives its kind and its outcome

  Scenario: Malformed requests are refused
    Given a site of 1 entry and 2 workers
    And a ticket <t> of the site
    Then the site answers
      | as       | request                                                                              | status | kind         | outcome         | place              |
      | nobody   | POST /v1/jobs {}                                                                     | 401    | unauthorized | request_not_run |                    |
      | duty     | POST /v1/jobs {}                                                                     | 401    | unauthorized | request_not_run |                    |
      | workshop | POST /v1/commands {"id": "c", "text": "show zones"}                                  | 401    | unauthorized | request_not_run |                    |
      | workshop | GET /v1/audit                                                                        | 401    | unauthorized | request_not_run |                    |
      | workshop | POST /v1/jobs {                                                                      | 400    | bad_request  | request_not_run | body               |
      | workshop | POST /v1/jobs []                                                                     | 400    | bad_request  | request_not_run | body               |
      | workshop | POST /v1/jobs {"tasks": []}                                                          | 400    | bad_request  | request_not_run | tasks              |
      | workshop | POST /v1/jobs {"tasks": [7]}                                                         | 400    | bad_request  | request_not_run | tasks[0]           |
      | workshop | POST /v1/jobs {"tasks": [{"service": 7}]}                                            | 400    | bad_request  | request_not_run | tasks[0].service   |
      | workshop | POST /v1/jobs {"tasks": [{"service": "\ud800"}]}                                     | 400    | bad_request  | request_not_run | tasks[0].service   |
      | workshop | POST /v1/jobs {"tasks": [{"service": "parts", "payload": 1e999}]}                    | 400    | bad_request  | request_not_run | tasks[0].payload   |
      | workshop | POST /v1/jobs {"tasks": [{"service": "parts", "payload": NaN}]}                      | 400    | bad_request  | request_not_run | body               |
      | workshop | POST /v1/jobs {"tasks": [{"service": "parts", "repeatable": 1}]}                     | 400    | bad_request  | request_not_run | tasks[0].repeatable |
      | workshop | POST /v1/jobs {"tasks": [{"service": "parts", "run_ms": -1}]}                        | 400    | bad_request  | request_not_run | tasks[0].run_ms    |
      | workshop | POST /v1/jobs {"tasks": [{"service": "parts"}], "deadline_ms": 1e9}                  | 400    | bad_request  | request_not_run | deadline_ms        |
      | workshop | POST /v1/jobs {"tasks": [{"service": "parts"}], "wait_ms": 99999999999999999999}     | 400    | bad_request  | request_not_run | wait_ms            |
      | workshop | POST /v1/jobs {"tasks": [{"service": "parts"}], "class": {}}                         | 400    | bad_request  | request_not_run | class              |
      | workshop | POST /v1/jobs {"tasks": [{"service": "parts"}], "tenant": "hotel"}                   | 400    | bad_request  | request_not_run | tenant             |
      | workshop | POST /v1/jobs {"tasks": [{"service": "parts"}], "id": 7}                             | 400    | bad_request  | request_not_run | id                 |
      | workshop | POST /v1/jobs {"tasks": [{"service": "parts"}], "id": "a.b.c"}                       | 400    | bad_ticket   | not_run         | id                 |
      | workshop | POST /v1/jobs {"tasks": [{"service": "parts"}], "color": 1}                          | 400    | bad_request  | request_not_run | color              |
      | workshop | POST /v1/tickets {"count": 0}                                                        | 400    | bad_request  | request_not_run | count              |
      | workshop | POST /v1/tickets {"count": true}                                                     | 400    | bad_request  | request_not_run | count              |
      | workshop | GET /v1/jobs/7                                                                       | 400    | bad_ticket   | not_run         | id                 |
      | workshop | GET /v1/jobs/<t>                                                                     | 404    | unknown_job  | unknown         | id                 |
      | workshop | GET /v1/jobs/<t>?wait_ms=-1                                                          | 400    | bad_request  | request_not_run | wait_ms            |
      | workshop | GET /v1/jobs/<t>?wait_ms=²                                                           | 400    | bad_request  | request_not_run | wait_ms            |
      | workshop | GET /v1/nothing                                                                      | 400    | bad_request  | request_not_run |                    |
      | workshop | PUT /v1/jobs {}                                                                      | 400    | bad_request  | request_not_run |                    |
      | duty     | POST /v1/commands {"id": 7, "text": "show zones"}                                    | 400    | bad_request  | request_not_run | body               |
      | duty     | POST /v1/commands {"id": "\ud800", "text": "show zones"}                             | 400    | bad_request  | request_not_run | body               |
      | duty     | POST /v1/commands {"id": "c", "text": "drain zon rennes"}                            | 400    | syntax       | not_run         | column 7           |
      | duty     | GET /v1/audit?limit=x                                                                | 400    | bad_request  | request_not_run | limit              |
    And the site refuses a body of 5000000 bytes
    And 0 tasks were started at the site

  Scenario: A tenant reaches only its own jobs, and a submission without an id gets one
    Given a site of 1 entry and 2 workers
    And the job <j> of the site: {"tasks": [{"service": "parts", "payload": {"ms": 1, "value": 7}}], "wait_ms": 5000}
    Then the site answers workshop GET /v1/jobs/<j> with 200 and {"state": "complete"}
    And the site answers hotel GET /v1/jobs/<j> with 404 and {"kind": "unknown_job", "outcome": "unknown"}
    And the site answers hotel DELETE /v1/jobs/<j> with 404 and {"kind": "unknown_job"}
    And the site answers hotel POST /v1/jobs {"id": "<j>", "tasks": [{"service": "parts"}]} with 404 and {"kind": "unknown_job"}
    And the site answers duty GET /v1/jobs/<j> with 200 and {"state": "complete"}
    And the site answers workshop POST /v1/jobs {"tasks": [{"service": "parts", "payload": {"ms": 1}}], "wait_ms": 5000} with 200 and {"state": "complete"}
    And 2 tasks were started at the site

  Scenario: A refusal can be explained by its id
    Given a site of 1 entry and 2 workers
    Then the site answers workshop POST /v1/jobs {"tasks": []} with 400 and {"kind": "bad_request"}
    And the answer to "why refusal <refusal>" eventually has the line: TIME entry-1/INCARNATION refused a request for <refusal>: by=workshop, outcome=request_not_run, problem=bad_request, reason=tasks: not a list of tasks [bad_request]; give at least one task (record N)

  Scenario: Connections beyond the limit are refused
    Given a site of 1 entry and 2 workers
    Then the site's operator runs "set limit max_connections 3"
      """
      applied: set limit max_connections 3
      in_force
      """
    # The operator's own connection is the third.
    And 2 connections are served by the site and one more is refused

  Scenario: Requests in progress beyond the limit are refused, and operators are served
    Given a site of 1 entry and 2 workers
    Then the site's operator runs "set limit max_jobs 1"
      """
      applied: set limit max_jobs 1
      in_force
      """
    Given a ticket <w> of the site
    And a client of the site waits for {"id": "<w>", "wait_ms": 9000, "tasks": [{"service": "parts", "payload": {"ms": 9000}}]}
    Then the site answers workshop GET /v1/jobs/<w> with 429 and {"kind": "overloaded", "outcome": "request_not_run"}
    And the site's operator runs "cancel job <w>"
      """
      job <w-key> failed: cancelled: command KEY of duty
      tasks: 1 may_have_run
      done
      """
    And the waiting client of the site is answered "failed"

  Scenario: A connection that sends no complete request is closed
    Given an HTTP server with a timeout of 200 ms for the first request
    When a connection to the HTTP server sends "GET /health HTTP/1.1" and no more
    Then the HTTP server closes it without an answer

  Scenario: An entry that leaves breaks off no request on a connection that its client keeps open
    Given a site of 1 entry and 2 workers
    When the entry leaves while 20 clients post on connections that they keep open
    Then each request was answered, or its client could not connect

  Scenario: A server that closes answers the connections that it has not accepted yet
    When 5 clients connect and send a request to a server just before it closes
    Then each of these clients got status 404
