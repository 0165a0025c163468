Feature: Targets in slow start get at most their stated rate from all balancers
  Guards against overloading targets that have just started.

  Scenario Outline: No target in slow start exceeds its rate limit in any second
    Given <balancers> balancers, and <share> of the targets in slow start
    And a rate of <rate> requests a second for each of these, and balancer views: <views>
    When the balancers place flows for 6 s
    Then no target in slow start gets more than <rate> times 1.5 plus 5 requests in any second
    And at least <used> of the stated rate is used

    Examples:
      | balancers | share   | rate | views  | used |
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

  Scenario Outline: Unused rate of an idle time is not used at once afterwards
    Given <balancers> balancers whose targets entered slow start <idle_ms> ms ago, without any flow since
    When each balancer sends as many flows as allowed in a second
    Then a target with a rate of 10 requests a second gets at most 20 flows

    Examples:
      | balancers | idle_ms |
      | 1         | 5000    |
      | 40        | 1000    |
      | 40        | 5000    |
      | 400       | 5000    |
      | 400       | 60000   |

  Scenario: Without a limit the rate is exceeded
    Given 99 balancers, and a third of the targets in slow start
    And a rate of 2 requests a second for each of these, and balancer views: alike
    When the balancers place flows for 6 s without a limit
    Then some target in slow start exceeds its rate limit

  Scenario Outline: One balancer limits its flows to targets in slow start
    Given a balancer in domain a with the targets
      | target | service | domain | number |
      | warm-1 | guide   | a      | 11     |
      | cold-1 | guide   | a      | 12     |
      | cold-2 | tiles   | a      | 13     |
    And the routes
      | route | address         | services |
      | guide | 198.51.0.1:8443 | guide    |
      | tiles | 198.51.0.2:8443 | tiles    |
    And targets in slow start for 2000 ms take <rate> requests a second
    And a fleet of <balancers> balancers
    When cold-1 and cold-2 enter slow start
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

  Scenario: Copies of an opening count against the rate
    Given a balancer in domain a with the targets
      | target | service | domain | number |
      | cold-1 | guide   | a      | 12     |
    And the routes
      | route | address         | services |
      | guide | 198.51.0.1:8443 | guide    |
    And targets in slow start for 2000 ms take 2 requests a second
    And a fleet of 1 balancers
    When cold-1 enters slow start
    And 700 ms pass
    And client 1 opens a flow to 198.51.0.1:8443
    And 200 ms pass
    And client 1 opens a flow to 198.51.0.1:8443
    Then the opening of client 1 was sent 1 times, to different targets

  Scenario: Targets of a domain whose evacuation ends enter slow start
    Given a balancer in domain a with the targets
      | target | service | domain | number |
      | back-1 | guide   | a      | 12     |
    And the routes
      | route | address         | services |
      | guide | 198.51.0.1:8443 | guide    |
    And targets in slow start for 2000 ms take 10 requests a second
    And a fleet of 99 balancers
    And the domains a are evacuated
    When the domains a are no longer evacuated
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
