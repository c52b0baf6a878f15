Feature: The configuration document and the commands that change it

  Scenario: Each command raises the revision and records its outcome
    When these configuration commands are applied:
      | id | by  | change        | fields                                          |
      | c1 | ana | drain_zone    | {"zone":"east"}                                 |
      | c2 | ben | drain_zone    | {"zone":"east"}                                 |
      | c3 | ana | set_quota     | {"tenant":"t1","starts_per_s":50,"weight":2}    |
      | c4 | ana | drain_worker  | {"worker":"w7"}                                 |
      | c5 | ana | restore_zone  | {"zone":"east"}                                 |
      | c6 | ana | set_limit     | {"name":"hedges","value":0.05}                  |
    Then the configuration outcomes are:
      | id | status    | revision | subject      |
      | c1 | applied   | 1        | zone east    |
      | c2 | unchanged | 2        | zone east    |
      | c3 | applied   | 3        | quota t1     |
      | c4 | applied   | 4        | worker w7    |
      | c5 | applied   | 5        | zone east    |
      | c6 | applied   | 6        | limit hedges |
    And the configuration drains zones "" and workers "w7"
    And the configuration is equal after writing and reading

  Scenario Outline: A command that expects an older revision conflicts only with changes of its subject
    When these configuration commands are applied:
      | id | by  | change     | fields          |
      | c1 | ana | drain_zone | {"zone":"east"} |
      | c2 | ben | drain_zone | {"zone":"west"} |
    And "<change>" {"zone":"<zone>"} expecting revision <revision> is applied as "c3"
    Then the configuration command is answered "<answer>"

    Examples:
      | change       | zone | revision | answer                                          |
      | restore_zone | west | 1        | command c2 changed zone west first, at revision 2 |
      | restore_zone | east | 1        | applied                                         |
      | drain_zone   | west | 1        | unchanged                                       |

  Scenario: An expected revision that is older than the recorded outcomes is refused
    When 501 configuration commands on other subjects follow a drain of "east"
    And "restore_zone" {"zone":"east"} expecting revision 1 is applied as "c3"
    Then the configuration command is answered "the revision expected for zone east is too old to compare with"
    And the configuration keeps 500 outcomes

  Scenario Outline: An invalid command is refused with a remedy
    When "<change>" <fields> is built and applied
    Then the configuration refuses it with the remedy: <remedy>

    Examples:
      | change     | fields                                         | remedy                         |
      | drain      | {}                                             | use one of: clear_limit, clear_quota, clear_rule, drain_worker, drain_zone, restore_worker, restore_zone, set_limit, set_quota, set_rule |
      | drain_zone | {"zone":""}                                    | use up to 100 letters, digits and . _ : - |
      | drain_zone | {"area":"east"}                                | give exactly: zone             |
      | set_quota  | {"tenant":"t","starts_per_s":-1,"weight":1}    | give a number, 0 or more       |
      | set_quota  | {"tenant":"t","starts_per_s":1,"weight":0}     | give a number above 0          |
      | set_limit  | {"name":"n","value":true}                      | give a number, 0 or more       |

  Scenario Outline: A document that is malformed or older is refused
    When the configuration bytes <data> are read while the reader has revision 3
    Then the configuration refuses it with the remedy: the last valid document stays in use; find out who wrote this one

    Examples:
      | data                                   |
      | {                                      |
      | {"revision":9}                         |
      | {"revision":2,"drained_zones":[],"drained_workers":[],"quotas":{},"limits":{},"rules":{},"outcomes":[]} |
      | {"revision":9,"drained_zones":[7],"drained_workers":[],"quotas":{},"limits":{},"rules":{},"outcomes":[]} |
      | {"revision":1000000000000000000000000000000,"drained_zones":[],"drained_workers":[],"quotas":{},"limits":{},"rules":{},"outcomes":[]} |
      | {"revision":true,"drained_zones":[],"drained_workers":[],"quotas":{},"limits":{},"rules":{},"outcomes":[]} |

  Scenario: A document that is nested without end is refused
    When configuration bytes that are nested 100000 deep are read
    Then the configuration refuses it with the remedy: the last valid document stays in use; find out who wrote this one

  Scenario: A rule is set to one of its choices
    When these configuration commands are applied:
      | id | by  | change     | fields                                      |
      | c1 | ana | set_rule   | {"name":"placement","value":"round_robin"}  |
      | c2 | ben | set_rule   | {"name":"hedging","value":"late"}           |
      | c3 | ana | clear_rule | {"name":"hedging"}                          |
    Then the configuration outcomes are:
      | id | status  | revision | subject        |
      | c1 | applied | 1        | rule placement |
      | c2 | applied | 2        | rule hedging   |
      | c3 | applied | 3        | rule hedging   |
    And the configuration chooses the rules "placement=round_robin"
    And the configuration is equal after writing and reading

  Scenario Outline: A rule or a choice that doesn't exist is refused
    When "set_rule" {"name":"<name>","value":"<value>"} is built and applied
    Then the configuration refuses it with the remedy: <remedy>

    Examples:
      | name      | value | remedy                                                       |
      | placement | best  | choose one of: least_delay, least_loaded, round_robin        |
      | luck      | on    | name one of: placement, hedging, admission, health, concurrency, queueing |
