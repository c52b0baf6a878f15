Feature: Operators run their commands at an entry

  Scenario: Zones, workers, commands and configuration are shown
    Given a site of 1 entry and 2 workers
    Then the site's operator runs "drain zone south"
      """
      applied: drain zone south
      in_force
      """
    And the site's operator runs "show zones"
      """
      zone state workers running queued slots
      north in service 1 0 0 8
      south drained 1 0 0 8
      done
      """
    And the site's operator runs "show workers zone south"
      """
      worker zone rack state services running queued slots revision
      worker-2 south rack-of-worker-2 zone drained parts 0 0 8 1
      done
      """
    And the site's operator runs "set rule placement round_robin"
      """
      applied: set rule placement round_robin
      in_force
      """
    And the site's operator runs "set quota hotel 50/s weight 3"
      """
      applied: set quota hotel 50/s weight 3
      in_force
      """
    And the site's operator runs "show commands"
      """
      time id by status revision command
      TIME KEY duty applied 3 set quota hotel 50/s weight 3
      TIME KEY duty applied 2 set rule placement round_robin
      TIME KEY duty applied 1 drain zone south
      done
      """
    And the site's operator runs "show configuration"
      """
      revision 3
      drained zones: south
      drained workers: none
      quota hotel 50/s weight 3
      limit max_tasks_per_job 550 (settings)
      limit max_payload_bytes 262144 (settings)
      limit result_bytes 262144 (settings)
      limit max_jobs 20000 (settings)
      limit max_queue_tasks 5500 (settings)
      limit max_connections 4096 (settings)
      limit max_wait_ms 30000 (settings)
      limit tickets_per_request 1000 (settings)
      limit drain_grace_ms 30000 (settings)
      rule placement round_robin
      rule hedging off (default)
      rule admission deadline (default)
      rule health probation (default)
      rule concurrency adaptive (default)
      rule queueing fair (default)
      done
      """

  Scenario: Jobs are listed, and one job or all jobs of a tenant are cancelled
    Given a site of 1 entry and 2 workers
    And the job <a> of the site: {"tasks": [{"service": "parts", "payload": {"ms": 1}}], "wait_ms": 5000}
    And the job <b> of the site: {"tasks": [{"service": "parts", "payload": {"ms": 9000}}]}
    Then the answer to "show jobs" eventually has the line: <b-key> workshop running 1 0
    And the answer to "show jobs" eventually has the line: <a-key> workshop complete 1 1
    And the site's operator runs "show jobs tenant hotel"
      """
      job tenant state tasks done
      done
      """
    And the site's operator runs "cancel job <b-key>"
      """
      job <b-key> failed: cancelled: command KEY of duty
      tasks: 1 may_have_run
      done
      """
    And the site's operator runs "cancel job <b>"
      """
      job <b-key> failed: cancelled: command KEY of duty
      tasks: 1 may_have_run
      done
      """
    And the site's operator runs "cancel job 19ae52c3f01-0000000000"
      """
      no worker that answered owns job 19ae52c3f01-0000000000
      check the id, or use: why job
      unknown
      """
    Given the job <c> of the site: {"tasks": [{"service": "parts", "payload": {"ms": 9000}}]}
    Then the site's operator runs "cancel tenant workshop"
      """
      1 running jobs of workshop cancelled
      done
      """
    And the site answers workshop GET /v1/jobs/<c> with 200 and {"state": "failed"}

  Scenario: A repeated submission is the same job at any entry
    Given a site of 2 entries and 2 workers
    And a new command id <c>
    When entry 1 receives "submit parts {"ms": 1} x 3 tenant hotel" as command <c>
    Then the operator's answer has {"id": "<c>", "status": "done"}
    When entry 2 receives "submit parts {"ms": 1} x 3 tenant hotel" as command <c>
    Then the operator's answer has {"id": "<c>", "status": "done"}
    And the submitted id is the same as before
    And the answer to "show jobs tenant hotel state complete" eventually has the line: KEY hotel complete 3 3
    And 3 tasks were started at the site
    When entry 2 receives "submit parts {"ms": 2} x 3 tenant hotel" as command <c>
    Then the operator's answer has {"status": "refused", "message": "the id stands for: submit parts {\"ms\": 1} x 3 tenant hotel"}
    When entry 1 receives "submit parts {} tenant nobody" as command <c>
    Then the operator's answer has {"status": "refused", "outcome": "not_run", "remedy": "name one of: hotel, workshop"}
    When entry 1 receives "submit parts {} tenant hotel" as command c-1
    Then the operator's answer has {"status": "refused", "outcome": "not_run", "message": "the id does not begin with the current time"}

  Scenario: A repeated command has its first outcome, and a lost one names the winner
    Given a site of 2 entries and 2 workers
    When entry 1 receives "drain zone south" as command c-1
    Then the operator's answer has {"status": "in_force", "revision": 1}
    When entry 2 receives "drain zone south" as command c-1
    Then the operator's answer has {"status": "in_force", "revision": 1, "lines": ["applied: drain zone south"]}
    When entry 2 receives "drain zone north" as command c-1
    Then the operator's answer has {"status": "refused", "remedy": "use a new id for a new command"}
    When entry 2 receives "restore zone south if revision 0" as command c-2
    Then the operator's answer has {"status": "lost", "kind": "conflict", "message": "command c-1 changed zone south first, at revision 1"}
    And the operator's answer has {"remedy": "nothing was changed; look, and if you still want it send it with a new id"}
    When entries 1 and 2 receive "drain zone west if revision 1" and "restore zone west if revision 1" at the same time
    Then the drain is in force, and the restore lost to it or changed nothing
    When entry 1 receives "restore zone south if revision 0" as command c-2
    Then the operator's answer has {"status": "lost", "message": "command c-1 changed zone south first, at revision 1"}

  Scenario: Explanations use the store and records that it does not contain yet
    Given a site of 2 entries and 2 workers
    And the job <a> of the site: {"tasks": [{"service": "parts", "payload": {"ms": 1}}], "wait_ms": 5000}
    Then the answer to "why job <a-key>" eventually has the line: recorded
    And the answer to "why task <a-key>.0" eventually has the line: recorded
    And the answer to "explain job <a>" eventually has the line: recorded
    When entry 1 receives "drain zone south" as command c-9
    Then the answer to "why command c-9" eventually has the line: applied at revision 1: drain zone south
    And the site's operator runs "why job c-9"
      """
      c-9 does not begin with a time
      give an id that begins with the ms since 1970 in hexadecimal
      refused
      """
    When the site's store goes down
    Then the site's operator runs "why job <a-key>"
      """
      not recorded; the store can't be read: /v3/kv/range: no connection: Cannot connect to host HOST
      done
      """

  Scenario: A limit that an operator sets is in force at the workers
    Given a site of 1 entry and 2 workers
    Then the site's operator runs "set limit result_bytes 100"
      """
      applied: set limit result_bytes 100
      in_force
      """
    Given a ticket <s> of the site
    And a ticket <l> of the site
    Then the site answers workshop POST /v1/jobs {"id": "<s>", "wait_ms": 5000, "tasks": [{"service": "parts", "payload": {"ms": 1, "value": 7}}]} with 200 and {"state": "complete"}
    And the site answers workshop POST /v1/jobs {"id": "<l>", "wait_ms": 5000, "tasks": [{"service": "parts", "payload": {"ms": 1, "value": "1234567890123456789012345678901234567890123456789012345678901234567890123456789012345678901234567890"}}]} with 200 and {"state": "failed", "reason": "task 0: the result is longer than result_bytes"}

  Scenario: Running attempts of a job are throttled and still complete
    Given a site of 1 entry and 2 workers
    And the job <a> of the site: {"tasks": [{"service": "parts", "payload": {"ms": 1500}}, {"service": "parts", "payload": {"ms": 1500}}]}
    Then the site's operator runs "throttle job <a>"
      """
      throttling requested for 2 attempts of job <a-key>
      done
      """
    And the answer to "show jobs" eventually has the line: <a-key> workshop complete 2 2
    And the answer to "why job <a-key>" eventually has the line: recorded

  Scenario: Metrics and logs show the state and the events of a site
    Given a site of 1 entry and 2 workers
    And the job <a> of the site: {"tasks": [{"service": "parts", "payload": {"ms": 1}}], "wait_ms": 5000}
    And the job <b> of the site: {"class": "urgent", "deadline_ms": 300, "tasks": [{"service": "parts", "payload": {"ms": 5000}}], "wait_ms": 5000}
    And the job <c> of the site: {"tasks": [{"service": "none"}], "wait_ms": 5000}
    Then the site answers workshop POST /v1/jobs {} with 400 and {"kind": "bad_request"}
    And the site's operator runs "drain worker worker-9"
      """
      applied: drain worker worker-9
      in_force
      """
    And the metrics of the entry show
      | line                                                                                          |
      | jujubeglade_jobs_accepted_total{tenant="workshop"} 2                                          |
      | jujubeglade_jobs_answered_total{state="complete"} 1                                           |
      | jujubeglade_jobs_answered_total{state="failed"} 1                                             |
      | jujubeglade_requests_refused_total{kind="bad_request"} 1                                      |
      | jujubeglade_requests_refused_total{kind="no_worker"} 1                                        |
      | jujubeglade_job_latency_ms_count{class="urgent",tenant="workshop"} 1.0                        |
      | jujubeglade_workers 2                                                                         |
      | jujubeglade_configuration_revision 1                                                          |
    And the metrics of the worker show
      | line                                 |
      | jujubeglade_queue_length 0           |
      | jujubeglade_tasks_unplaced 0         |
      | jujubeglade_tasks_retried_total 0    |
      | jujubeglade_tasks_hedged_total 0     |
      | jujubeglade_tasks_running 0          |
      | jujubeglade_journal_records_lost 0   |
      | jujubeglade_configuration_revision 1 |
    And the log of the site has
      | event                                                     |
      | event="store answers"                                     |
      | event="permits granted"                                   |
      | event="worker joined" worker=worker-1                     |
      | event="starts permitted"                                  |
      | event="job failed" job=KEY tenant=workshop                |
      | event="command run"                                       |
      | event="configuration applied" revision=1                  |
    And the log of the site names no attempt

  Scenario: The command line verifies the records of an entry and names damage
    Given a site of 1 entry and 2 workers
    And the job <a> of the site: {"tasks": [{"service": "parts", "payload": {"ms": 1}}], "wait_ms": 5000}
    Then the site's audit eventually has the answer of <a-key>
    And the site's audit is verified by the command line with status 0
    When a segment of the site's audit is overwritten
    Then the site's audit is verified by the command line with status 1
    And the command line prints "the segment can't be read"
    And the site answers duty GET /v1/audit?limit=9999999 with 400 and {"place": "limit"}
