Feature: Daemons know of each other through faults

  Scenario Outline: A fleet of 5 in virtual time
    When the membership of 5 daemons goes through <case>
    Then within <gone> ms no daemon sends callers to what was lost
    And within <whole> ms all agree again, with no false suspicion

    Examples:
      | case                              | gone | whole |
      | kill                              | 3000 | 3000  |
      | freeze                            | 4000 | 3000  |
      | one-way-cut                       | 0    | 0     |
      | zone-parted                       | 6000 | 5000  |
      | region-parted                     | 6000 | 5000  |
      | restarts                          | 0    | 3000  |
      | all-replaced                      | 0    | 4000  |
      | started-without-platform          | 0    | 5000  |
      | started-without-platform-or-seeds | 0    | 5000  |
      | wrong-host-list                   | 0    | 5000  |
      | one-percent-loss                  | 0    | 0     |
      | slow-replies                      | 0    | 0     |

  Scenario: Daemons that were parted for less than they remember each other
    When the membership of 12 daemons goes through freeze
    Then within 4000 ms no daemon sends callers to what was lost
    And within 3000 ms all agree again, with no false suspicion

  Scenario Outline: A fleet of 18, in which not all are neighbours
    When the membership of 18 daemons goes through <case>
    Then within <gone> ms no daemon sends callers to what was lost
    And within <whole> ms all agree again, with no false suspicion

    Examples:
      | case         | gone | whole |
      | kill         | 4000 | 3000  |
      | zone-lost    | 8000 | 0     |
      | slow-replies | 0    | 0     |

  Scenario: What a fleet of 18 spends at rest, and how fast news is known
    When a fleet of 18 daemons takes its course in virtual time
    Then a daemon spends at most 3500 bytes a second at rest
    And a revision is known to all within 5000 ms
    And nobody is suspected falsely on the way

  Scenario: A connection that drops one direction
    Given members "a", "b" and "c" on this machine, where "a" reaches "b" through a relay
    When the relay drops what "a" sends for 4 seconds
    Then each member takes all three for live throughout
    And when "b" is stopped the other two drop it

  Scenario: News of a leaving backend server and of a newer configuration
    Given members "a", "b" and "c" on this machine, where "a" reaches "b" through a relay
    When only "a" sees engine "engine-7" leaving and runs revision 12
    Then every member knows that engine "engine-7" leaves and that revision 12 exists
