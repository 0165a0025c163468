@processes
Feature: No packet reaches another service or another team's targets

  Scenario: An address moves between teams under traffic
    Given a linked "small" deployment
    And callers of every team
    When the callers got 60 answers
    And the address of firm-a's tiles moves to firm-b
    And the callers got 120 answers
    Then no target ran work of another team

  Scenario: An address is not granted while a domain may still serve it
    Given a linked "small" deployment
    When domain a is cut off from everything
    And firm-a releases its tiles address and firm-b requests it
    Then the address is not granted while domain a is cut off
    When domain a is reconnected
    Then the address is granted to firm-b

  Scenario: The address of a target is reused by another team's target
    Given a "small" deployment
    And callers of every team
    When the callers got 60 answers
    And another team's target reuses the address of firm-a/guidance-1
    And the callers got 150 answers
    Then no target ran work of another team
    And some balancer refused "target_replaced"

  Scenario: Callers of one team are refused at another team's addresses
    Given a "small" deployment
    When a caller of firm-b sends a request to firm-a's confirmations
    Then the outcome for the caller of firm-b is "not_run"
    And no target ran a request
    And some balancer refused "caller_not_allowed"

  Scenario: Invalid packets have no effect
    Given a "small" deployment
    And callers of every team
    When 100000 invalid packets of every kind are sent to a balancer
    And the callers got 60 answers
    Then some balancer refused "malformed_packet"
    And every promise holds
