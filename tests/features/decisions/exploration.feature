Feature: All interleavings of small worlds
  Bounded exhaustive exploration with the real decisions.

  Scenario: Two callers, two balancers, one restart, one copy, one cancellation
    When every interleaving of requests is explored
    Then no request ran twice and no verdict was wrong in more than 1000 states

  Scenario: An address moves between two teams on two balancers
    When every interleaving of the move is explored
    Then the two teams were never served at once in more than 50 states
