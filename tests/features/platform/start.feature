Feature: What a balancer imports before it serves
  Each import costs a killed balancer's clients time; see docs/PLATFORM.md.

  Scenario: Only what serves packets is imported at a start
    When the modules of a start are listed
    Then none of them is aiohttp, cattrs, cbor2, reactivex, ssl, statsd, websockets or argparse
    And at most 45 of them are liftmount's

  Scenario: The port of the metrics is the one that the deploy file names
    Then deploy/system.toml names the metrics port of the settings

  Scenario: Nothing outside the adapter knows it
    Then no module outside liftmount/platform imports it
    And no module outside liftmount/platform names a field of the platform
