Feature: Every segment of a flow reaches the flow's target
  Guards against segments that reach a wrong target and against wrong resets.

  Background:
    Given a balancer in domain a with the targets
      | target | service | domain | number |
      | near-1 | guide   | a      | 11     |
      | near-2 | guide   | a      | 12     |
      | far-1  | guide   | b      | 13     |
      | tiles  | tiles   | a      | 14     |
    And the routes
      | route | address         | services |
      | guide | 198.51.0.1:8443 | guide    |
      | tiles | 198.51.0.2:8443 | tiles    |
      | split | 198.51.0.3:8443 | guide=3 tiles=1 |

  Scenario: A new flow goes to a local target, the next one to another
    When client 1 opens a flow to 198.51.0.1:8443
    And client 2 opens a flow to 198.51.0.1:8443
    Then the flows of clients 1 and 2 are at near-1 and near-2 in some order

  Scenario: Remote targets get flows when the local ones carry twice as many
    When clients 1 to 12 open flows to 198.51.0.1:8443
    Then far-1 has at least 1 and at most 3 of the flows

  Scenario: Any balancer finds the target by the tag alone
    When a segment of client 7 to 198.51.0.1:8443 arrives with the tag of far-1
    Then it is forwarded to far-1 with the tag of far-1

  Scenario Outline: An open flow stays at its target after its route changes
    When a segment of client 7 to <address> arrives with the tag of <target>
    Then it is <outcome>

    Examples:
      | address         | target | outcome             |
      | 198.51.0.1:8443 | tiles  | forwarded to tiles with the tag of tiles |
      | 198.51.0.2:8443 | near-1 | forwarded to near-1 with the tag of near-1 |
      | 198.51.0.3:8443 | tiles  | forwarded to tiles with the tag of tiles |
      | 198.51.0.9:8443 | near-1 | answered by a reset: route_dropped |

  Scenario Outline: An opening goes to a service of its route, regardless of its tag
    When an opening of client 7 to <address> arrives with the tag of <target>
    Then it is forwarded to some target of <service>

    Examples:
      | address         | target | service |
      | 198.51.0.1:8443 | tiles  | guide   |
      | 198.51.0.2:8443 | near-1 | tiles   |

  Scenario: A segment with an unknown tag is queued, not forwarded
    When a segment of client 7 to 198.51.0.1:8443 arrives with an unknown tag
    Then it is queued, and targets are requested

  Scenario Outline: New flows without a route are reset at once
    When client 1 opens a flow to 198.51.0.9:<port>
    Then it is answered by a reset: no_route

    Examples:
      | port |
      | 8443 |
      | 1    |

  Scenario Outline: An unanswered opening is sent to another target after a timeout
    Given client 1 opened a flow to 198.51.0.1:8443
    When <wait_ms> ms pass
    Then the opening of client 1 was sent <sends> times, to different targets

    Examples:
      | wait_ms | sends |
      | 60      | 1     |
      | 100     | 2     |
      | 180     | 3     |

  Scenario: Copies of an opening that arrive together go to one target
    When client 1 opens a flow to 198.51.0.1:8443
    And client 1 opens a flow to 198.51.0.1:8443
    And client 1 opens a flow to 198.51.0.1:8443
    Then the opening of client 1 was sent 1 times, to different targets

  Scenario: A flow is pinned to the target whose tag its client sends first
    Given client 1 opened a flow to 198.51.0.1:8443
    And 100 ms passed
    When client 1 sends data with the tag of its first target
    And client 1 sends data with the tag of its second target
    Then both are forwarded to its first target with the tag of that target

  Scenario: A balancer forwards and pins a flow that opened at another one
    When a segment of client 7 to 198.51.0.1:8443 arrives with the tag of near-2
    And a segment of client 7 to 198.51.0.1:8443 arrives with the tag of far-1
    Then it is forwarded to near-2 with the tag of near-2

  Scenario: A segment waits for a target that is not known yet
    When a segment of client 7 to 198.51.0.1:8443 arrives with the tag of number 99
    Then it is queued, and targets are requested
    When the target late of guide with number 99 becomes known
    Then it is forwarded to late with the tag of late

  Scenario: A segment whose target stays unknown is dropped, not reset
    When a segment of client 7 to 198.51.0.1:8443 arrives with the tag of number 99
    And 500 ms pass
    Then it was dropped: held_too_long
    And no reset was sent

  Scenario: Openings that waited during startup are spread over all targets
    Given a balancer in domain a without targets and routes
    When clients 1 to 8 open flows to 198.51.0.1:8443
    And it receives targets and routes
    Then each target of guide in domain a has at least 2 of the flows

  Scenario: An opening that waited yields no evidence and is not sent again
    Given a balancer in domain a without targets and routes
    When client 1 opens a flow to 198.51.0.1:8443
    And it receives targets and routes
    And 300 ms pass
    Then the opening of client 1 was sent 1 times, to different targets
    And the target was reported unresponsive 0 times

  Scenario: An older route table is ignored
    When version 7 without the route guide comes into force
    And version 5 with all routes arrives
    Then version 7 is in force
    And a new flow to 198.51.0.1:8443 is answered by a reset: no_route

  Scenario: Flows of a dropped route are reset, others continue
    Given client 1 has an open flow to 198.51.0.1:8443
    And client 2 has an open flow to 198.51.0.2:8443
    When version 7 without the route guide comes into force
    Then the flow of client 1 was reset: route_dropped
    And data of client 2 is forwarded

  Scenario: A draining target keeps its flows and gets no new ones
    Given client 1 has an open flow to 198.51.0.1:8443
    When the target of client 1 drains
    And clients 11 to 20 open flows to 198.51.0.1:8443
    Then the target of client 1 got none of them
    And data of client 1 is forwarded

  Scenario: A target that is removed from the list keeps its flows
    Given client 1 has an open flow to 198.51.0.1:8443
    When the target of client 1 is removed from the list
    Then data of client 1 is forwarded
    And no reset was sent

  Scenario Outline: Data sent again to an unlisted target resets no flow
    Given client 1 has an open flow to 198.51.0.1:8443
    And the target of client 1 is removed from the list
    When client 1 sends the same data <times> times
    Then 0 resets were sent
    And the target was reported unresponsive <reports> times

    Examples:
      | times | reports |
      | 1     | 0       |
      | 2     | 1       |
      | 3     | 2       |
      | 6     | 5       |

  Scenario: A flow to an unlisted target is reset once probes find it dead
    Given client 1 has an open flow to 198.51.0.1:8443
    And the target of client 1 is removed from the list
    When client 1 sends the same data 3 times
    And the target of client 1 is found dead
    Then the flow of client 1 was reset: target_dead

  Scenario Outline: A new balancer forwards flows to retired targets
    Given the retired target <number> of guide in a snapshot of a peer
    When a segment of client 7 to 198.51.0.1:8443 arrives with its tag, <after> ms later
    Then it is <outcome>
    And new flows go to other targets

    Examples:
      | number | after | outcome           |
      | 77     | 100   | forwarded there   |
      | 77     | 31000 | no longer known   |

  Scenario: Flows of a dead target are reset at once, those of a live one continue
    Given client 1 has an open flow to 198.51.0.1:8443
    And client 2 has an open flow to 198.51.0.2:8443
    When the target of client 1 is found dead
    Then the flow of client 1 was reset: target_dead
    And data of client 2 is forwarded

  Scenario Outline: A dead target is probed again before another of its flows is reset
    Given the target near-1 was found dead <ago> ms ago
    When a segment of client 7 to 198.51.0.1:8443 arrives with the tag of near-1
    Then it is <outcome>

    Examples:
      | ago  | outcome                                             |
      | 100  | answered by a reset: target_dead                    |
      | 600  | answered by a reset: target_dead                    |
      | 800  | forwarded to near-1, and its target is probed again |
      | 4000 | forwarded to near-1, and its target is probed again |

  Scenario Outline: A target that restarted under its name has no earlier flows
    Given client 1 has an open flow to 198.51.0.1:8443
    And client 2 sent the target of client 1 a request and got its answer
    When the start time of the target of client 1 is reported as <start>
    Then <requests> requests are sent to it again, and <flows> flows are removed
    And no reset was sent

    Examples:
      | start     | requests | flows |
      | later     | 1        | 2     |
      | unchanged | 0        | 0     |
      | unknown   | 0        | 0     |

  Scenario: A restart clears the health and the load of a target
    Given the target near-1 was found dead 100 ms ago
    When the start time of near-1 is reported as later
    Then near-1 is alive, idle and gets new flows of guide
    And data of client 1 for near-1 is forwarded

  Scenario: A flow that opened after a restart continues
    Given client 1 has an open flow to 198.51.0.1:8443
    When the start time of the target of client 1 is reported as later
    Then data of client 1 keeps its tag
    And no reset was sent

  Scenario: New flows are still forwarded when all targets are dead
    When all targets of guide are found dead
    And client 3 opens a flow to 198.51.0.1:8443
    Then it is forwarded to some target of guide

  Scenario Outline: Data sent again is evidence against a target
    Given client 1 has an open flow to 198.51.0.1:8443
    When client 1 sends the same data <times> times
    Then the target was reported unresponsive <reports> times

    Examples:
      | times | reports |
      | 1     | 0       |
      | 2     | 1       |
      | 3     | 2       |

  Scenario: Reordered segments are no evidence against a target
    Given client 1 has an open flow to 198.51.0.1:8443
    When client 1 sends two segments that arrive out of order
    Then the target was reported unresponsive 0 times

  Scenario: Missing answers while the balancer is paused are no evidence
    Given client 1 opened a flow to 198.51.0.1:8443
    When the balancer is paused for 3000 ms
    Then the target was reported unresponsive 0 times

  Scenario: A reset has the sequence number that the client expects
    Given client 1 has an open flow to 198.51.0.1:8443
    When the target of client 1 is found dead
    Then the reset carries the client's last acknowledgement

  Scenario: Random events never send an open flow to two targets
    When 300 random histories of 80 events are run
    Then no open flow changed its target
    And no flow to a live target was reset
    And no segment went to a target of another service

  Scenario Outline: Targets with colliding tags are distinguished
    Given two targets of <first> and <second> whose tags collide in variant 0
    Then flows of the first are found again: <found>

    Examples:
      | first | second | found            |
      | guide | tiles  | by their service |
      | guide | guide  | by variant 1     |

  Scenario: A tag of two targets is not resolved for a third service
    Given two targets of guide and tiles whose tags collide in variant 0
    Then neither is found for a route to a third service
