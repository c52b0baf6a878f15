Feature: Metrics for each tenant and class

  Background:
    Given metrics with at most 2 tenants

  Scenario: Counters and gauges are rendered with their labels
    When the metrics count
      | counter           | labels          | amount |
      | jobs_accepted     | acme            | 2      |
      | requests_refused  | overloaded      | 1      |
      | jobs_answered     | complete        | 2      |
      | tasks_started     |                 | 7      |
      | stream_messages   | load wasted     | 3      |
      | stream_messages   | load needed     | 5      |
    And the metrics set queue_length to 4
    Then the metrics show
      """
      jujubeglade_jobs_accepted_total{tenant="acme"} 2
      jujubeglade_jobs_answered_total{state="complete"} 2
      jujubeglade_queue_length 4
      jujubeglade_requests_refused_total{kind="overloaded"} 1
      jujubeglade_stream_messages_total{type="load",use="needed"} 5
      jujubeglade_stream_messages_total{type="load",use="wasted"} 3
      jujubeglade_tasks_started_total 7
      """

  Scenario: Job latency is a histogram by tenant and class
    When jobs of acme and class urgent take 1 4 40 90000 ms
    Then the metrics include
      """
      jujubeglade_job_latency_ms_bucket{class="urgent",le="1.0",tenant="acme"} 1.0
      jujubeglade_job_latency_ms_bucket{class="urgent",le="5.0",tenant="acme"} 2.0
      jujubeglade_job_latency_ms_bucket{class="urgent",le="50.0",tenant="acme"} 3.0
      jujubeglade_job_latency_ms_bucket{class="urgent",le="30000.0",tenant="acme"} 3.0
      jujubeglade_job_latency_ms_bucket{class="urgent",le="+Inf",tenant="acme"} 4.0
      jujubeglade_job_latency_ms_count{class="urgent",tenant="acme"} 4.0
      """

  Scenario: Tenants beyond the limit are counted together
    When the metrics count
      | counter       | labels | amount |
      | jobs_accepted | a      | 1      |
      | jobs_accepted | b      | 1      |
      | jobs_accepted | c      | 1      |
      | jobs_accepted | d      | 1      |
      | jobs_accepted | a      | 1      |
    Then the metrics show
      """
      jujubeglade_jobs_accepted_total{tenant="a"} 2
      jujubeglade_jobs_accepted_total{tenant="b"} 1
      jujubeglade_jobs_accepted_total{tenant="other"} 2
      """

  Scenario: A tenant's name can't break the format
    When the metrics count
      | counter       | labels  | amount |
      | jobs_accepted | a"b\c{} | 1      |
    Then the metrics show
      """
      jujubeglade_jobs_accepted_total{tenant="a_b_c__"} 1
      """

  Scenario: Reading the metrics doesn't change them
    When the metrics count
      | counter       | labels | amount |
      | tasks_started |        | 1      |
    Then two reads of the metrics are equal
