Feature: A configuration spreads through the fleet over thin links

  # Guards against links that are filled by copies of a configuration: every
  # daemon read it from the store and from several peers at the same time, and
  # each transfer was ended by its timeout.
  Scenario: 78 daemons behind links of 10 Mbit/s get a large configuration
    Given 78 daemons behind links of 1250000 bytes a second, of which 3 follow the store
    When the followers hold an update with 1925 routes and advertise it
    Then the update is more than 40000 bytes when it is compressed
    And all daemons hold the update within 1500 ms
    And no daemon was sent the update twice
    And no daemon asked for it more than 4 times
    And no daemon read the store
    And no daemon sent more than half of its link's bandwidth
