Feature: Requests of the caller library
  Guards against requests that run twice or are wrongly reported as not run.

  Scenario: A request is sent under exactly one token
    Given a caller that opens a flow
    When the flow is granted as "first" and then as "second"
    And the caller sends a non-repeatable request
    And "second" is granted again before the answer
    Then every copy of the request carries the token "first"
    And the token "second" is closed

  Scenario: A request that was never sent was not run
    Given a caller that opens a flow
    When no balancer answers until the deadline
    Then the outcome is "not_run"

  Scenario: A request whose home is gone may have run
    Given a caller that opens a flow
    When the flow is granted as "first"
    And the caller sends a non-repeatable request
    And 3 balancers answer that the home is gone
    Then the outcome is "may_have_run"
    And no copy is sent under another token

  Scenario: A repeated request may have run if one of its copies may have
    Given a caller that opens a flow
    When the flow is granted as "first"
    And its first attempt finds the home gone and its second is not run
    Then the outcome is "may_have_run"
