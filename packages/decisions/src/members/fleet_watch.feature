Feature: Watchers find a stopped daemon within 1.5 s in a fleet of any size

  # Guards against clients that are sent to a daemon without power for as long
  # as heartbeats to all others take to show it: 5.9 s with 78 daemons. The fleet
  # is simulated on virtual time.

  Scenario Outline: With <daemons> daemons, of which <lost> lose power at once
    Given a watched fleet of <daemons> daemons that loses <loss> in 100 heartbeats
    When <lost> daemons lose power
    Then within <ms> ms no daemon sends clients to them
    And no running daemon was left out by more than <wrong> others

    Examples:
      | daemons | loss | lost | ms   | wrong |
      | 36      | 0    | 1    | 1500 | 0     |
      | 78      | 0    | 1    | 1500 | 0     |
      | 300     | 0    | 1    | 1500 | 0     |
      | 78      | 1    | 1    | 2000 | 0     |
      | 78      | 0    | 13   | 3000 | 0     |
      | 300     | 0    | 50   | 3500 | 0     |

  Scenario Outline: A daemon that <does> condemns nobody, and is back when it is heard
    Given a watched fleet of 78 daemons that loses 0 in 100 heartbeats
    When a daemon <does> for 5000 ms
    Then no other daemon was left out by more than 0 others
    And 1000 ms later every daemon sends clients to it again

    Examples:
      | does        |
      | is frozen   |
      | hears none  |
      | is cut off  |

  Scenario: One broken connection condemns nobody
    Given a watched fleet of 78 daemons that loses 0 in 100 heartbeats
    When the heartbeats between two daemons are lost for 5000 ms
    Then no running daemon was left out by more than 0 others
