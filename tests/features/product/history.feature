Feature: The checker of histories catches what it must

  Scenario: A good history has no fault
    Given a good history
    Then the checker finds 0 faults

  Scenario Outline: A bad history is caught
    Given a good history
    When <what>
    Then the checker finds "<fault>"

    Examples:
      | what                                             | fault               |
      | an unrepeatable request runs twice               | requests_doubled    |
      | a request said not to have run has run           | not_run_but_ran     |
      | a request said to have run has not               | ran_but_no_run      |
      | an answer is not whole                           | answers_incomplete  |
      | a request gets no final answer                   | requests_unanswered |
      | a stream goes silent                             | streams_broken      |
      | a target gets another team's work                | wrong_service       |
      | a drained target gets work after 4 s             | work_after_leaving  |
      | a target that drains itself gets work after 4 s  | work_after_leaving  |

  Scenario Outline: What is allowed is no fault
    Given a good history
    When <what>
    Then the checker finds 0 faults

    Examples:
      | what                                 |
      | a repeatable request runs twice      |
      | a request in doubt has run           |
      | a drained target gets work after 2 s |

  Scenario: Imbalance is work over true capacity
    Then work of 300 and 100 on capacities of 3 and 1 has imbalance 1.0
    And work of 200 and 200 on capacities of 3 and 1 has imbalance 1.5
