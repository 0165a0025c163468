Feature: All balancers of a domain start at once and soon hold their data
  Guards against slow starts and load on the store, in simulated time.

  Scenario Outline: Members receive their data as fast as their links allow
    Given <members> members on links of <mbps> Mbit/s, and <routes> routes
    When all start at once
    Then 90 % hold routes and targets within <all_s> s
    And each of them lists each kind once
    And after 15 s one of them reads the store for all

    Examples:
      | members | mbps | routes | all_s |
      | 1       | 20   | 2000   | 0.3   |
      | 40      | 2    | 100    | 0.5   |
      | 40      | 2    | 2000   | 2.0   |
      | 40      | 2    | 20000  | 14.0  |
      | 40      | 5    | 2000   | 0.8   |
      | 40      | 5    | 20000  | 6.0   |
      | 40      | 20   | 2000   | 0.3   |
      | 40      | 20   | 20000  | 1.5   |
      | 400     | 20   | 2000   | 1.5   |

  Scenario Outline: Faults of the store delay a start only briefly
    Given 40 members on links of 20 Mbit/s, and 2000 routes
    When all start at once, and the store <fault> for 3 s
    Then 90 % hold routes and targets within <most_s> s
    And no more than <calls> calls for each kind are made in 15 s

    Examples:
      | fault                    | most_s | calls |
      | is slow                  | 0.8    | 47    |
      | rejects a third of calls | 2.0    | 100   |
      | stops halfway            | 5.0    | 100   |

  Scenario Outline: Segments that wait for their targets do not delay a start
    Given <members> members on links of <mbps> Mbit/s, and 100 routes
    And 3000 targets, for which segments wait
    When all start at once
    Then 90 % hold routes and targets within <all_s> s
    And each of them lists each kind once

    Examples:
      | members | mbps | all_s |
      | 12      | 5    | 1.8   |
      | 100     | 5    | 1.8   |
      | 100     | 100  | 1.0   |

  Scenario: Only the first of several starting members becomes store reader
    Given 40 members on links of 20 Mbit/s, and 2000 routes
    When all start at once
    Then no more than 47 calls for each kind are made in 15 s
