@processes
Feature: Every promise holds under every fault
  Guards against broken streams, requests that run twice or are wrongly
  reported as not run, incomplete answers and traffic between teams.

  Scenario Outline: Every promise holds when <fault>
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
      | the home of firm-a is frozen and resumed           |
      | the lease holder of domain a is frozen and resumed |
      | a balancer joins while the platform is down        |
      | every balancer is stopped as planned in turn       |

    Examples: Targets
      | fault                                       |
      | a target is killed and restarted            |
      | a target is frozen and resumed              |
      | a target drains itself and returns          |
      | an operator drains a target and restores it |

    Examples: Networks
      | fault                                                 |
      | callers' packets are lost, duplicated and reordered   |
      | packets between balancers are lost and duplicated     |
      | packets are delayed for seconds                       |
      | domain a is cut off from domain b and reconnected     |
      | domain a is cut off from the platform and reconnected |
      | domain a is cut off from everything and reconnected   |

    Examples: Platform
      | fault                                |
      | the platform is down for a while     |
      | the platform is slow                 |
      | the platform loses answers to writes |
      | flow keys are rotated                |

    Examples: Two at once
      | fault                                                    |
      | the home of firm-a is killed while the platform is down  |
      | a target is frozen while packets are lost and duplicated |
      | the home of firm-a is killed while packets are lost      |
      | a balancer is stopped as planned while a target drains   |
