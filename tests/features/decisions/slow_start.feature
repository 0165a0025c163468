Feature: Cold targets get what they bear, summed over all balancers
  A service states how many requests a second a target bears while it is cold.

  Scenario Outline: No cold target gets more than the rule allows in any second
    Given <balancers> balancers that send to <cold> targets that turn cold
    And each of these bears <rate> requests a second, and the balancers' views <views>
    When they place flows for 6 s
    Then no cold target gets more than <rate> times 1.5, and 5 more, in any second
    And at least <used> of the stated rate is used

    Examples:
      | balancers | cold    | rate | views  | used |
      | 9         | a third | 2    | alike  | 0.10 |
      | 99        | a third | 2    | differ | 0.05 |
      | 399       | a third | 2    | differ | 0.01 |
      | 99        | a third | 10   | differ | 0.05 |
      | 99        | a third | 50   | differ | 0.05 |
      | 9         | all     | 2    | alike  | 0.70 |
      | 99        | all     | 2    | differ | 0.70 |
      | 399       | all     | 2    | differ | 0.30 |
      | 99        | all     | 10   | differ | 0.40 |
      | 399       | all     | 10   | differ | 0.20 |

  Scenario Outline: What is not sent in a quiet time does not come at once after it
    Given <balancers> balancers whose targets turned cold <quiet_ms> ms ago, without any flow since
    When each sends what it may within a second
    Then a target that bears 10 requests a second gets at most 20

    Examples:
      | balancers | quiet_ms |
      | 1         | 5000     |
      | 40        | 1000     |
      | 40        | 5000     |
      | 400       | 5000     |
      | 400       | 60000    |

  Scenario: Without a limit the rule would be broken
    Given 99 balancers that send to a third targets that turn cold
    And each of these bears 2 requests a second, and the balancers' views alike
    When they place flows for 6 s without a limit
    Then some cold target gets more than the rule allows

  Scenario Outline: One balancer's cold targets
    Given a balancer in domain a with the targets
      | target | service | domain | number |
      | warm-1 | guide   | a      | 11     |
      | cold-1 | guide   | a      | 12     |
      | cold-2 | tiles   | a      | 13     |
    And the routes
      | route | address         | services |
      | guide | 198.51.0.1:8443 | guide    |
      | tiles | 198.51.0.2:8443 | tiles    |
    And targets that are cold for 2000 ms bear <rate> requests a second
    And the balancer knows of <balancers> balancers
    When cold-1 and cold-2 turn cold
    And <wait_ms> ms pass
    And clients 1 to 20 open flows to <address>
    Then <count> flows go to <target>, the others <others>

    Examples:
      | rate | balancers | wait_ms | address         | count | target | others       |
      | 0    | 1         | 0       | 198.51.0.2:8443 | 20    | cold-2 | are none     |
      | 10   | 0         | 500     | 198.51.0.1:8443 | 20    | warm-1 | are none     |
      | 10   | 0         | 500     | 198.51.0.2:8443 | 0     | cold-2 | are refused  |
      | 10   | 1         | 200     | 198.51.0.2:8443 | 1     | cold-2 | are refused  |
      | 10   | 1         | 200     | 198.51.0.1:8443 | 1     | cold-1 | go to warm-1 |
      | 10   | 99        | 200     | 198.51.0.2:8443 | 0     | cold-2 | are refused  |
      | 10   | 99        | 2100    | 198.51.0.2:8443 | 20    | cold-2 | are none     |

  Scenario: Copies of an opening count as well
    Given a balancer in domain a with the targets
      | target | service | domain | number |
      | cold-1 | guide   | a      | 12     |
    And the routes
      | route | address         | services |
      | guide | 198.51.0.1:8443 | guide    |
    And targets that are cold for 2000 ms bear 2 requests a second
    And the balancer knows of 1 balancers
    When cold-1 turns cold
    And 700 ms pass
    And client 1 opens a flow to 198.51.0.1:8443
    And 200 ms pass
    And client 1 opens a flow to 198.51.0.1:8443
    Then the opening of client 1 was sent 1 times, to different targets

  Scenario: Targets of a domain that is taken back count as cold
    Given a balancer in domain a with the targets
      | target | service | domain | number |
      | back-1 | guide   | a      | 12     |
    And the routes
      | route | address         | services |
      | guide | 198.51.0.1:8443 | guide    |
    And targets that are cold for 2000 ms bear 10 requests a second
    And the balancer knows of 99 balancers
    And the domains a are evacuated
    When the domains a are evacuated no more
    And clients 1 to 20 open flows to 198.51.0.1:8443
    Then 0 flows go to back-1, the others are refused
    When 2100 ms pass
    And clients 21 to 40 open flows to 198.51.0.1:8443
    Then 20 flows go to back-1, the others are none

  Scenario Outline: Openings go to the regions that a route allows
    Given a balancer in domain a with the targets
      | target | service | domain | number |
      | near-1 | guide   | a      | 11     |
      | near-2 | guide   | b      | 12     |
      | far-1  | guide   | c      | 13     |
    And the regions a=east, b=east, c=west
    And the routes
      | route | address         | services | regions   |
      | any   | 198.51.0.1:8443 | guide    | none      |
      | east  | 198.51.0.2:8443 | guide    | east      |
      | west  | 198.51.0.3:8443 | guide    | west      |
      | both  | 198.51.0.4:8443 | guide    | east west |
      | away  | 198.51.0.5:8443 | guide    | north     |
    And the domains <evacuated> are evacuated
    When clients 1 to 30 open flows to <address>
    Then they go to <targets>

    Examples:
      | address         | evacuated | targets                |
      | 198.51.0.1:8443 | none      | near-1, near-2, far-1  |
      | 198.51.0.2:8443 | none      | near-1, near-2         |
      | 198.51.0.3:8443 | none      | far-1                  |
      | 198.51.0.4:8443 | none      | near-1, near-2, far-1  |
      | 198.51.0.5:8443 | none      | nowhere: no_target     |
      | 198.51.0.2:8443 | a         | near-2                 |
      | 198.51.0.2:8443 | a, b      | nowhere: no_target     |

  Scenario: A copy of an opening stays in the regions that its route allows
    Given a balancer in domain a with the targets
      | target | service | domain | number |
      | near-1 | guide   | a      | 11     |
      | far-1  | guide   | c      | 13     |
    And the regions a=east, c=west
    And the routes
      | route | address         | services | regions |
      | east  | 198.51.0.2:8443 | guide    | east    |
    When client 1 opens a flow to 198.51.0.2:8443
    And 300 ms pass
    And client 1 opens a flow to 198.51.0.2:8443
    Then no opening of client 1 went to far-1
