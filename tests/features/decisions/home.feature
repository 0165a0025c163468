Feature: Requests at their home
  Guards against requests that run twice or are wrongly reported as not run.

  Background:
    Given a home with pool "firm-a/guidance" of targets "t1,t2"

  Scenario: A duplicate of a request is not sent again
    When request 1 arrives
    And request 1 arrives
    Then request 1 was sent 1 time
    When the target answers request 1 with "done"
    Then request 1 was answered "done" 1 times
    When request 1 arrives
    Then request 1 was sent 1 time
    And request 1 was answered "done" 2 times

  Scenario Outline: Verdict of a request that was sent
    Given the service is <kind>
    When request 1 arrives
    And <event> for request 1
    Then request 1 was sent <times> time
    And request 1 got the verdict "<verdict>"

    Examples:
      | kind           | event                               | times | verdict      |
      | non-repeatable | the connection breaks after writing | 1     | may_have_run |
      | non-repeatable | the connection fails before writing | 2     | none         |
      | non-repeatable | the target sheds it                 | 2     | none         |
      | non-repeatable | the deadline passes                 | 1     | may_have_run |
      | repeatable     | the connection breaks after writing | 2     | none         |
      | non-repeatable | the target reports a cancellation   | 1     | not_run      |

  Scenario Outline: A repeatable request that may have run is reported so
    Given the service is repeatable
    When request 1 arrives
    And the connection breaks after writing for request 1
    And <end> for request 1
    Then request 1 got the verdict "may_have_run"

    Examples:
      | end                                   |
      | every target sheds it                 |
      | the target reports a cancellation     |
      | every connection fails before writing |

  Scenario: A request that is cancelled in the queue is not run
    When requests 1 to 6 arrive
    And request 6 is cancelled
    Then request 6 got the verdict "not_run"
    And request 6 was sent 0 times

  Scenario: A request that arrives after its cancellation is not sent
    When request 7 is cancelled
    Then request 7 got the verdict "not_run"
    When request 7 arrives
    Then request 7 was sent 0 times

  Scenario: A request of a closed flow is not sent
    When the flow is closed
    And request 1 arrives
    Then request 1 was sent 0 times
    And request 1 got the verdict "none"

  Scenario Outline: A refused request is reported as not run
    Given <state>
    When request 1 arrives
    Then request 1 got the verdict "not_run"
    And request 1 was refused as "<reason>"

    Examples:
      | state                               | reason                 |
      | all targets leave                   | no_target              |
      | answers take longer than a deadline | deadline_cannot_be_met |

  Scenario: A full queue refuses requests with a retry delay
    When requests 1 to 20 arrive
    Then some request was refused as "queue_full" with a retry delay

  Scenario: A request whose deadline passes in the queue is not run
    When requests 1 to 6 arrive
    And the deadline passes for request 6
    Then request 6 got the verdict "not_run"

  Scenario: A non-repeatable request runs at most once
    Then for any events a non-repeatable request runs at most once
