@processes
Feature: Real balancers keep their promises under faults from outside
  Two balancers in each of three failure domains, with clients, targets,
  routers and a store in front of, behind and beside them.

  Scenario Outline: No promise is broken as <faults>
    Given the faults <faults>
    When they are played on 2 balancers in each domain
    Then no promise is broken
    And at least <served> of all requests were served
    And at most <slow> of them took long

    Examples: planned work
      | faults                                 | served | slow |
      | a balancer of each domain is stopped, then the others | 0.99 | 0.003 |
      | targets are replaced one by one        | 0.99   | 0.01 |
      | targets leave as routes change         | 0.99   | 0.01 |
      | settings change, good and bad          | 0.99   | 0.01 |

    Examples: failures
      | faults                                 | served | slow |
      | balancers are killed and paused        | 0.9    | 0.1  |
      | a target is cut off, and another       | 0.9    | 0.1  |
      | targets crash and addresses are reused | 0.9    | 0.1  |
      | the store fails in every way           | 0.95   | 0.05 |
      | the store forgets what nobody could read | 0.95 | 0.05 |
      | a target leaves as a balancer starts without the store | 0.95 | 0.1 |

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
