Feature: Imports of a balancer before it forwards packets
  Each import delays the restart of a killed balancer; see docs/PLATFORM.md.

  Scenario: Packets are forwarded before the event loop is imported
    When the modules imported before the first packet are listed
    Then none of them is aiohttp, asyncio, cattrs, cbor2, concurrent, logging, reactivex, socket, ssl, statsd, tomllib, urllib, websockets or argparse
    And at most 45 of them are liftmount's

  Scenario: Startup imports only what a balancer needs
    When the modules imported at startup are listed
    Then none of them is aiohttp, cattrs, cbor2, reactivex, ssl, statsd, tomllib, websockets or argparse
    And at most 56 of them are liftmount's

  Scenario: Packets are forwarded between imports
    Given a module that imports 2 others
    When it is imported within the import hook
    Then the callback was called before it and before each of the 2 modules that it imports

  Scenario: The deploy file names the port of the metrics
    Then deploy/system.toml names the metrics port of the settings

  Scenario: Nothing outside the adapter depends on it
    Then no module outside liftmount/platform imports it
    And no module outside liftmount/platform names a field of the platform

  # Guards against an operator's SIGHUP that ends a balancer which starts.
  Scenario Outline: SIGHUP is ignored before anything else is imported
    When <program> has run until it ignores SIGHUP
    Then SIGTERM <is recorded> by then
    And it has imported <modules> modules or fewer by then, none of them from a package that it depends on

    Examples:
      | program            | is recorded     | modules |
      | the launcher       | is recorded     | 0       |
      | liftmount.platform | is recorded     | 6       |
      | liftmountd         | is recorded     | 6       |

  # Guards against a start that runs more than the interpreter's own start
  # while SIGHUP still ends the process.
  Scenario Outline: Nothing is imported while SIGHUP still ends the process
    When the command of <place> is run with its imports listed
    Then it has imported what an interpreter does that runs no program, until it handles signals

    Examples:
      | place                       |
      | the deploy file             |
      | the tests and the soak      |

  # Guards against work of the launcher's own while SIGHUP still ends it.
  Scenario: The launcher does nothing else before it handles signals
    When the launcher is traced until it ignores SIGHUP
    Then it has called __build_class__ alone, and run at most 20 lines
