@processes
Feature: An accepted configuration is in force everywhere and never reverts

  Scenario Outline: A change is in force on every balancer although <fault>
    Given a linked "small" deployment
    When the fault "<fault>" begins
    And firm-a changes the deadline of its confirmations to 4321 ms
    Then every balancer holds the stored configuration
    And no balancer ever held an older version after a newer one

    Examples:
      | fault                              |
      | the platform answers late          |
      | the platform loses two answers     |
      | the platform forgets each change   |
      | domain a cannot reach the platform |
      | a balancer restarts                |

  Scenario: A domain that is cut off is reported, and catches up afterwards
    Given a linked "small" deployment
    When domain a is cut off from everything
    And firm-a changes the deadline of its confirmations to 4321 ms
    Then the change is not in force, and the tool names domain "a"
    When domain a is reconnected
    Then every balancer holds the stored configuration

  Scenario: Of two concurrent changes one is refused as a conflict
    Given a "small" deployment
    When two operators change firm-a from the same version
    Then one change is stored and the other operator sees the difference

  Scenario: An invalid object in the store leaves the last valid one in force
    Given a "small" deployment
    And callers of every team
    When an invalid document of firm-a is written to the store
    And the callers got 60 answers
    Then the status shows the error in "team/firm-a"
    And every promise holds

  Scenario: A drained instance moves its flows and gets no new ones
    Given a "small" deployment
    And callers of every team
    When the callers got 60 answers
    And an operator drains the home of firm-a
    And the callers got 150 answers
    Then the drained instance holds no flows
    And every promise holds
