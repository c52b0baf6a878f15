Feature: Faults of the field cause no two concurrent runs of a task of direct jobs

  Scenario: An entry that is reached again doesn't place tasks elsewhere that are still being stopped
    Given a field of 2 entries and 2 workers of 16 cores
    When the fault "an entry is reached again while stops for it are lost" occurs
    Then no worker recorded a violation

  Scenario: A client's submission at another entry doesn't run beside runs whose stops were lost in a reset
    Given a field of 2 entries and 2 workers of 16 cores
    When the fault "links and clients' connections are reset at one moment" occurs
    Then no worker recorded a violation

  Scenario: A client's submission at another entry doesn't run beside runs whose stops are lost
    Given a field of 2 entries and 2 workers of 16 cores
    When the fault "stops are lost for 700 ms after the owner was dropped" occurs
    Then no worker recorded a violation

  Scenario: A client's submission at another entry doesn't run beside runs whose stops are executed late
    Given a field of 2 entries and 2 workers of 16 cores
    When the fault "stops are executed seconds late after the owner was dropped" occurs
    Then no worker recorded a violation

  Scenario: Tasks aren't placed again while late polls still extend the lease that the agent holds for expired
    Given a field of 2 entries and 2 workers of 16 cores
    When the fault "late polls extend the lease after the agent has concluded that it expired" occurs
    Then no worker recorded a violation

  Scenario: Tasks aren't placed again while late polls still extend the lease of a frozen agent's worker
    Given a field of 2 entries and 2 workers of 16 cores
    When the fault "late polls extend the lease while their agent is frozen" occurs
    Then no worker recorded a violation

  Scenario: A frozen agent doesn't start what its owner has given up
    Given a field of 2 entries and 2 workers of 16 cores
    When the fault "a frozen agent on a slow clock reads a start after the client's resubmission" occurs
    Then no worker recorded a violation

  Scenario: A task that is refused as a duplicate isn't placed elsewhere while its first run is being stopped
    Given a field of 2 entries and 2 workers of 16 cores
    When the fault "a start is refused as a duplicate while the first run is being stopped" occurs
    Then no worker recorded a violation

  Scenario: The end of an earlier submission's attempt isn't taken for the end of the current one
    Given a field of 2 entries and 2 workers of 16 cores
    When the fault "a link is reset after a worker has crashed between two submissions" occurs
    Then no worker recorded a violation

  Scenario: A slow link refuses no task of an owner that is alive
    Given a field of 2 entries and 2 workers of 16 cores
    When the fault "the links to entry 0 are slow by 200 ms" occurs
    Then 10 jobs are completed

  Scenario: A worker that refuses the stops of its predecessor's runs isn't asked again without a pause
    Given a field of 2 entries and 2 workers of 16 cores
    When the fault "a worker is reborn while its runs are being stopped" occurs
    Then worker 0 got 4 to 40 stops
    And no worker recorded a violation

  Scenario: A late start doesn't pass the fence of a reborn worker whose agent's clock was set back
    Given a field of 2 entries and 2 workers of 16 cores
    When the fault "starts are late, their agent's clock is set back and its worker is reborn" occurs
    Then no worker recorded a violation

  Scenario: A start that a reborn worker executes late makes no task run twice
    Given a field of 2 entries and 2 workers of 16 cores
    When the fault "a start that was fenced off reaches the worker's next incarnation" occurs
    Then no worker recorded a violation

  # Guards against: an entry that wakes starts jobs whose clients have left (TWICE).
  Scenario: A frozen entry that wakes starts nothing for clients that have submitted again elsewhere
    Given a field of 2 entries and 2 workers of 16 cores
    When the fault "a frozen entry wakes while a client's second submission runs elsewhere" occurs
    Then no worker recorded a violation

  # Guards against: a waiting job starts after its client has left (TWICE, work for nobody).
  Scenario: A job whose client left while its entry stood still gets none of the room that was freed
    Given a field of 2 entries and 2 workers of 16 cores
    When the fault "a client leaves a waiting job while its entry stands still and room is freed" occurs
    Then 4 tasks of the field were started
