Feature: A store reader keeps up with the store
  Guards against missed changes and deletions, and against invalid entries that
  block others.

  Scenario Outline: Changes and deletions are found
    Given a reader that holds team/a at version 3 and team/b at version 4
    When <events>
    Then it delivers <objects>

    Examples:
      | events                                                | objects             |
      | a list at revision 9 holds a at 3 and b at 4          | nothing             |
      | a list at revision 9 holds a at 7 and b at 4          | team/a at 7         |
      | a list at revision 9 holds a at 3                     | no team/b at 9      |
      | a list at revision 3 holds a at 3                     | nothing             |
      | a list at revision 9 holds a at 3, b at 4 and c at 8  | team/c at 8         |
      | a watch up to revision 9 brings b at 8                | team/b at 8         |
      | a watch up to revision 9 brings a at 2                | nothing             |
      | a watch up to revision 9 brings the deletion of a     | no team/a at 9      |

  Scenario: A kind whose history is gone must be listed again
    Given a reader that holds team/a at version 3 and team/b at version 4
    When a list at revision 9 holds a at 3 and b at 4
    And a watch finds that the history is gone
    Then it may not watch until it has listed

  Scenario: An invalid entry of the instance list does not block the others
    Given a reader that holds team/a at version 3 and team/b at version 4
    When the instance list holds lm-1, and an entry without a state
    Then the only instance is lm-1
