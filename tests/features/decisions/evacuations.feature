Feature: No new flows go to the targets of an evacuated failure domain
  Guards against openings sent to an evacuated domain, outdated evacuations and
  open flows that lose their targets.

  Background:
    Given a balancer in domain a with the targets
      | target | service | domain | number |
      | near-1 | guide   | a      | 11     |
      | near-2 | guide   | a      | 12     |
      | far-1  | guide   | b      | 13     |
      | far-2  | guide   | b      | 14     |
      | last-1 | guide   | c      | 15     |
      | tiles  | tiles   | a      | 16     |
    And the routes
      | route | address         | services |
      | guide | 198.51.0.1:8443 | guide    |
      | tiles | 198.51.0.2:8443 | tiles    |

  Scenario Outline: The newest evacuations received are in force
    When it receives evacuations: <updates>
    Then it considers evacuated: <domains>

    Examples:
      | updates                                                | domains |
      | listed a at 10                                         | a       |
      | listed nothing at 10                                   | nothing |
      | listed nothing at 10, written a at 12                  | a       |
      | listed a b at 10, removed b at 12                      | a       |
      | listed a at 10, written b at 12, removed a at 13       | b       |
      | listed a at 10, removed a at 12, written a at 14       | a       |
      | listed a at 10, listed nothing at 8                    | a       |
      | listed a at 10, relayed nothing at 9                   | a       |
      | listed nothing at 10, relayed a at 12                  | a       |
      | listed nothing at 10, relayed a at 12, removed a at 11 | a       |
      | relayed a at 12, listed nothing at 10                  | a       |
      | relayed a at 12, listed nothing at 14                  | nothing |

  Scenario Outline: New flows go to domains that are not evacuated
    Given the domains <domains> are evacuated
    When clients 1 to 20 open flows to 198.51.0.1:8443
    Then the flows are at <targets> and nowhere else

    Examples:
      | domains | targets                      |
      | a       | far-1, far-2, last-1         |
      | b       | near-1, near-2, last-1       |
      | a, b    | last-1                       |

  Scenario Outline: A service without an available target is refused at once
    Given the domains <domains> are evacuated
    When client 1 opens a flow to <address>
    Then it is answered by a reset: no_target

    Examples:
      | domains | address         |
      | a, b, c | 198.51.0.1:8443 |
      | a       | 198.51.0.2:8443 |

  Scenario: Open flows stay at the targets of an evacuated domain
    Given client 1 has an open flow to 198.51.0.2:8443
    When the domains a are evacuated
    Then data of client 1 is forwarded
    And no reset was sent

  Scenario: Any balancer forwards an open flow to an evacuated target by its tag
    Given the domains a are evacuated
    When a segment of client 7 to 198.51.0.1:8443 arrives with the tag of near-2
    Then it is forwarded to near-2 with the tag of near-2

  Scenario: Copies of an opening go to other domains
    Given client 1 opened a flow to 198.51.0.1:8443
    When the domains a are evacuated
    And 100 ms pass
    And client 1 opens a flow to 198.51.0.1:8443
    Then the copies of its opening went to domains b and c

  Scenario: An opening that was sent to the only target is not sent there again
    Given client 1 opened a flow to 198.51.0.2:8443
    When the domains a are evacuated
    And 100 ms pass
    Then no reset was sent
    When client 1 opens a flow to 198.51.0.2:8443
    Then it is answered by a reset: no_target
    And the opening of client 1 was sent 1 times, to different targets

  Scenario Outline: No other event makes an evacuated target available again
    Given the domains a are evacuated
    When <trouble>
    And clients 1 to 20 open flows to 198.51.0.1:8443
    Then none of the flows is in domain a

    Examples:
      | trouble                                          |
      | in domains b, c all targets of guide are avoided |
      | in domains b, c all targets of guide die |
      | the entry of near-1 is written again             |
      | the entries of near-1 and far-1 are missing      |

  Scenario: Openings wait until the evacuations are known, open flows do not
    Given the same balancer before it knows the evacuations
    When client 1 opens a flow to 198.51.0.1:8443
    Then it is pending
    When a segment of client 7 to 198.51.0.1:8443 arrives with the tag of near-2
    Then it is forwarded to near-2 with the tag of near-2
    When the domains a, b are evacuated
    Then the opening of client 1 was sent to last-1 alone

  Scenario: A returned domain gets its share of new flows without a surge
    Given the domains b are evacuated
    And clients 1 to 400 were served one after the other at 198.51.0.1:8443
    When the domains b are no longer evacuated
    And clients 401 to 440 are served one after the other at 198.51.0.1:8443
    Then at least 4 and at most 24 of these flows were in domain b

  Scenario Outline: An evacuated domain has no slots, local or remote
    Given the domains <domains> are evacuated
    Then the load of guide counts <local> local and <remote> remote slots

    Examples:
      | domains | local | remote |
      | a       | 0     | 9      |
      | b       | 6     | 3      |
      | b, c    | 6     | 0      |

  Scenario Outline: An evacuated target is probed only for a flow that waits for it
    Given client 1 has an open flow to 198.51.0.1:8443
    And the domains a are evacuated
    Then a probe of <target> is wanted: <wanted>

    Examples:
      | target                 | wanted |
      | the target of client 1 | yes    |
      | the other local target | no     |
      | far-1                  | yes    |
