Feature: Classes are written out when the program is built
  What attrs makes at each import takes time at each start.

  Scenario Outline: A class is written out as attrs makes it
    Given the class <text>
    When it is written out
    Then both forms agree on <what>

    Examples:
      | text                   | what        |
      | with defaults          | construction |
      | with factories         | construction |
      | with a private field   | construction |
      | with defaults          | equality    |
      | that is frozen         | equality    |
      | that is frozen         | hashes      |
      | with defaults          | having no hash |
      | that is a message      | equality    |
      | that is a message      | hashes      |
      | that is a message      | representation |
      | with defaults          | representation |
      | without equality       | equality    |
      | with defaults          | matching    |
      | with a method          | methods     |

  Scenario Outline: What can't be written out is an error
    When the source <text> is written out
    Then the build fails and names <name>

    Examples:
      | text                                      | name   |
      | a field that is declared by field()       | port   |
      | a function of attrs                       | evolve |
      | a class with other options                | Target |
      | a class that runs something at its start  | Target |
