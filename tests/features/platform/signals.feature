@processes
Feature: Signals in a forced order
  Processes are stopped at the stages of a start and an end, and get signals
  while they are stopped.

  Background:
    Given a store with 1 targets of guide in domain a
    And configuration version 5 routes 127.0.1.1:8443 to guide

  # Guards against signals that end a balancer during or after its planned
  # stop, with another status than 0.
  Scenario Outline: Signals in series during a stop leave the status at 0
    Given a <form> balancer with a short grace period that is ready
    When it gets SIGTERM, and from then on <signals> until it is gone
    Then its status is 0

    Examples:
      | form     | signals |
      | module   | SIGHUP  |
      | module   | SIGINT  |
      | module   | SIGTERM |
      | deployed | SIGHUP  |

  # Guards against the same fault in liftmountd.
  Scenario Outline: Signals in series during a stop of liftmountd
    Given a liftmountd that is ready
    When it gets SIGTERM, and from then on <signals> until it is gone
    Then its status is 0

    Examples:
      | signals |
      | SIGHUP  |
      | SIGINT  |
      | SIGTERM |

  # Guards against a stop that is lost as signals come faster than they are
  # handled: what wakes the event loop holds a few hundred signals.
  Scenario: A signal to stop after many others is handled
    When SIGHUP comes 1000 times and then SIGTERM within a turn of the event loop
    Then SIGHUP is handled once and SIGTERM once
