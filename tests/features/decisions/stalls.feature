Feature: Targets that hang get no new flows from any balancer
  Guards against targets that pass probes, take requests and never answer.

  Scenario Outline: A request that waits several times the usual answer time is a stall
    Given answers of guide that take <answer> ms
    When a request to guide waits for <wait> ms, <event>
    Then it is a stall: <stall>

    Examples:
      | answer | wait  | event                        | stall |
      | 25     | 230   | without an event             | no    |
      | 25     | 280   | without an event             | yes   |
      | 100    | 780   | without an event             | no    |
      | 100    | 840   | without an event             | yes   |
      | 900    | 1480  | without an event             | no    |
      | 900    | 1540  | without an event             | yes   |
      | 25     | 2000  | and is answered after 200 ms | no    |
      | 25     | 400   | and sends more after 200 ms  | no    |
      | 25     | 2000  | and its flow ends            | no    |
      | 25     | 2000  | while the local link is busy | no    |
      | 25     | 2000  | while the balancer is paused | no    |

  Scenario Outline: Reports of a single balancer eject no target
    Given a member with 9 others
    When stalls of a target are reported in this order: <events>
    Then it is ejected for <ejected_ms> ms, or up to twice as long

    Examples:
      | events                                   | ejected_ms |
      | me                                       | 0          |
      | b                                        | 0          |
      | b, b                                     | 0          |
      | b, me                                    | 2000       |
      | b, c                                     | 2000       |
      | b, wait 1600, c                          | 0          |
      | b 1600 ms ago, c                         | 0          |
      | b 1000 ms ago, c                         | 2000       |
      | b, wait 1600, b, c                       | 2000       |
      | b, wait 1600, b again, c                 | 0          |
      | b, c, d                                  | 2000       |
      | b, c, wait 2500, b                       | 0          |
      | b, c, wait 2500, b, c                    | 4000       |
      | b, c, wait 2500, b, c, wait 4500, b, c   | 8000       |
      | b, c, wait 2500, b, c, wait 4500, b, c, wait 8500, b, c | 8000       |
      | b, c, wait 9000, b, c                    | 2000       |

  Scenario: Members use an ejected target again one after the other
    Given a member with 9 others
    Then of 96 members that eject a target at most 10 use it again within 200 ms

  Scenario Outline: The number of stall reports is limited
    Given a member with <peers> others
    When <count> targets stall within 1000 ms, reported by <source>
    Then it sends at most <reports> reports, each to <fanout> members

    Examples:
      | peers | count | source | reports | fanout |
      | 9     | 1     | me     | 1       | 4      |
      | 9     | 1     | b      | 1       | 4      |
      | 2     | 1     | me     | 1       | 2      |
      | 0     | 1     | me     | 0       | 0      |
      | 95    | 100   | me     | 10      | 4      |
      | 95    | 100   | b      | 10      | 4      |

  Scenario: A stall report is decoded as it was sent, and other bytes are refused
    When a stall report is encoded
    Then it is decoded unchanged, and random bytes are refused

  Scenario Outline: No more than a third of the targets of a service is ejected
    Given a service of <targets> targets
    When all of them are ejected one after the other
    Then <left> still get new flows

    Examples:
      | targets | left |
      | 1       | 1    |
      | 2       | 2    |
      | 3       | 2    |
      | 60      | 40   |

  Scenario: Seven of sixty targets hang before 96 balancers
    Given 96 balancers in front of 60 targets, of which 7 hang for 6800 ms
    When 400 flows a second open, and balancers send no stall reports
    And the same flows open, and balancers send stall reports
    Then at most a seventh as many flows are lost with stall reports

  Scenario: Lost flows hardly grow with the number of balancers
    Given 384 balancers in front of 60 targets, of which 7 hang for 6800 ms
    When 400 flows a second open, and balancers send no stall reports
    And the same flows open, and balancers send stall reports
    Then at most half as many flows are lost with stall reports

  Scenario: A whole service is slow
    Given 96 balancers in front of 60 targets, of which 60 hang for 3000 ms
    When the same flows open, and balancers send stall reports
    Then each balancer still uses at least 20 targets

  Scenario: Requests are not tracked while stall detection is off
    Given answers of guide that take 25 ms
    And stall detection is off
    When a request to guide waits for 3000 ms, without an event
    Then it is a stall: no
    And no request is tracked
