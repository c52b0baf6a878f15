Feature: The command line verifies audit records

  Scenario Outline: The findings decide the exit status
    Given audit records of agent-3 <case> at a stand-in entry
    When the command line verifies the audit records
    Then the audit command exits with <status> and prints "<lines>"

    Examples:
      | case                     | status | lines                                                                                                                                 |
      | that are complete        | 0      | 3 records verified / finding  detail / tail     agent-3/ab12: tail may be lost after 3                                                |
      | without the first record | 1      | 2 records verified / finding  detail / missing  missing in agent-3/ab12 from 1 to 1 / tail     agent-3/ab12: tail may be lost after 3 |
      | without any record       | 1      | there are no records to verify                                                                                                        |
