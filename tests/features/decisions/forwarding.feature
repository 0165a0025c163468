Feature: Every segment of a flow reaches the flow's target
  Pure decisions on segments, as a balancer gets them.

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

  Scenario: A flow opens at a target of the own domain, the next one at another
    When client 1 opens a flow to 198.51.0.1:8443
    And client 2 opens a flow to 198.51.0.1:8443
    Then the flows of clients 1 and 2 are at near-1 and near-2 in some order

  Scenario: Other domains take flows when the own one carries twice as much
    When clients 1 to 12 open flows to 198.51.0.1:8443
    Then far-1 has at least 1 and at most 3 of the flows

  Scenario: Any balancer finds the target by the tag alone
    When a segment of client 7 to 198.51.0.1:8443 arrives with the tag of far-1
    Then it is forwarded to far-1 with the tag of far-1

  Scenario Outline: An open flow stays at its target wherever its route leads now
    When a segment of client 7 to <address> arrives with the tag of <target>
    Then it is <outcome>

    Examples:
      | address         | target | outcome             |
      | 198.51.0.1:8443 | tiles  | forwarded to tiles with the tag of tiles |
      | 198.51.0.2:8443 | near-1 | forwarded to near-1 with the tag of near-1 |
      | 198.51.0.3:8443 | tiles  | forwarded to tiles with the tag of tiles |
      | 198.51.0.9:8443 | near-1 | answered by a reset: route_dropped |

  Scenario Outline: An opening goes where its route leads, whatever tag it has
    When an opening of client 7 to <address> arrives with the tag of <target>
    Then it is forwarded to some target of <service>

    Examples:
      | address         | target | service |
      | 198.51.0.1:8443 | tiles  | guide   |
      | 198.51.0.2:8443 | near-1 | tiles   |

  Scenario: A tag that no target has is held, and never guessed
    When a segment of client 7 to 198.51.0.1:8443 arrives with an unknown tag
    Then it is held, and targets are asked for

  Scenario Outline: Flows without a route are answered at once
    When client 1 opens a flow to 198.51.0.9:<port>
    Then it is answered by a reset: no_route

    Examples:
      | port |
      | 8443 |
      | 1    |

  Scenario Outline: An opening without an answer goes to another target in time
    Given client 1 opened a flow to 198.51.0.1:8443
    When <wait_ms> ms pass
    Then the opening of client 1 was sent <sends> times, to different targets

    Examples:
      | wait_ms | sends |
      | 60      | 1     |
      | 100     | 2     |
      | 180     | 3     |

  Scenario: Copies that waited together go to one target
    When client 1 opens a flow to 198.51.0.1:8443
    And client 1 opens a flow to 198.51.0.1:8443
    And client 1 opens a flow to 198.51.0.1:8443
    Then the opening of client 1 was sent 1 times, to different targets

  Scenario: A flow is pinned to the target that its client chose first
    Given client 1 opened a flow to 198.51.0.1:8443
    And 100 ms passed
    When client 1 sends data with the tag of its first target
    And client 1 sends data with the tag of its second target
    Then both are forwarded to its first target with the tag of that

  Scenario: A new balancer forwards what it did not see open, and pins it
    When a segment of client 7 to 198.51.0.1:8443 arrives with the tag of near-2
    And a segment of client 7 to 198.51.0.1:8443 arrives with the tag of far-1
    Then it is forwarded to near-2 with the tag of near-2

  Scenario: A segment for a target not known yet waits for it
    When a segment of client 7 to 198.51.0.1:8443 arrives with the tag of number 99
    Then it is held, and targets are asked for
    When the target late of guide with number 99 becomes known
    Then it is forwarded to late with the tag of late

  Scenario: A segment whose target stays unknown is dropped, never reset
    When a segment of client 7 to 198.51.0.1:8443 arrives with the tag of number 99
    And 500 ms pass
    Then it was dropped: held_too_long
    And no reset was sent

  Scenario: What waited at a start is spread over all targets
    Given a balancer in domain a that knows nothing yet
    When clients 1 to 8 open flows to 198.51.0.1:8443
    And it learns targets and routes
    Then each target of guide in domain a has at least 2 of the flows

  Scenario: An opening that waited gives no evidence and is not sent again
    Given a balancer in domain a that knows nothing yet
    When client 1 opens a flow to 198.51.0.1:8443
    And it learns targets and routes
    And 300 ms pass
    Then the opening of client 1 was sent 1 times, to different targets
    And 0 silences were reported

  Scenario: Versions only grow
    When version 7 without the route guide comes into force
    And version 5 with all routes arrives
    Then version 7 is in force
    And a new flow to 198.51.0.1:8443 is answered by a reset: no_route

  Scenario: A dropped route ends its flows, others go on
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

  Scenario: A target that left the list keeps its flows
    Given client 1 has an open flow to 198.51.0.1:8443
    When the target of client 1 is gone from the list
    Then data of client 1 is forwarded
    And no reset was sent

  Scenario Outline: A target that is gone from the list may still be at work
    Given client 1 has an open flow to 198.51.0.1:8443
    And the target of client 1 is gone from the list
    When client 1 sends the same data <times> times
    Then 0 resets were sent
    And <silences> silences were reported

    Examples:
      | times | silences |
      | 1     | 0        |
      | 2     | 1        |
      | 3     | 2        |
      | 6     | 5        |

  Scenario: A flow to a target that is gone is reset once probes prove it dead
    Given client 1 has an open flow to 198.51.0.1:8443
    And the target of client 1 is gone from the list
    When client 1 sends the same data 3 times
    And the target of client 1 is judged dead
    Then the flow of client 1 was reset: target_dead

  Scenario Outline: A newcomer finds flows of targets that were gone before
    Given the target <number> of guide that left before, as a peer tells
    When a segment of client 7 to 198.51.0.1:8443 arrives with its tag, <after> ms later
    Then it is <outcome>
    And new flows go elsewhere

    Examples:
      | number | after | outcome           |
      | 77     | 100   | forwarded there   |
      | 77     | 31000 | not known any more |

  Scenario: A dead target loses its flows at once, a living one keeps them
    Given client 1 has an open flow to 198.51.0.1:8443
    And client 2 has an open flow to 198.51.0.2:8443
    When the target of client 1 is judged dead
    Then the flow of client 1 was reset: target_dead
    And data of client 2 is forwarded

  Scenario Outline: A dead target is asked again before it costs another flow
    Given the target near-1 was judged dead <ago> ms ago
    When a segment of client 7 to 198.51.0.1:8443 arrives with the tag of near-1
    Then it is <outcome>

    Examples:
      | ago  | outcome                                            |
      | 100  | answered by a reset: target_dead                   |
      | 600  | answered by a reset: target_dead                   |
      | 800  | forwarded to near-1, and its target is asked again |
      | 4000 | forwarded to near-1, and its target is asked again |

  Scenario Outline: A target that started again under its name holds no flow of before
    Given client 1 has an open flow to 198.51.0.1:8443
    And client 2 asked the target of client 1, and has its answer
    When the target of client 1 is told to have started <start>
    Then it is sent again <requests> requests, and <flows> flows are forgotten
    And no reset was sent

    Examples:
      | start         | requests | flows |
      | again         | 1        | 2     |
      | as before     | 0        | 0     |
      | at no time    | 0        | 0     |

  Scenario: What was known of an earlier start does not count for the next one
    Given the target near-1 was judged dead 100 ms ago
    When near-1 is told to have started again
    Then near-1 is alive, idle and gets the next flows of guide
    And data of client 1 for near-1 is forwarded

  Scenario: A flow that opened since a new start goes on
    Given client 1 has an open flow to 198.51.0.1:8443
    When the target of client 1 is told to have started again
    Then data of client 1 goes where it went
    And no reset was sent

  Scenario: With all targets dead new flows still go somewhere
    When all targets of guide are judged dead
    And client 3 opens a flow to 198.51.0.1:8443
    Then it is forwarded to some target of guide

  Scenario Outline: Data sent again speaks against a target
    Given client 1 has an open flow to 198.51.0.1:8443
    When client 1 sends the same data <times> times
    Then <silences> silences were reported

    Examples:
      | times | silences |
      | 1     | 0        |
      | 2     | 1        |
      | 3     | 2        |

  Scenario: A segment that was overtaken speaks against nobody
    Given client 1 has an open flow to 198.51.0.1:8443
    When client 1 sends two segments that change their places on the way
    Then 0 silences were reported

  Scenario: Silence during an own stall is no evidence
    Given client 1 opened a flow to 198.51.0.1:8443
    When the balancer stands still for 3000 ms
    Then 0 silences were reported

  Scenario: Resets fit into the flow
    Given client 1 has an open flow to 198.51.0.1:8443
    When the target of client 1 is judged dead
    Then the reset carries the client's last acknowledgement

  Scenario: Random histories never send a flow to two targets once it is open
    When 300 random histories of 80 events are played
    Then no open flow changed its target
    And no flow to a living target was reset
    And no segment went to a target of another service

  Scenario Outline: Targets whose tags collide are told apart
    Given two targets of <first> and <second> whose tags collide in variant 0
    Then flows of the first are found again: <found>

    Examples:
      | first | second | found            |
      | guide | tiles  | by their service |
      | guide | guide  | by variant 1     |

  Scenario: Two targets of other services with one tag are never guessed
    Given two targets of guide and tiles whose tags collide in variant 0
    Then neither is found for a route to a third service
