@processes
Feature: A planned stop cuts nothing, and a leaving target gets nothing new

  Scenario: Long requests in progress are finished by the stopping home
    Given a "small" deployment
    And callers of every team
    When the callers got 60 answers
    And the home of firm-a is stopped as planned
    And the callers got 100 answers
    Then every promise holds
    And no request is in doubt

  Scenario Outline: A target that leaves gets no new work, known by <word>
    Given a "small" deployment
    And callers of every team
    When the callers got 60 answers
    And target "guidance-1" of firm-a leaves by <word>
    And the callers got 500 answers
    Then every promise holds
    And its streams have moved

    Examples:
      | word                |
      | its own word        |
      | the operator's word |
      | the instance list   |
