Feature: Platform adapter
  Packets, stored objects and settings are parsed; input that is invalid is
  rejected with an error of the project.

  Scenario: A packet header is parsed field by field
    When a packet with known fields is parsed
    Then each field of the segment has the expected value

  Scenario: A packet is forwarded unchanged except for its tag
    When a packet with known fields is forwarded to target number 0x7f3a91c2
    Then an eight-byte target number precedes the packet, and only the tag differs

  Scenario: A reset is addressed from the route to the client
    When a flow is refused at acknowledgement 77
    Then the reset has sequence number 77, no data, no checksum and only the reset flag

  Scenario Outline: Arbitrary datagrams raise nothing but PacketError
    When <count> random datagrams are parsed as packets
    Then each yields a segment or a PacketError

    Examples:
      | count |
      | 2000  |

  Scenario Outline: A target entry is read, or refused with the invalid field
    When the entry of target <name> has <change>
    Then it is <outcome>

    Examples:
      | name       | change                 | outcome                        |
      | i-7f3a91c2 | nothing else           | read with number 2134544834    |
      | i-0a       | nothing else           | read with number 10            |
      | i-xyz      | nothing else           | refused for name               |
      | i-00112233445566778 | nothing else  | refused for name               |
      | i-1        | address = nowhere      | refused for address            |
      | i-1        | no address             | refused for address            |
      | i-1        | no backend             | refused for backend            |
      | i-1        | capacity = none        | refused for capacity           |
      | i-1        | no capacity            | refused for capacity           |
      | i-1        | no zone                | refused for zone               |
      | i-1        | no version             | refused for version            |
      | i-1        | no state               | refused for state              |
      | i-1        | no warmup_left_ms      | refused for warmup_left_ms     |
      | i-1        | no sequence            | refused for sequence           |
      | i-1        | sequence = four        | refused for sequence           |
      | i-1        | state = retired        | refused for state              |
      | i-1        | state = 1              | refused for state              |
      | i-1        | born = soon            | refused for born               |
      | i-1        | born = 1.5             | refused for born               |
      | i-1        | born = -5              | refused for born               |
      | i-1        | born = 1700000000000   | read as started at 1700000000000 |
      | i-1        | nothing else           | read as started at 0           |
      | i-1        | state = draining       | read as draining               |
      | i-1        | surprise = 3           | read with number 1             |

  Scenario Outline: A configuration is read, or refused with the invalid field
    When the configuration has <change>
    Then it is <outcome>

    Examples:
      | change                            | outcome                                |
      | nothing else                      | read with 2 routes in version 7        |
      | version = seven                   | refused for version                    |
      | no version                        | refused for version                    |
      | no routes                         | refused for routes                     |
      | routes = many                     | refused for routes                     |
      | limits.idle_timeout_ms = soon     | read without limits.idle_timeout_ms, with 2 routes in version 7 |
      | backends.0.warmup_per_s = many    | read without backends[0].warmup_per_s, with 2 routes in version 7 |
      | backends.0.warmup_s = long        | read without backends[0].warmup_s, with 2 routes in version 7 |
      | backends.0 = 7                    | read without backends[0]., with 2 routes in version 7 |
      | no backends                       | read without backends, with 2 routes in version 7 |
      | surprise = 3                      | read with 2 routes in version 7        |

  Scenario Outline: An invalid route is left out, and the other routes are read
    When the configuration has <change>
    Then route <index> is left out for <field>, and the other one is read

    Examples:
      | change                            | index | field             |
      | routes.0.host = nowhere           | 0     | host              |
      | routes.0.path_prefix = /path/     | 0     | path_prefix       |
      | routes.1.path_prefix = /70000/    | 1     | path_prefix       |
      | routes.0.backend = 5              | 0     | backend           |
      | routes.0.allowed_regions = east   | 0     | allowed_regions   |
      | routes.1.weighted_backends.0.weight = much | 1 | weighted_backends[0].weight |
      | routes.1.type = 5                 | 1     | type              |

  Scenario Outline: The type of a route sets its request kind
    When the configuration has <change>
    Then its first route is served as <kind>, and <count> problems are reported

    Examples:
      | change                         | kind         | count |
      | nothing else                   | repeatable   | 0     |
      | routes.0.type = non_idempotent | at_most_once | 0     |
      | routes.0.type = upload         | upload       | 0     |
      | routes.0.type = strange        | at_most_once | 1     |

  Scenario: A configuration of another name is refused
    When a configuration of another name is read
    Then it is refused for name

  Scenario Outline: An unknown route kind from a later version is at_most_once
    When a member sends a route of the kind <kind>
    Then it is served as <served>

    Examples:
      | kind       | served       |
      | upload     | upload       |
      | strange    | at_most_once |

  Scenario Outline: An invalid item of a list does not affect the others
    When a list holds a valid entry and <item>
    Then the valid entry is read, and <left_out> is left out

    Examples:
      | item                     | left_out          |
      | null                     | items[0]          |
      | 5                        | items[0]          |
      | an item without meta     | items[0]          |
      | an item without a name   | items[0]          |
      | a revision that is text  | items[0]          |
      | an entry without fields  | servers/i-bad     |
      | an entry that is text    | servers/i-bad     |
      | an entry of bytes        | servers/i-bad     |
      | an entry of broken JSON  | servers/i-bad     |
      | an entry nested deeply   | servers/i-bad     |
      | an entry with a line break | servers/i-bad   |

  Scenario Outline: An invalid change does not affect the others
    When a watch returns a valid entry and <item>
    Then the valid entry is read, and <left_out> is left out

    Examples:
      | item                     | left_out          |
      | null                     | events[0]         |
      | an item without a name   | events[0]         |
      | an entry without fields  | servers/i-bad     |
      | an entry of bytes        | servers/i-bad     |
      | an entry of broken JSON  | servers/i-bad     |
      | an entry nested deeply   | servers/i-bad     |

  Scenario: An entry that becomes invalid counts as removed
    When a watch returns a valid entry and an entry without fields
    Then the target of the invalid entry is reported as removed

  Scenario: A list is refused if a page that is not the last has no names
    When a page of a list that continues has no names
    Then the list is refused, and no object counts as removed

  Scenario: A rejected object is logged once per revision and exported until it is valid
    When an object is refused 3 times at revision 4 and 2 times at revision 5
    Then 2 log lines report it, and the metrics name object and field
    When the object is valid again
    Then the metrics no longer name it

  Scenario Outline: Valid entries are read whatever else an answer holds
    When <count> lists hold valid entries among random items
    Then each valid entry is read

    Examples:
      | count |
      | 300   |

  Scenario Outline: A configuration sets slow start and allowed regions
    When the configuration has <change>
    Then guide gets <rate> requests per second for <duration> ms in slow start, and the first route allows <regions>

    Examples:
      | change                                 | rate | duration | regions    |
      | nothing else                           | any  | 0        | any        |
      | backends.0.warmup_per_s = 0            | any  | 0        | any        |
      | backends.0.warmup_per_s = 10           | 10   | 2000     | any        |
      | routes.0.allowed_regions = [east,west] | any  | 0        | east, west |

  Scenario Outline: A configuration is unchanged in a snapshot
    When the configuration has <change>
    Then a member that pulls it holds the same routes

    Examples:
      | change                                 |
      | nothing else                           |
      | backends.0.warmup_per_s = 10           |
      | routes.0.allowed_regions = [east,west] |

  Scenario Outline: An evacuation is valid whatever its content
    When an evacuation of domain b holds <content>
    Then domain b is evacuated

    Examples:
      | content |
      | {}      |
      | nothing |
      | 5       |

  Scenario Outline: A list has the revision of its oldest page
    When a list is read in pages of the revisions <revisions>
    Then it holds the objects of all pages, as of revision <revision>

    Examples:
      | revisions | revision |
      | 7         | 7        |
      | 7, 9      | 7        |
      | 9, 7, 8   | 7        |

  Scenario Outline: Arbitrary documents are read or refused
    When <count> random documents are read as entries, routes and answers
    Then each is read, or refused with an error of the project

    Examples:
      | count |
      | 300   |

  Scenario Outline: Invalid settings are refused with file, key and value
    When the settings have <change>
    Then the settings are <outcome>

    Examples:
      | change                  | outcome                                |
      | nothing else            | read                                   |
      | surprise = "new"        | read                                   |
      | listen.packets = "here" | refused for listen.packets = 'here'    |
      | zone = 3                | refused for zone = 3                   |
      | bounds.grace_s = "long" | refused for bounds.grace_s = 'long'    |
      | platform = 5            | refused for platform. = 5              |
      | no ephemeral_ports      | refused for ephemeral_ports = None     |
      | seeds = "far"           | refused for seeds = 'far'              |
      | zones = "far"           | refused for zones = 'far'              |
