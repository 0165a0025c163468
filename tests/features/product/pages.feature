Feature: Documentation matches the program

  Scenario: The examples of the embedding page run
    Then each Python example of docs/EMBEDDING.md runs

  Scenario: Links lead to files, and named modules exist
    Then every link between pages leads to a file
    And every module that docs/ARCHITECTURE.md names exists

  Scenario: The example settings are valid
    Then the example of docs/operators/settings.md is valid

  Scenario Outline: The worked examples of teams are valid
    Then the worked example "<team>" of docs/operators/teams.md is valid

    Examples:
      | team   |
      | firm-a |
      | index  |

  Scenario: Every public name has a docstring
    Then each public name of liftmount has a docstring
