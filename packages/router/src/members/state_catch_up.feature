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

  # Guards against ignoring a store that returned from an older copy.
  Scenario Outline: A list is fetched if its era, or its revision in the same era, is higher
    Given a daemon at revision 90 of the backend list in era 1
    When peer "other" advertises revision <revision> in era <era>
    Then the daemon holds revision <holds> of the backend list
    And <calls> calls were sent to the peers

    Examples:
      | revision | era | holds | calls |
      | 40       | 2   | 40    | 1     |
      | 95       | 1   | 95    | 1     |
      | 90       | 1   | 90    | 0     |
      | 200      | 0   | 90    | 0     |

  # Daemons of earlier releases refuse calls with fields that they do not know.
  Scenario: A peer that advertises no era is sent none
    Given a daemon at revision 90 of the backend list
    When peer "earlier" advertises revision 95
    Then the daemon holds revision 95 of the backend list
    And the call names no era

  Scenario: A peer of an earlier release counts as of era 0
    Given a daemon at revision 90 of the backend list in era 1
    When peer "earlier" advertises revision 95
    Then the daemon holds revision 90 of the backend list
    And 0 calls were sent to the peers

  Scenario: A peer that advertises an era is sent the daemon's
    Given a daemon at revision 90 of the backend list in era 1
    When peer "other" advertises revision 95 in era 1
    Then the call names era 1
