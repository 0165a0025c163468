Feature: All interleavings of events in small systems
  Guards against faults that only one order of events shows.

  Scenario: Two callers and two balancers with a restart, a copy and a cancellation
    When every interleaving of requests is explored
    Then in more than 1000 states no request ran twice and no verdict was wrong

  Scenario: An address moves between two teams on two balancers
    When every interleaving of the move is explored
    Then in more than 50 states the two teams were never served at once
