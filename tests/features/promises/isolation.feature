@processes
Feature: A packet never reaches another service, nor one firm another's

  Scenario: An address moves between rival firms under traffic
    Given a linked "small" deployment
    And callers of every team
    When the callers got 60 answers
    And the address of firm-a's tiles moves to firm-b
    And the callers got 120 answers
    Then no target ran work of another team

  Scenario: An address is not granted while a domain may still serve it
    Given a linked "small" deployment
    When domain a is cut off from everything
    And firm-a gives up its tiles address and firm-b asks for it
    Then the address stays with nobody as long as domain a is cut off
    When domain a is healed
    Then the address is granted to firm-b

  Scenario: The address of a target comes back as another team's target
    Given a "small" deployment
    And callers of every team
    When the callers got 60 answers
    And another team's target takes the address of firm-a/guidance-1
    And the callers got 150 answers
    Then no target ran work of another team
    And some balancer refused "target_replaced"

  Scenario: Callers of one firm are refused at another's addresses
    Given a "small" deployment
    When a caller of firm-b asks firm-a's confirmations
    Then the outcome of the stranger is "not_run"
    And no target ran anything
    And some balancer refused "caller_not_allowed"

  Scenario: Bad packets change nothing
    Given a "small" deployment
    And callers of every team
    When 100000 bad packets of every sort are sent to a balancer
    And the callers got 60 answers
    Then some balancer refused "malformed_packet"
    And every promise holds
