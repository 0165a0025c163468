@processes
Feature: A planned stop finishes requests; a leaving target gets no new work

  Scenario: Long requests in progress are finished by the stopping home
    Given a "small" deployment
    And callers of every team
    When the callers got 60 answers
    And the home of firm-a is stopped as planned
    And the callers got 100 answers
    Then every promise holds
    And no request has the verdict may_have_run

  Scenario Outline: A leaving target gets no new work, as reported by <source>
    Given a "small" deployment
    And callers of every team
    When the callers got 60 answers
    And target "guidance-1" of firm-a is reported as leaving by <source>
    And the callers got 500 answers
    Then every promise holds
    And its streams have moved

    Examples:
      | source            |
      | the target itself |
      | an operator       |
      | the instance list |
