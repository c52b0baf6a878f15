Feature: Logs are lines of fields
  Scenario: An event and its fields are on one line
    Given logs of agent agent-3 at level info
    When the module jujubeglade.agent.home logs info "job accepted" with
      | field  | value           |
      | job    | 01-ab           |
      | tenant | Armor "A" Neige |
    Then the log line after its time is
      """
      level=info role=agent name=agent-3 logger=jujubeglade.agent.home event="job accepted" job=01-ab tenant="Armor \"A\" Neige"
      """

  Scenario: A field's value can't begin a new line
    Given logs of entry entry-1 at level info
    When the module jujubeglade.entry logs warning "bad request" with
      | field | value                        |
      | place | {x}\nlevel=error event=forged |
    Then the log line after its time is
      """
      level=warning role=entry name=entry-1 logger=jujubeglade.entry event="bad request" place="{x}\nlevel=error event=forged"
      """

  Scenario: An event below the log level writes nothing
    Given logs of agent agent-3 at level warning
    When the module jujubeglade.agent.home logs info "job accepted" with
      | field | value |
      | job   | 01-ab |
    Then the log is empty

  Scenario: An exception is logged on one line
    Given logs of agent agent-3 at level error
    When the module jujubeglade.agent.home logs an exception
    Then the log has 1 line

  Scenario: JSON lines are queued, and those beyond the limit are dropped and counted
    Given JSON logs of direct-entry entry-1 at level info
    When the module jujubeglade.direct.dispatcher logs 400 lines "job taken" in one second
    Then 300 lines are written
    And a line of another event reports 100 dropped lines

  Scenario: A reader that does not read does not block the process
    Given JSON logs to a full pipe of direct-entry entry-1 at level info
    When the module jujubeglade.direct.dispatcher logs 200 lines "job taken" in one second
    Then the process was not delayed
    When the reader reads all available bytes
    Then the reader has received 200 lines
