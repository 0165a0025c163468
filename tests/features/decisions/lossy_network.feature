Feature: The membership holds on a network that loses and delays datagrams
  Guards against living members that others do not list or hold for dead, and
  against comparisons of lists that cost more than control may.

  # Guards against a member whose record misses another one for good.
  Scenario Outline: Every member lists all others soon after a start
    Given <starts> starts of <size> members on a network that loses <loss> % of the datagrams
    When 20 s pass
    Then every member lists all others in each of them

    Examples:
      | starts | size | loss |
      | 100    | 4    | 0    |
      | 200    | 4    | 5    |
      | 100    | 4    | 20   |
      | 30     | 8    | 20   |

  # Guards against a member that answers itself as an unknown sender.
  Scenario Outline: Members behind proxies list each other
    Given <starts> starts of <size> members on a network that loses 0 % of the datagrams
    And proxies hide the address of a sender
    When 20 s pass
    Then every member lists all others in each of them
    And none of their members sent more than 2000 bytes a second

    Examples:
      | starts | size |
      | 200    | 4    |
      | 100    | 6    |

  # Guards against deaths that a living member refutes in vain.
  Scenario Outline: No living member is held for dead
    Given <starts> starts of <size> members on a network that loses <loss> % of the datagrams
    And each member stalls for up to <stall> ms about every 4 s
    When 20 s pass
    Then no member holds a living one for dead in any of them

    Examples:
      | starts | size | loss | stall |
      | 60     | 8    | 5    | 0     |
      | 40     | 8    | 20   | 0     |
      | 20     | 16   | 20   | 0     |
      | 30     | 8    | 5    | 1000  |
      | 20     | 16   | 0    | 1000  |

  # Guards against a detector that finds no death because it forgives too much.
  Scenario Outline: A member that stops is held for dead by all others
    Given <starts> starts of <size> members on a network that loses <loss> % of the datagrams
    When 10 s pass
    And one member of each stops, and 8 s pass
    Then all others hold it for dead in each of them

    Examples:
      | starts | size | loss |
      | 20     | 4    | 0    |
      | 20     | 8    | 5    |
      | 10     | 16   | 20   |

  # Guards against a stalled process that blames those who answered it.
  Scenario Outline: A member that stalled suspects nobody for it
    Given a member that has just pinged another one
    When it does not run for <stall> ms and the answer waits in its socket
    Then it <suspects> the other one

    Examples:
      | stall | suspects         |
      | 3000  | does not suspect |
      | 525   | does not suspect |

  # Guards against a suspect that learns of the suspicion by chance only.
  Scenario Outline: A doubted member gets its own record and refutes it
    Given a member that marks another one as <status>
    When <event>
    Then the other one has refuted it, and is alive there after <count> datagrams

    Examples:
      | status  | event                         | count |
      | suspect | the member pings it           | 2     |
      | dead    | the member probes dead ones   | 2     |
      | suspect | it pings the member           | 4     |
      | dead    | it pings the member           | 4     |

  # Guards against an outdated record that its holder passes on.
  Scenario: An ACK corrects outdated records
    Given two members, one of which holds an outdated record of a third one
    When that one gossips the record to the other
    Then it holds the current record after 2 datagrams

  # Guards against a sender whose record is asked for by nobody.
  Scenario: A member that hears of an unknown one gets its record
    Given a member that lists another one, which does not list it
    When it pings the other one
    Then the other one lists it after 4 datagrams

  # Guards against records that gossip has stopped sending.
  Scenario Outline: Lists that differ agree after a comparison
    Given two lists of <members> members, of which <one> are missing in one and <other> in the other
    When one member compares its list <times> times
    Then both lists are equal
    And no datagram was above 1400 bytes, and all together below <limit> bytes

    Examples:
      | members | one | other | times | limit |
      | 4       | 1   | 1     | 1     | 2000  |
      | 12      | 3   | 2     | 1     | 3000  |
      | 400     | 1   | 0     | 1     | 3000  |
      | 2700    | 1   | 1     | 1     | 6000  |
      | 2700    | 40  | 40    | 60    | 200000 |

  # Guards against a departure that was announced to nobody who lists it.
  Scenario Outline: A comparison passes on that a member is gone
    Given two lists of 8 members, one of which marks a member as <status>
    When one member compares its list 1 times
    Then both lists are equal

    Examples:
      | status |
      | dead   |
      | left   |

  Scenario: A member that is forgotten does not come back by a comparison
    Given two lists of 8 members, one of which has forgotten a dead member
    When one member compares its list 1 times
    Then the forgotten member is still unknown

  Scenario Outline: A malformed comparison is refused
    Given two lists of 8 members, of which 1 are missing in one and 0 in the other
    When a comparison of the range <range> arrives
    Then it is refused as malformed

    Examples:
      | range         |
      | 0 4096 short  |
      | 0 17 full     |
      | 5 16 full     |
      | -16 16 full   |
      | 0 1 full      |
      | 4096 256 full |
