Feature: A daemon fetches newer state from its peers

  A call is an RPC from the daemon to a peer.

  Scenario: A fetch without an answer does not block fetches from other peers
    Given a daemon at revision 1 of the backend list
    When peer "unresponsive" advertises revision 5 and answers no call
    And peer "responsive" advertises revision 5
    Then the daemon holds revision 5 of the backend list

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
