Feature: Conversion of attrs classes to plain classes
  The build replaces attrs, whose work at import time delays each start.

  Scenario Outline: A converted class behaves as the attrs class
    Given the class <text>
    When it is converted
    Then both classes agree on <aspect>

    Examples:
      | text                 | aspect         |
      | with defaults        | construction   |
      | with factories       | construction   |
      | with a private field | construction   |
      | with defaults        | equality       |
      | that is frozen       | equality       |
      | that is frozen       | hashes         |
      | with defaults        | having no hash |
      | that is a message    | equality       |
      | that is a message    | hashes         |
      | that is a message    | representation |
      | with defaults        | representation |
      | without equality     | equality       |
      | with defaults        | matching       |
      | with a method        | methods        |

  Scenario Outline: Unsupported source is an error
    When the source <text> is converted
    Then the build fails and names <name>

    Examples:
      | text                                            | name   |
      | with a field that is declared by field()        | port   |
      | with a function of attrs                        | evolve |
      | with a class with other options                 | Target |
      | with a class with an __attrs_post_init__ method | Target |
