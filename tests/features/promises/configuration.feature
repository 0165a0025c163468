@processes
Feature: An accepted configuration is in force everywhere and never reverts

  Scenario Outline: A change is in force on every balancer although <fault>
    Given a linked "small" deployment
    When <fault> begins
    And firm-a changes the deadline of its confirmations to 4321 ms
    Then every balancer holds what the store holds
    And no balancer ever held an older version after a newer one

    Examples:
      | fault                                 |
      | the platform answers late             |
      | the platform loses two answers        |
      | the platform forgets each change      |
      | domain a cannot reach the platform    |
      | a balancer starts anew                |

  Scenario: A domain that is cut off is named, and catches up once healed
    Given a linked "small" deployment
    When domain a is cut off from everything
    And firm-a changes the deadline of its confirmations to 4321 ms
    Then the change is not in force, and the tool names domain "a"
    When domain a is healed
    Then every balancer holds what the store holds

  Scenario: Two operators race, and one of them is told
    Given a "small" deployment
    When two operators change firm-a from the same version
    Then one change is stored and the other operator sees the difference

  Scenario: An invalid object in the store leaves the last valid one in force
    Given a "small" deployment
    And callers of every team
    When something invalid is written over firm-a past the tool
    And the callers got 60 answers
    Then the status tells what is wrong with "team/firm-a"
    And every promise holds

  Scenario: A drained instance asks its callers to move and gets no flows
    Given a "small" deployment
    And callers of every team
    When the callers got 60 answers
    And an operator drains the home of firm-a
    And the callers got 150 answers
    Then the drained instance holds no flows
    And every promise holds
