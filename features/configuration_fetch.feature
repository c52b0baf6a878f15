Feature: An entry without the store gets the configuration from another entry

  Scenario: An entry that the store serves in time asks nobody
    Given an entry in virtual time whose peers have configuration 7
    When it hears of configuration 7
    And the store delivers configuration 7 after 80 ms
    And 3000 ms pass in virtual time
    Then it has asked 0 times
    And it has configuration 7

  Scenario: One peer is asked once
    Given an entry in virtual time whose peers have configuration 7
    When it hears of configuration 7
    And it hears of configuration 7
    And 3000 ms pass in virtual time
    Then it has asked 1 times
    And it has configuration 7

  Scenario: Peers are asked one after the other until one has the configuration
    Given an entry in virtual time whose peers have configuration 6
    When it hears of configuration 7
    And 900 ms pass in virtual time
    Then it has asked 2 to 5 times
    When the peers receive configuration 7
    And 1700 ms pass in virtual time
    Then it has configuration 7

  Scenario: Peers that do not answer are asked ever more rarely
    Given an entry in virtual time whose peers are unreachable
    When it hears of configuration 7
    And 60000 ms pass in virtual time
    Then it has asked 60 to 160 times

  Scenario: An entry that knows no other entry waits until it does
    Given an entry in virtual time without peers
    When it hears of configuration 7
    And 2000 ms pass in virtual time
    Then it has asked 0 times
    When the store lists peers that have configuration 7
    And 1700 ms pass in virtual time
    Then it has configuration 7

  Scenario Outline: The route with the longest prefix of a path is found among many
    Given a table of 5000 routes
    When a table of routes finds <host> <path>
    Then it finds the route <name> with the rest <rest>

    Examples:
      | host         | path            | name     | rest    |
      | host-1       | /a/0123         | a-1      | 0123    |
      | host-1       | /a/b/0123       | ab-1     | 0123    |
      | host-4       | /a/             | a-4      | nothing |
      | host-1       | /b/0123         | none     | nothing |
      | host-1       | /a              | none     | nothing |
      | host-99999   | /a/0123         | none     | nothing |
