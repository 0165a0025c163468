Feature: Requests at their home
  What the home of a flow decides, with no sockets and no clock.

  Background:
    Given a home with pool "firm-a/guidance" of targets "t1,t2"

  Scenario: A copy of a request is not sent again
    When request 1 arrives
    And request 1 arrives
    Then request 1 was sent 1 time
    When the target answers request 1 with "done"
    Then request 1 was answered "done" 1 times
    When request 1 arrives
    Then request 1 was sent 1 time
    And request 1 was answered "done" 2 times

  Scenario Outline: What became of a request that was sent
    Given the service is <kind>
    When request 1 arrives
    And <event> for request 1
    Then request 1 was sent <times> time
    And request 1 got the verdict "<verdict>"

    Examples:
      | kind       | event                              | times | verdict      |
      | one-time   | the connection breaks once written | 1     | may_have_run |
      | one-time   | the connection fails unwritten     | 2     | none         |
      | one-time   | the target sheds it                | 2     | none         |
      | one-time   | the deadline passes                | 1     | may_have_run |
      | repeatable | the connection breaks once written | 2     | none         |
      | one-time   | the target says it was cancelled   | 1     | not_run      |

  Scenario Outline: A repeatable request that may have run stays in doubt
    Given the service is repeatable
    When request 1 arrives
    And the connection breaks once written for request 1
    And <end> for request 1
    Then request 1 got the verdict "may_have_run"

    Examples:
      | end                              |
      | targets shed it until the end    |
      | the target says it was cancelled |
      | all connections fail unwritten   |

  Scenario: A cancelled request that still waits is not run
    When requests 1 to 6 arrive
    And request 6 is cancelled
    Then request 6 got the verdict "not_run"
    And request 6 was sent 0 times

  Scenario: A cancellation that overtakes its request closes its number
    When request 7 is cancelled
    Then request 7 got the verdict "not_run"
    When request 7 arrives
    Then request 7 was sent 0 times

  Scenario: A home that forgot the flow runs nothing
    When the flow is closed
    And request 1 arrives
    Then request 1 was sent 0 times
    And request 1 got the verdict "none"

  Scenario Outline: Refusals say that nothing ran
    Given <state>
    When request 1 arrives
    Then request 1 got the verdict "not_run"
    And request 1 was refused as "<reason>"

    Examples:
      | state                               | reason                 |
      | all targets leave                   | no_target              |
      | answers take longer than a deadline | deadline_cannot_be_met |

  Scenario: A full queue refuses at once and tells when to come back
    When requests 1 to 20 arrive
    Then some request was refused as "queue_full" with a time to come back

  Scenario: An ended deadline in the queue means not run
    When requests 1 to 6 arrive
    And the deadline passes for request 6
    Then request 6 got the verdict "not_run"

  Scenario: Whatever happens, no number is sent twice without its target's word
    Then for any events an unrepeatable request runs at most once
