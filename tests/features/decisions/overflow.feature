Feature: A domain that is cut off and short of targets hands its clients over

  Scenario Outline: Only a domain that is cut off and short hands over
    When a domain sees for 2000 ms: demand <demand>, near <near>, far <far> of which <alive> answer, isolated <isolated>
    Then its clients are handed over: <out>

    Examples:
      | demand | near | far | alive | isolated | out |
      | 9.0    | 3    | 15  | 0     | no       | yes |
      | 9.0    | 3    | 15  | 1     | no       | yes |
      | 9.0    | 3    | 15  | 3     | no       | no  |
      | 9.0    | 3    | 15  | 15    | no       | no  |
      | 9.0    | 3    | 15  | 15    | yes      | yes |
      | 2.0    | 3    | 15  | 0     | no       | no  |
      | 2.4    | 3    | 15  | 0     | no       | yes |
      | 9.0    | 6    | 3   | 0     | no       | no  |
      | 0.0    | 0    | 15  | 0     | no       | no  |
      | 0.5    | 0    | 15  | 0     | no       | yes |
      | 9.0    | 3    | 0   | 0     | no       | no  |
      | 9.0    | 3    | 0   | 0     | yes      | no  |

  Scenario Outline: A moment's silence is no cut, and a moment's answer no end
    When a domain that is short is cut off for <cut> ms, then healed for <healed> ms
    Then its clients are handed over: <out>

    Examples:
      | cut  | healed | out |
      | 400  | 0      | no  |
      | 600  | 0      | yes |
      | 600  | 800    | yes |
      | 600  | 1200   | no  |
      | 400  | 400    | no  |

  Scenario: Without load a handed-over domain stays so until the cut heals
    When a domain that is short is cut off for 1000 ms, then healed for 0 ms
    And a domain sees for 9000 ms: demand 0.0, near 3, far 15 of which 0 answer, isolated no
    Then its clients are handed over: yes

  Scenario: A service that sends little abroad does not hide the cut of another
    When a domain sees two services, one cut off and short, one not
    Then its clients are handed over: yes

  Scenario: The only target of a service far away died, the way there is good
    When a domain that is short gets answers of other targets far away
    Then its clients are handed over: no
