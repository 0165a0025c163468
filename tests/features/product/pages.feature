Feature: The pages are right

  Scenario: The examples of the page on embedding run
    Then each Python example of docs/EMBEDDING.md runs

  Scenario: Links and modules that pages name exist
    Then every link between pages leads to a file
    And every module that docs/ARCHITECTURE.md names exists

  Scenario: The example settings are good
    Then the example of docs/operators/settings.md is taken

  Scenario Outline: The worked examples of teams are good
    Then the worked example "<team>" of docs/operators/teams.md is taken

    Examples:
      | team   |
      | firm-a |
      | index  |

  Scenario: Every public name has a docstring
    Then each public name of liftmount has a docstring
