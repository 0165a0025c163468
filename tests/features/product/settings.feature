Feature: Validation of settings and documents
  Invalid input is refused with errors that name file, key and value.

  Scenario Outline: Invalid settings are refused with file, key and value
    Given valid settings
    When "<key>" is set to <value>
    Then the daemon exits with status 2
    And the error names the file, "<key>" and <shown>

    Examples:
      | key                     | value               | shown       |
      | instance.name           | "Not A Name"        | Not A Name  |
      | instance.name           | 7                   | 7           |
      | listen.peer             | "nowhere:80"        | nowhere:80  |
      | listen.peer             | "127.0.0.1:99999"   | 99999       |
      | platform.addresses      | []                  | []          |
      | limits.max_flows        | 0                   | 0           |
      | limits.max_flows        | "many"              | many        |
      | log.level               | "loud"              | loud        |
      | lease.duration_ms       | 1                   | 1           |
      | membership.unknown_key  | 5                   | unknown_key |

  Scenario: All errors of a file are reported at once
    Given valid settings
    When "instance.name" is set to "Not A Name"
    And "limits.max_flows" is set to 0
    And "log.level" is set to "loud"
    Then the daemon exits with status 2
    And the error has 3 lines

  Scenario Outline: The error names a file that cannot be read
    Given a settings file that <state>
    Then the daemon exits with status 2
    And the error names the file

    Examples:
      | state       |
      | is missing  |
      | is not TOML |
      | is not text |

  Scenario Outline: Invalid teams are refused
    Given a valid team
    When the team's "<key>" is set to <value>
    Then the team is refused at "<named>" with "<message>"

    Examples:
      | key                       | value               | named                     | message             |
      | name                      | "-x"                | name                      | lower-case          |
      | addresses.guidance        | "10.1.0.1"          | addresses.guidance        | IP:PORT             |
      | caller_prefixes           | ["10.0.0.0/99"]     | caller_prefixes           | 10.0.0.0/99         |
      | targets.0.address         | "host:1"            | targets[0].address        | host                |
      | targets.1.name            | "guidance-1"        | targets[1].name           | used twice          |
      | targets.1.address         | "10.2.0.1:9000"     | targets[1].address        | used twice          |
      | targets.0.pool            | "none"              | targets[0].pool           | no such pool        |
      | addresses.unknown         | "10.1.0.9:443"      | addresses.unknown         | no such service     |
      | services.guidance         | {"deadline_ms": 0}  | services.guidance.deadline_ms | expected 1 to   |
      | extra                     | 1                   | extra                     | extra               |

  Scenario: The settings reference lists every key
    Then docs/operators/settings.md lists every key of the settings

  Scenario: The counters page lists every reason
    Then docs/operators/counters.md lists every reason

  Scenario: Every refusal and retry is sent to statsd under its name
    Given a statsd socket
    When each reason is counted once and 3 packets are forwarded
    Then the socket receives a counter for each reason and "liftmount.passed:3|c"
