Feature: A daemon fetches newer state from its peers

  A call is an RPC from the daemon to a peer.

  Scenario: A fetch without an answer does not block fetches from other peers
    Given a daemon at revision 1 of the backend list
    When peer "unresponsive" advertises revision 5 and answers no call
    And peer "responsive" advertises revision 5
    And 100 ms pass for the fetches
    Then the daemon holds revision 5 of the backend list

  # All followers of the store advertise an update at once. Each of the other
  # daemons fetched it three times, which also read the configuration three times.
  Scenario: An update that several peers advertise is fetched once
    Given a daemon at revision 1 of the backend list
    And peers answer after 20 ms
    When peer "first" advertises revision 5
    And peer "second" advertises revision 5
    And peer "third" advertises revision 5
    And 200 ms pass for the fetches
    Then the daemon holds revision 5 of the backend list
    And 1 call was sent to the peers

  Scenario: A second fetch from the same peer is not sent while one is pending
    Given a daemon at revision 1 of the backend list
    When peer "unresponsive" advertises revision 5 and answers no call
    And peer "unresponsive" advertises revision 6 and answers no call
    Then 1 call was sent to the peers

  Scenario: An older backend list of a peer is not fetched
    Given a daemon at revision 7 of the backend list
    When peer "responsive" advertises revision 5
    Then the daemon holds revision 7 of the backend list
    And 0 calls were sent to the peers
