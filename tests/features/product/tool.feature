@processes
Feature: Operators' command-line tool
  The commands of the operators' pages run against a deployment of processes.

  Scenario: Each command exits with its status and prints its result
    Given a "small" deployment and its documents
    When the operator runs "template list"
    Then the tool exits with status 0 and prints "firm"
    When the operator runs "template get firm"
    Then the tool exits with status 0 and prints "base_version"
    When the operator runs "template history firm"
    Then the tool exits with status 0 and prints "VERSION"
    When the operator runs "template validate $DIR/template-firm.toml"
    Then the tool exits with status 0 and prints "valid"
    When the operator runs "team validate $DIR/team-firm-a.toml"
    Then the tool exits with status 0 and prints "valid"
    When the operator runs "team diff $DIR/team-firm-a.toml"
    Then the tool exits with status 0 and prints nothing
    When the operator runs "--output json team list"
    Then the tool prints JSON
    When the operator runs "team get nobody"
    Then the tool exits with status 1 and prints "there is no"
    When the operator runs "team apply $DIR/team-firm-a.toml --wait-ms 20000"
    Then the tool exits with status 0 and prints "in force everywhere"
    When the operator runs "team history firm-a"
    Then the tool exits with status 0 and prints "WRITER"
    When the operator runs "status"
    Then the tool exits with status 0 and prints "in force"
    When the operator runs "target drain firm-a/guidance-1"
    Then the tool exits with status 0 and prints "drained by version"
    When the operator runs "target drain firm-a/guidance-1"
    Then the tool exits with status 0 and prints "already"
    When the operator runs "target restore firm-a/guidance-1"
    Then the tool exits with status 0 and prints "restored"
    When the operator runs "target drain firm-a/no-such"
    Then the tool exits with status 1 and prints "there is no target"
    When the operator runs "evacuate b"
    Then the tool exits with status 0 and prints "evacuated by version"
    And the owner of guidance of firm-a eventually shows b as evacuated
    When the operator runs "evacuate b"
    Then the tool exits with status 0 and prints "already"
    When the operator runs "--output json status"
    Then the tool prints the time of the evacuation of b and its writer
    When the operator runs "evacuate --return b"
    Then the tool exits with status 0 and prints "taken back"
    And the owner of guidance of firm-a eventually shows none as evacuated
    When the operator runs "evacuate --return b"
    Then the tool exits with status 0 and prints "not evacuated"
    When the operator runs "evacuate nowhere"
    Then the tool exits with status 1 and prints "there is no failure domain"
    When the operator runs "instance list"
    Then the tool exits with status 0 and prints "lm-1"
    When the operator runs "flow explain $ADDRESS --control $CONTROL"
    Then the tool exits with status 0 and prints "owner"
    When the operator runs "flow explain nowhere --control $CONTROL"
    Then the tool exits with status 2 and prints "IP:PORT"
    When the operator runs "flow inspect --control $CONTROL"
    Then the tool exits with status 0 and prints "counters"
    When the operator runs "version"
    Then the tool exits with status 0 and prints "LIFTMOUNT"

  Scenario: A team cannot use the addresses of another
    Given a "small" deployment and its documents
    When another team with the addresses of firm-a is applied
    Then the tool exits with status 2 and prints "is the address of firm-a"

  Scenario: The tool reports that the platform is out of reach
    Given a "small" deployment and its documents
    When the platform becomes unavailable
    And the operator runs "status"
    Then the tool exits with status 4 and prints "platform out of reach"

  Scenario: Watching the status prints each revision
    Given a "small" deployment and its documents
    When the operator watches the status while firm-a is changed
    Then the watch has printed two revisions

  Scenario: The load endpoint of a stand-in reports a configured value
    Given a "small" deployment and its documents
    When the load endpoint of a target reports 42 for its load
    Then it shows load 42 and health ok
