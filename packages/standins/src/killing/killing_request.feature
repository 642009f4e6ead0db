Feature: A request that crashes the backend servers that run it
  Its caller sends it 50 times, through every daemon in turn. At most two
  backend servers are lost to it in all, and what ran beside it is answered.

  Scenario Outline: A <kind> that kills, sent 50 times while <meanwhile>
    Given a fleet of five daemons whose backend servers are started again
    And innocent chats and lookups in flight on every backend server
    When a <kind> that kills is sent 50 times through every daemon while <meanwhile>
    Then at most 2 backend servers were lost to the request that kills
    And its caller was told at last not to send it again
    And every innocent request beside it was answered and none was blamed
    And innocent requests were in flight on what was lost
    And no whole innocent request had to be sent again for a crash

    Examples:
      | kind                                 | meanwhile                               |
      | chat                                 | a daemon is killed after the first send |
      | streamed chat                        | a daemon is frozen over the first send  |
      | lookup                               | the platform is down                    |
      | reservation with a new key each time | nothing else fails                      |
