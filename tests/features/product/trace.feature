Feature: Tracing of a client in the logs

  Background:
    Given the logs
      | log | at_ms | part      | event     | client       | target |
      | one | 1000  | process   | start     |              |        |
      | one | 9000  | flows     | placed    | 10.0.0.9:77  | i-1    |
      | one | 9100  | flows     | placed    | 10.0.0.9:78  | i-2    |
      | two | 9600  | readiness | not_ready |              |        |
      | two | 9700  | probes    | ended     |              | i-1    |
      | two | 9700  | probes    | ended     |              | i-2    |
      | one | 9900  | targets   | dead      |              | i-1    |
      | one | 9900  | flows     | reset     | 10.0.0.9:77  | i-1    |
      | one | 30000 | targets   | alive     |              | i-1    |

  Scenario: A trace holds the events of the client's flows, targets and balancers
    When the client 10.0.0.9:77 is traced
    Then the events are placed, not_ready, ended, dead, reset
    And the targets named are i-1

  Scenario Outline: The trace command exits with status and message
    When the operator traces <client> in <logs>
    Then it exits with status <status> and prints "<text>"

    Examples:
      | client      | logs        | status | text                |
      | 10.0.0.9:77 | one and two | 0      | dead                |
      | 10.0.0.9:77 | one         | 0      | placed              |
      | 10.0.0.9:99 | one and two | 1      | no line of 9 names  |
      | nowhere     | one         | 2      | CLIENT-IP:PORT      |
      | 10.0.0.9:77 | three       | 1      | No such file        |

  Scenario: Lines that are not log lines are ignored
    Given log one also holds "Traceback", "{}" and "[1]"
    When the client 10.0.0.9:78 is traced
    Then the targets named are i-2
