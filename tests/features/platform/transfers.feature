@processes
Feature: Slow transfers complete
  A large configuration over a slow link is received whole, without timeouts
  that repeat the transfer and without false target failures.

  Scenario Outline: A call times out for lack of progress, not for its duration
    Given a store that holds 1700 routes and sends 110000 bytes per second
    When <share> of the list of routes arrives
    Then the list is <outcome> after <from_ms> to <until_ms> ms

    Examples:
      | share | outcome   | from_ms | until_ms |
      | all   | read      | 1500    | 8000     |
      | half  | timed out | 1000    | 6000     |
      | none  | timed out | 900     | 3000     |

  Scenario: The age of a list counts from the beginning of its answer
    Given a store that holds 1700 routes and sends 110000 bytes per second
    When all of the list of routes arrives
    Then its age is the duration of its transfer, and routes are confirmed as of its start

  Scenario: A balancer starts although its routes take longer than a call's wait
    Given a store with 3 targets of guide in domain a
    And a configuration of 1700 routes
    And the store sends 110000 bytes per second
    When a balancer in domain a starts
    Then it becomes ready
    And it requested each list once, and never lost the store

  Scenario: The event loop continues a list that the startup loop began
    Given a store that holds 1700 routes and sends 110000 bytes per second
    When a balancer iterates until its list of routes has begun to arrive
    And its lists are passed to the event loop
    Then the event loop receives all 1700 routes, and no list was requested twice

  Scenario: A list that stalls in the event loop is requested again
    Given a store that holds 1700 routes and sends 110000 bytes per second
    And a third of each answer arrives
    When a balancer iterates until its list of routes has begun to arrive
    And its lists are passed to the event loop
    And answers arrive whole after the store is reported lost
    Then the event loop receives all 1700 routes

  Scenario: A change that takes longer than a watch's wait is applied
    Given a store with 3 targets of guide in domain a
    And configuration version 5 routes 127.0.1.1:8443 to guide
    And a balancer in domain a that is ready
    When the test waits 3000 ms
    And the store sends 110000 bytes per second
    And a configuration of 1700 routes
    Then all balancers hold version 9 within 9000 ms

  Scenario Outline: A feed's first list when the feed is paused or a peer provides the list
    Given a feed whose first list is in progress
    When <event>
    Then the list <outcome>, and its next call is <call>

    Examples:
      | event                                      | outcome      | call    |
      | it is paused                               | continues    | none    |
      | it is paused, and a peer provides the list | is cancelled | none    |
      | a peer provides the list                   | is cancelled | a watch |
      | it is paused and resumed                   | continues    | a watch |

  Scenario Outline: Failed probes are ignored while the balancer's own link is busy
    Given a balancer with one target that has just <transfer>
    When four probes of the target, sent <after_ms> ms later, are <result>
    Then by its probes the target is <health>

    Examples:
      | transfer                  | after_ms | result   | health |
      | transferred nothing       | 0        | silent   | dead   |
      | transferred 4000 bytes    | 0        | silent   | dead   |
      | transferred 30000 bytes   | 0        | silent   | alive  |
      | transferred 30000 bytes   | 900      | silent   | alive  |
      | transferred 30000 bytes   | 1100     | silent   | dead   |
      | transferred 30000 bytes   | 0        | answered | alive  |
      | got routes within 1050 ms | 0        | silent   | alive  |
      | got routes within 5 ms    | 0        | silent   | dead   |
