Feature: Heartbeats of a large fleet do not carry loads that collectors tell

  # Load pattern: every daemon sends its heartbeat to every other one, so that
  # the bytes for each daemon grow with the requests in flight. The fleet is
  # simulated on virtual time; bytes are the lengths of the messages in JSON.

  Scenario Outline: <daemons> daemons in <zones> zones with <requests> requests each at <servers> servers
    Given a simulated fleet of <daemons> daemons in <zones> zones with <requests> requests each at <servers> servers
    Then a daemon of the simulated fleet sends at most <heartbeats> bytes a second in heartbeats, where all counts take more than <before>

    Examples:
      | daemons | zones | requests | servers | heartbeats | before |
      | 23      | 3     | 35       | 101     | 18000      | 30000  |
      | 81      | 3     | 8        | 66      | 18700      | 23000  |
      | 360     | 6     | 130      | 600     | 18000      | 50000  |

  # Guards against daemons that count nothing because peers left out their
  # counts. A daemon that cannot be heard is not counted: 1 of 77 others.
  Scenario Outline: When <loss>, every daemon goes on counting the requests of the others
    Given a simulated fleet of 78 daemons in 6 zones with 4 requests each at 3 servers
    When in the simulated fleet <loss>
    Then for 15000 ms every simulated daemon counts at least 97 in 100 of the requests of the others
    When each simulated daemon gets 4 more requests at 3 servers
    Then after <ms> ms every simulated daemon counts the requests of the others, give or take <percent> in 100

    Examples:
      | loss                                       | ms   | percent |
      | a collector loses power                    | 800  | 1       |
      | a zone loses power                         | 800  | 1       |
      | a daemon hears nothing from its collector  | 2600 | 2       |
      | a collector hears nothing from another one | 2600 | 2       |

  Scenario Outline: <ms> ms after <loss>, every daemon counts new requests
    Given a simulated fleet of 78 daemons in 6 zones with 4 requests each at 3 servers
    When in the simulated fleet <loss>
    And each simulated daemon gets 4 more requests at 3 servers
    Then after <ms> ms every simulated daemon counts at least 97 in 100 of the requests of the others

    Examples:
      | loss                    | ms   |
      | a collector loses power | 2300 |
      | a zone loses power      | 3800 |
