Feature: Flow tokens and request numbers
  Guards against forged tokens and against request numbers that run twice.

  Scenario: An opened token has the content that was sealed
    Given a key ring with keys "1,2" that seals with key 2
    When a token for "firm-a" and service "guidance" is sealed
    Then it opens to the same content
    And it opens with a ring that seals with key 1 but still has key 2

  Scenario Outline: A changed token is refused
    Given a key ring with keys "1" that seals with key 1
    When a token for "firm-a" and service "guidance" is sealed
    And the token is changed by <change>
    Then it is refused as "<reason>"

    Examples:
      | change               | reason            |
      | flipping each bit    | any               |
      | truncation           | any               |
      | using another key id | token_key_unknown |
      | emptying it          | token_forged      |

  Scenario: Random bytes are refused as a token
    Given a key ring with keys "1" that seals with key 1
    Then no random bytes open as a token

  Scenario: A window grants each number at most once
    Then for any order of numbers a window grants each number at most once
    And a window grants a fresh number above all others

  Scenario Outline: A claim of a number is new, seen or too old
    Given a window that granted "<granted>"
    When number <number> is claimed
    Then the claim is "<claim>"

    Examples:
      | granted | number | claim   |
      | 1,2,3   | 4      | new     |
      | 1,3     | 2      | new     |
      | 1,2,3   | 2      | seen    |
      | 2000    | 976    | too_old |
      | 2000    | 977    | new     |
      | 1,5000  | 1      | too_old |
