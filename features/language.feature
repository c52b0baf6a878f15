Feature: The operators' language

  Scenario Outline: A command is parsed into a record
    When the operator writes <text>
    Then the command is <record>

    Examples: Jobs
      | text                                                     | record                                                                                                   |
      | submit hold {"part": 7} tenant price-hold                | Submit(service='hold', payload={'part': 7}, count=1, tenant='price-hold', task_class='', deadline_ms=0, repeatable=False) |
      | submit p [] x20 tenant a class urgent deadline 1.5s repeatable | Submit(service='p', payload=[], count=20, tenant='a', task_class='urgent', deadline_ms=1500, repeatable=True) |
      | submit p [[], {}, -0.5, "x: y"] tenant tenant            | Submit(service='p', payload=[[], {}, -0.5, 'x: y'], count=1, tenant='tenant', task_class='', deadline_ms=0, repeatable=False) |
      | cancel job -x.y_1=                                       | CancelJob(job='-x.y_1=')                                                                                 |
      | Cancel Tenant Agencies                                   | CancelTenant(tenant='Agencies')                                                                          |

    Examples: Changes
      | text                                     | record                                                        |
      | drain zone zone                          | DrainZone(zone='zone', if_revision=None)                      |
      | restore worker w-03 if revision 7        | RestoreWorker(worker='w-03', if_revision=7)                   |
      | set quota agencies 0.5/s                 | SetQuota(tenant='agencies', starts_per_s=0.5, weight=1, if_revision=None) |
      | set limit drain_grace_ms 2s              | SetLimit(name='drain_grace_ms', value=2000, if_revision=None) |
      | set rule hedging late                    | SetRule(name='hedging', value='late', if_revision=None)       |

    Examples: Questions
      | text                                | record                                    |
      | show jobs state failed              | ShowJobs(tenant='', state='failed')       |
      | explain task a.b.3                  | WhyTask(job='a.b', index=3)               |

  Scenario: The answer to a wrong command shows the mistake and how to correct it
    Then each wrong command is answered with the lines below it
      """
      > drain zon rennes
      column 7: zon isn't right here
        drain zon rennes
              ^
      did you mean zone? write worker or zone

      > cancel tenant
      column 14: the command isn't complete
        cancel tenant
                     ^
      write a name

      > drain zone rennes now
      column 19: now isn't right here
        drain zone rennes now
                          ^
      write the end or if

      > submit pass {"a": } tenant agencies
      column 19: } isn't right here
        submit pass {"a": } tenant agencies
                          ^
      write false, {, [, null, a number, a string in " or true

      > submit pass {"a": 1, "a": 2} tenant agencies
      column 22: the key "a" appears twice
        submit pass {"a": 1, "a": 2} tenant agencies
                             ^
      remove one

      > submit pass 123456789012345678901 tenant agencies
      column 13: the number is too large to be kept exactly
        submit pass 123456789012345678901 tenant agencies
                    ^
      write it as a string

      > submit pass {"long": "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"} x 0 tenant agencies
      column 100: 0 is out of range
        aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"} x 0 tenant agencies
                                            ^
      write a whole number from 1 to 5500

      > set quota agencies 50
      column 20: 50 isn't right here
        set quota agencies 50
                           ^
      write a rate such as 50/s

      > set limit max_job 7
      column 11: there is no limit max_job
        set limit max_job 7
                  ^
      did you mean max_jobs? the limits are max_tasks_per_job, max_payload_bytes, result_bytes, max_jobs, max_queue_tasks, max_connections, max_wait_ms, tickets_per_request, drain_grace_ms

      > submit pass {} tenant a class urgnt
      column 31: there is no class urgnt
        submit pass {} tenant a class urgnt
                                      ^
      did you mean urgent? the classes are urgent, normal, batch

      > set rule placement two
      column 20: there is no placement choice two
        set rule placement two
                           ^
      the placement choices are least_delay, least_loaded, round_robin

      > why task k3TqJw
      column 10: k3TqJw isn't right here
        why task k3TqJw
                 ^
      write a task such as JOB.0
      """

  Scenario: Every example of the reference page is a valid command
    Then every example of docs/LANGUAGE.md parses, and each record has one
    And docs/LANGUAGE.md lists every rule with its choices

  Scenario Outline: A change has a name and arguments
    When the operator writes <text>
    Then the command makes the change <name> with <arguments>

    Examples:
      | text                                   | name           | arguments                                                   |
      | drain zone rennes if revision 3        | drain_zone     | {"zone": "rennes"}                                          |
      | restore zone rennes                    | restore_zone   | {"zone": "rennes"}                                          |
      | drain worker w-1                       | drain_worker   | {"worker": "w-1"}                                           |
      | restore worker w-1                     | restore_worker | {"worker": "w-1"}                                           |
      | set quota agencies 50/s weight 3       | set_quota      | {"tenant": "agencies", "starts_per_s": 50.0, "weight": 3}   |
      | set limit max_jobs 9                   | set_limit      | {"name": "max_jobs", "value": 9}                            |
      | set rule queueing arrival              | set_rule       | {"name": "queueing", "value": "arrival"}                    |

  Scenario: A payload nested too deep is refused
    When the operator writes a payload of 100 nested lists
    Then the language refuses it with "the payload is nested too deep"
