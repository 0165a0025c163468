Feature: The history checker finds each kind of fault

  Scenario: A valid history has no fault
    Given a valid history
    Then the checker finds 0 faults

  Scenario Outline: A fault is found
    Given a valid history
    When <what>
    Then the checker finds "<fault>"

    Examples:
      | what                                            | fault               |
      | a non-repeatable request runs twice             | requests_doubled    |
      | a request reported as not run has run           | not_run_but_ran     |
      | a request reported as run has not run           | ran_but_no_run      |
      | an answer is incomplete                         | answers_incomplete  |
      | a request gets no final answer                  | requests_unanswered |
      | a stream goes silent                            | streams_broken      |
      | a target gets another team's work               | wrong_service       |
      | a drained target gets work after 4 s            | work_after_leaving  |
      | a target that drains itself gets work after 4 s | work_after_leaving  |

  Scenario Outline: An allowed event is not a fault
    Given a valid history
    When <what>
    Then the checker finds 0 faults

    Examples:
      | what                                       |
      | a repeatable request runs twice            |
      | a request reported as may_have_run has run |
      | a drained target gets work after 2 s       |

  Scenario: Imbalance is the maximum over the mean of work per capacity
    Then work of 300 and 100 on capacities of 3 and 1 has imbalance 1.0
    And work of 200 and 200 on capacities of 3 and 1 has imbalance 1.5
