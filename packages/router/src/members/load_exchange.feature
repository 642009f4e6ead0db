Feature: Loads of engines are known to all daemons of a large fleet within 0.8 s

  # Load pattern: many daemons that each see a small part of the traffic, and one
  # engine that all of them prefer. With loads that are seconds old, all daemons
  # send to that engine. The fleet is simulated on virtual time, with 6 zones.

  Scenario Outline: With <daemons> daemons, <loss> in 100 datagrams lost
    Given a fleet of <daemons> daemons in 6 zones that loses <loss> in 100 datagrams
    When each daemon gets 2 more requests in flight at engine "e1"
    Then after <ms> ms every daemon counts the requests of all others at "e1", give or take <percent> in 100
    And a daemon that is no collector receives at most 6 datagrams a second
    And a collector receives at most 130 datagrams a second

    Examples:
      | daemons | loss | ms   | percent |
      | 18      | 0    | 800  | 0       |
      | 78      | 0    | 800  | 0       |
      | 78      | 2    | 1600 | 10      |
      | 360     | 0    | 2000 | 0       |

  Scenario: Without the collector of a zone the counts of heartbeats are used, then those of the next collector
    Given a fleet of 78 daemons in 6 zones that loses 0 in 100 datagrams
    When each daemon gets 2 more requests in flight at engine "e1"
    And the collectors of two zones lose power
    Then after 400 ms every daemon counts at least 2 in 3 of the requests at "e1"
    When the daemons without power are no longer ready
    Then after 800 ms every daemon counts the requests of all others at "e1", give or take 5 in 100

  Scenario: Requests that have ended are no longer counted
    Given a fleet of 78 daemons in 6 zones that loses 0 in 100 datagrams
    When each daemon gets 2 more requests in flight at engine "e1"
    And 1000 ms pass in the fleet
    And all requests in flight end
    Then after 800 ms every daemon counts the requests of all others at "e1", give or take 0 in 100
