Feature: Decisions of the group of balancers
  Guards against wrong views of the membership, leases with two holders,
  addresses or keys that are used too early, and outdated configurations.

  Scenario Outline: The group detects members that are gone
    Given a group of <size> members that know one seed
    When <before> periods pass
    Then all members know each other
    When member 1 stops responding
    And <after> periods pass
    Then all others consider member 1 dead
    When member 1 responds again
    And 16 periods pass
    Then all members know each other

    Examples:
      | size | before | after |
      | 2    | 4      | 10    |
      | 8    | 12     | 12    |
      | 24   | 30     | 16    |

  Scenario: Two halves of a partitioned group find each other again
    Given a group of 8 members that know one seed
    When 12 periods pass
    And the members are partitioned into two halves
    And 14 periods pass
    Then each half considers the other dead
    When the partition is healed
    And 24 periods pass
    Then all members know each other

  Scenario: Members keep within their byte budget
    Given a group of 24 members that know one seed
    When 60 periods pass
    Then no member sent more than 2000 bytes a second

  Scenario: A restarted member replaces its former incarnation
    Given a group of 8 members that know one seed
    When 12 periods pass
    And member 3 restarts
    And 16 periods pass
    Then all members know each other

  Scenario Outline: A lease changes its holder only after it has expired
    Given a lease of 4000 ms held by "a"
    When <pause> ms pass without a renewal
    And "b" tries to take it
    Then "b" <result> hold the lease
    And "a" does <former> hold the lease

    Examples:
      | pause | result   | former |
      | 1000  | does not | still  |
      | 4100  | does     | not    |

  Scenario: The write of a holder that was paused is rejected
    Given a lease of 4000 ms held by "a"
    When 5000 ms pass without a renewal
    And "b" tries to take it
    And "a" renews with its outdated state
    Then the store holds the lease of "b" with epoch 2
    And "a" does not hold the lease

  Scenario: Only one of several members takes a free lease
    Then for any order of reads and writes at most one holds the lease

  Scenario Outline: An address changes its owner only after it is released in all domains
    Given address "10.1.0.1:443" is <claim>
    And it is requested by "<wanted>"
    And the release is in force in domains "<released>" of "a,b"
    Then the decision is "<decision>"

    Examples:
      | claim                | wanted        | released | decision         |
      | free                 | firm-b        |          | held firm-b 1    |
      | held by firm-a       | firm-a        |          | nothing          |
      | held by firm-a       | firm-b        |          | releasing firm-a 1 |
      | held by firm-a       | firm-a,firm-b |          | conflict         |
      | released by firm-a   | firm-b        |          | nothing          |
      | released by firm-a   | firm-b        | a        | nothing          |
      | released by firm-a   | firm-b        | a,b      | held firm-b 2    |
      | released by firm-a   | firm-a        | a,b      | held firm-a 2    |

  Scenario: A key seals only after every balancer has it
    Given no flow keys
    When keys are decided on at 0 ms
    Then key 1 seals and keys "1" open
    When keys are decided on at 2000 ms
    Then key 1 seals and keys "1,2" open
    When keys are decided on at 2100 ms while not in force
    Then key 1 seals and keys "1,2" open
    When keys are decided on at 2200 ms
    Then key 2 seals and keys "1,2" open
    When keys are decided on at 13000 ms
    And keys are decided on at 13001 ms
    Then key 3 seals and keys "2,3" open

  Scenario: A membership change affects only the pools of the balancer that changed
    Given 40 balancers in domains "a,b" and 300 pools
    When balancer "lm-7" leaves
    Then only pools of "lm-7" change their owner
    When balancer "lm-7" returns
    Then the owners are as before

  Scenario: A configuration never reverts to an older version
    Then for any order of arrival all stores converge and never revert

  Scenario: A report received from a child does not replace a balancer's own state
    Given balancer "lm-2" holds digest "new" and receives "lm-1=old,lm-2=old" from child "lm-1"
    Then it reports "lm-1=old,lm-2=new"
    When child "lm-1" is removed
    Then it reports "lm-2=new"
