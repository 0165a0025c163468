Feature: A domain that is cut off and overloaded hands its clients over
  Guards against handing over too early and against keeping clients without slots.

  Scenario Outline: Only a domain that is cut off and overloaded hands over
    When a domain observes for 2000 ms: demand <demand>, local <local>, remote <remote> of which <live> respond, isolated <isolated>
    Then its clients are handed over: <out>

    Examples:
      | demand | local | remote | live | isolated | out |
      | 9.0    | 3     | 15     | 0    | no       | yes |
      | 9.0    | 3     | 15     | 1    | no       | yes |
      | 9.0    | 3     | 15     | 3    | no       | no  |
      | 9.0    | 3     | 15     | 15   | no       | no  |
      | 9.0    | 3     | 15     | 15   | yes      | yes |
      | 2.0    | 3     | 15     | 0    | no       | no  |
      | 2.4    | 3     | 15     | 0    | no       | yes |
      | 9.0    | 6     | 3      | 0    | no       | no  |
      | 0.0    | 0     | 15     | 0    | no       | no  |
      | 0.5    | 0     | 15     | 0    | no       | yes |
      | 9.0    | 3     | 0      | 0    | no       | no  |
      | 9.0    | 3     | 0      | 0    | yes      | no  |

  Scenario Outline: A short partition hands no clients over, a short recovery returns none
    When an overloaded domain is cut off for <cut> ms, then healed for <healed> ms
    Then its clients are handed over: <out>

    Examples:
      | cut  | healed | out |
      | 400  | 0      | no  |
      | 600  | 0      | yes |
      | 600  | 800    | yes |
      | 600  | 1200   | no  |
      | 400  | 400    | no  |

  Scenario: A domain without load stays handed over until the partition heals
    When an overloaded domain is cut off for 1000 ms, then healed for 0 ms
    And a domain observes for 9000 ms: demand 0.0, local 3, remote 15 of which 0 respond, isolated no
    Then its clients are handed over: yes

  Scenario: A service with little demand does not hide the partition of another
    When a domain observes two services, one of them cut off and overloaded
    Then its clients are handed over: yes

  Scenario: A dead remote target is not taken for a partition
    When an overloaded domain gets answers of other remote targets
    Then its clients are handed over: no
