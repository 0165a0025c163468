@processes
Feature: What takes long to arrive is received, not asked for anew
  A configuration grows as operators like; links stay as they are.

  Scenario Outline: A call ends for want of progress, not for its whole time
    Given a store that holds 1700 routes and sends 110000 bytes a second
    When <share> of a list of them arrives
    Then the list is <outcome> after <from_ms> to <until_ms> ms

    Examples:
      | share | outcome  | from_ms | until_ms |
      | all   | read     | 1500    | 8000     |
      | half  | given up | 1000    | 6000     |
      | none  | given up | 900     | 3000     |

  Scenario: A list is as old as the beginning of its answer
    Given a store that holds 1700 routes and sends 110000 bytes a second
    When all of a list of them arrives
    Then its age is what its transfer took, and so old is what is known of routes

  Scenario: A balancer starts although its routes take longer than a call may wait
    Given a store with 3 targets of guide in domain a
    And a configuration of 1700 routes
    And the store sends 110000 bytes a second
    When a balancer in domain a starts
    Then it becomes ready
    And it asked for each list once, and never lost the store

  Scenario: What came before the event loop is kept
    Given a store that holds 1700 routes and sends 110000 bytes a second
    When a balancer takes turns until its list of routes has begun to arrive
    And its lists are handed over to the event loop
    Then the loop gets all 1700 routes, and no list was asked for twice

  Scenario: A list that stalls after it was handed over is asked for anew
    Given a store that holds 1700 routes and sends 110000 bytes a second
    And a third of each answer arrives
    When a balancer takes turns until its list of routes has begun to arrive
    And its lists are handed over to the event loop
    And answers arrive whole once the store is said to be lost
    Then the loop gets all 1700 routes

  Scenario: A change that takes longer than a watch may wait is taken over
    Given a store with 3 targets of guide in domain a
    And the configuration version 5 leads 127.0.1.1:8443 to guide
    And a balancer in domain a that is ready
    When 3000 ms go by
    And the store sends 110000 bytes a second
    And a configuration of 1700 routes
    Then all balancers hold version 9 within 9000 ms

  Scenario Outline: Who reads the store when another one begins to, or tells
    Given a feed whose first list is under way
    When <event>
    Then the list <goes_on>, and its next call is <call>

    Examples:
      | event                                     | goes_on   | call    |
      | it is told to rest                        | goes on   | none    |
      | it is told to rest, and a peer tells all  | is ended  | none    |
      | a peer tells all                          | is ended  | a watch |
      | it is told to rest, and to read again     | goes on   | a watch |

  Scenario Outline: Silence of a target says nothing while the own link is busy
    Given a balancer that knows one target, and has just <transfer>
    When four probes of the target, sent <after_ms> ms later, are <result>
    Then by its probes the target is <belief>

    Examples:
      | transfer                  | after_ms | result   | belief |
      | transferred nothing       | 0        | silent   | dead   |
      | transferred 4000 bytes    | 0        | silent   | dead   |
      | transferred 30000 bytes   | 0        | silent   | alive  |
      | transferred 30000 bytes   | 900      | silent   | alive  |
      | transferred 30000 bytes   | 1100     | silent   | dead   |
      | transferred 30000 bytes   | 0        | answered | alive  |
      | got routes within 1050 ms | 0        | silent   | alive  |
      | got routes within 5 ms    | 0        | silent   | dead   |
