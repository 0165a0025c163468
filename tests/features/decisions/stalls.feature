Feature: Targets that hang get no new flows, whoever saw it
  They say that they are well, take a request, and never answer.

  Scenario Outline: A request that waits several times as long as answers take is a stall
    Given answers of guide that take <answer> ms
    When a request to guide waits for <wait> ms, <how>
    Then it is a stall: <stall>

    Examples:
      | answer | wait  | how                          | stall |
      | 25     | 230   | no more                      | no    |
      | 25     | 280   | no more                      | yes   |
      | 100    | 780   | no more                      | no    |
      | 100    | 840   | no more                      | yes   |
      | 900    | 1480  | no more                      | no    |
      | 900    | 1540  | no more                      | yes   |
      | 25     | 2000  | and is answered after 200 ms | no    |
      | 25     | 400   | and sends more after 200 ms  | no    |
      | 25     | 2000  | and its flow ends            | no    |
      | 25     | 2000  | while the own link is busy   | no    |
      | 25     | 2000  | while the balancer stands still | no |

  Scenario Outline: Nobody is convinced by one balancer
    Given a member with 9 others
    When a target is seen to stall by, in this order: <events>
    Then it is held out for <hold> ms, or up to twice as long

    Examples:
      | events                                   | hold |
      | me                                       | 0    |
      | b                                        | 0    |
      | b, b                                     | 0    |
      | b, me                                    | 2000 |
      | b, c                                     | 2000 |
      | b, wait 1600, c                          | 0    |
      | b 1600 ms ago, c                         | 0    |
      | b 1000 ms ago, c                         | 2000 |
      | b, wait 1600, b, c                       | 2000 |
      | b, wait 1600, b again, c                 | 0    |
      | b, c, d                                  | 2000 |
      | b, c, wait 2500, b                       | 0    |
      | b, c, wait 2500, b, c                    | 4000 |
      | b, c, wait 2500, b, c, wait 4500, b, c   | 8000 |
      | b, c, wait 2500, b, c, wait 4500, b, c, wait 8500, b, c | 8000 |
      | b, c, wait 9000, b, c                    | 2000 |

  Scenario: Members try a target again one after the other
    Given a member with 9 others
    Then of 96 members that hold a target out at most 10 try it within 200 ms

  Scenario Outline: What is told on is bounded
    Given a member with <peers> others
    When <count> targets stall within 1000 ms, seen by <source>
    Then it tells at most <tells> times, each time <fanout> members

    Examples:
      | peers | count | source | tells | fanout |
      | 9     | 1     | me     | 1     | 4      |
      | 9     | 1     | b      | 1     | 4      |
      | 2     | 1     | me     | 1     | 2      |
      | 0     | 1     | me     | 0     | 0      |
      | 95    | 100   | me     | 10    | 4      |
      | 95    | 100   | b      | 10    | 4      |

  Scenario: What a member tells is read as it was told, and nothing else is
    When a doubt is told over the wire
    Then it is the same, and random bytes are refused

  Scenario Outline: No more than a third of a service is held out
    Given a service of <targets> targets
    When all of them are held out, one after the other
    Then <left> still get new flows

    Examples:
      | targets | left |
      | 1       | 1    |
      | 2       | 2    |
      | 3       | 2    |
      | 60      | 40   |

  Scenario: Seven of sixty targets hang before 96 balancers
    Given 96 balancers in front of 60 targets, of which 7 hang for 6800 ms
    When 400 flows a second open, and each knows what it saw itself
    And the same flows open, and members tell each other what they saw
    Then at most a seventh of the flows is lost

  Scenario: What hanging targets cost hardly grows with the balancers
    Given 384 balancers in front of 60 targets, of which 7 hang for 6800 ms
    When 400 flows a second open, and each knows what it saw itself
    And the same flows open, and members tell each other what they saw
    Then at most half of the flows is lost

  Scenario: A whole service turns slow
    Given 96 balancers in front of 60 targets, of which 60 hang for 3000 ms
    When the same flows open, and members tell each other what they saw
    Then each balancer still uses at least 20 targets

  Scenario: Where nobody asks for stalls nothing is kept of requests
    Given answers of guide that take 25 ms
    And nobody watches for stalls
    When a request to guide waits for 3000 ms, no more
    Then it is a stall: no
    And no request is kept
