@processes
Feature: What always holds, under every fault
  Real processes behind a fault-injecting proxy. The records of callers and
  targets are checked: no stream is broken, no request that may not be
  repeated runs twice, what is said not to have run did not run, an answer is
  whole and the caller's own, no team's traffic reaches another's targets.

  Scenario Outline: Nothing is broken when <fault>
    Given a linked "small" deployment
    And callers of every team
    When the callers got 60 answers
    And <fault>
    And the callers got 150 answers
    Then every promise holds

    Examples: Balancers
      | fault                                              |
      | the home of firm-a is killed                       |
      | two balancers are killed at once                   |
      | the home of firm-a is frozen and goes on           |
      | the lease holder of domain a is frozen and goes on |
      | a balancer joins while the platform is down        |
      | every balancer is stopped as planned in turn       |

    Examples: Targets
      | fault                                              |
      | a target is killed and comes back                  |
      | a target is frozen and goes on                     |
      | a target drains by its own word and returns        |
      | an operator drains a target and restores it        |

    Examples: Networks
      | fault                                              |
      | callers' packets are lost, doubled and reordered   |
      | packets between balancers are lost and doubled     |
      | packets are delayed for seconds                    |
      | domain a is cut off from domain b and healed       |
      | domain a is cut off from the platform and healed   |
      | domain a is cut off from everything and healed     |

    Examples: Platform
      | fault                                              |
      | the platform is down for a while                   |
      | the platform is slow                               |
      | the platform loses answers to writes               |
      | flow keys are rotated                              |

    Examples: Two at once
      | fault                                                       |
      | the home of firm-a is killed while the platform is down     |
      | a target is frozen while packets are lost and doubled       |
      | the home of firm-a is killed while packets are lost         |
      | a balancer is stopped as planned while a target drains      |
