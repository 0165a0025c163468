@processes
Feature: Balancer processes keep their promises under injected faults
  Balancers run in three failure domains with clients, targets, routers and a
  store.

  Scenario Outline: No promise is broken as <faults>
    Given the faults <faults>
    When they are injected with 2 balancers in each domain
    Then no promise is broken
    And at least <served> of all requests are served
    And at most <slow> of them are slow

    Examples: planned work
      | faults                                 | served | slow |
      | a balancer of each domain is stopped, then the others | 0.99 | 0.003 |
      | targets are replaced one by one        | 0.99   | 0.01 |
      | targets leave as routes change         | 0.99   | 0.01 |
      | settings change, good and bad          | 0.99   | 0.01 |

    Examples: failures
      | faults                                                 | served | slow |
      | balancers are killed and paused                        | 0.9    | 0.1  |
      | links to several targets fail                          | 0.9    | 0.1  |
      | targets crash and addresses are reused                 | 0.9    | 0.1  |
      | the store has faults of every kind                     | 0.95   | 0.05 |
      | the store drops history that no balancer has read      | 0.95   | 0.05 |
      | a target leaves as a balancer starts without the store | 0.95   | 0.1  |

  Scenario Outline: Seeds of past failures break no promise
    When the faults of seed <seed> are injected with <balancers> balancers in each domain
    Then no promise is broken

    Examples:
      | seed | balancers |
      | 201  | 4         |
      | 1023 | 4         |

  Scenario Outline: Random faults break no promise
    When the faults of seed <seed> are injected with 2 balancers in each domain
    Then no promise is broken

    Examples:
      | seed |
      | 11   |
      | 12   |
