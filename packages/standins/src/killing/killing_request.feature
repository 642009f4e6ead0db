Feature: A request that crashes the backend servers that run it
  A request crashes each backend server that runs it, and its caller sends it 50
  times, to the daemons in turn. At most two backend servers may crash, and the
  unrelated requests that run meanwhile must be answered.

  Scenario Outline: A <kind> that kills, sent 50 times while <meanwhile>
    Given a fleet of five daemons whose crashed backend servers are restarted
    And unrelated chats and lookups in flight on every backend server
    When a <kind> that kills is sent 50 times, to the daemons in turn, while <meanwhile>
    Then at most 2 backend servers crashed from the request that kills
    And the last reply refused the request as a suspect without Retry-After
    And every unrelated request was answered and none was refused as a suspect
    And unrelated requests were in flight on the crashed backend servers
    And no unrelated non-streamed request failed because of a crash

    Examples:
      | kind                                 | meanwhile                               |
      | chat                                 | a daemon is killed after the first send |
      | streamed chat                        | a daemon is frozen over the first send  |
      | lookup                               | the platform is down                    |
      | reservation with a new key each time | nothing else fails                      |
