@processes
Feature: Real balancers keep their promises under faults from outside
  Two balancers in each of three failure domains, with clients, targets,
  routers and a store in front of, behind and beside them.

  Scenario Outline: Faults of one kind break no promise
    Given the faults <faults>
    When they are played on 2 balancers in each domain
    Then no promise is broken
    And at least <served> of all requests were served

    Examples: planned work
      | faults                                | served |
      | a balancer is stopped, and another    | 0.99   |
      | targets are replaced one by one       | 0.99   |
      | targets leave as routes change        | 0.99   |
      | settings change, good and bad         | 0.99   |

    Examples: failures
      | faults                                | served |
      | balancers are killed and paused       | 0.9    |
      | a target is cut off, and another      | 0.9    |
      | targets crash and addresses are reused | 0.9   |
      | the store fails in every way          | 0.95   |

  Scenario Outline: Seeds that failed once hold now
    When seed <seed> is played on <balancers> balancers in each domain
    Then no promise is broken

    Examples:
      | seed | balancers |
      | 201  | 4         |
      | 1023 | 4         |

  Scenario Outline: Random faults break no promise
    When seed <seed> is played on 2 balancers in each domain
    Then no promise is broken

    Examples:
      | seed |
      | 11   |
      | 12   |
