Feature: What the caller library never does
  A caller is half of every promise.

  Scenario: A request is sent under exactly one token
    Given a caller that opens a flow
    When the flow is granted as "first" and later as "second" too
    And the caller sends a request that may not be repeated
    And "second" is granted again before the answer
    Then every copy of the request carries the token "first"
    And the token "second" is closed

  Scenario: A request that was never sent was not run
    Given a caller that opens a flow
    When nobody answers until the deadline
    Then the outcome is "not_run"

  Scenario: A request whose home is gone is in doubt
    Given a caller that opens a flow
    When the flow is granted as "first"
    And the caller sends a request that may not be repeated
    And 3 balancers say that the home is gone
    Then the outcome is "may_have_run"
    And no copy is sent under another token

  Scenario: A repeated request of which one copy may have run stays in doubt
    Given a caller that opens a flow
    When the flow is granted as "first"
    And the home is gone for its first try, and its second is not run
    Then the outcome is "may_have_run"
