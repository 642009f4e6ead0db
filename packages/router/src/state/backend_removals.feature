Feature: Peers hear of removed backend servers

  # A reading of the whole table after an outage has no row for a removed server.
  # Peers were not told, and kept it while others only counted down a cold time.
  Scenario: Peers hear of a server that was removed during an outage of the store
    Given a backend list with the servers "s1,s2" at revision 100
    When the whole list is read again at revision 120 with the server "s1"
    Then the change of the list is advertised with revision 120
