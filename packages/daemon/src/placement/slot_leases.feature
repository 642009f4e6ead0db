Feature: Slots of an engine are counted as leases
  The owner of an engine counts the engine's requests in flight. Each request
  holds a slot, whose lease its daemon renews. A slot whose lease is not renewed
  expires. After a change of owner, the holders report their slots to the new
  owner at their next check.

  Scenario Outline: A slot in use stays counted, and an unused one expires
    Given slot daemons d1, d2 and d3, whose engine e1 is owned by d1
    And d2 holds a slot of e1
    When this happens: <event>
    Then after <seconds> seconds the slots of e1 counted by <owner> are <count>

    Examples:
      | event                                                   | seconds | owner | count |
      | no other event                                          | 60      | d1    | 1     |
      | d2 releases its slot                                    | 1       | d1    | 0     |
      | d2 releases its slot and the RPC is lost                | 1       | d1    | 1     |
      | d2 releases its slot and the RPC is lost                | 14      | d1    | 0     |
      | d2 crashes                                              | 5       | d1    | 1     |
      | d2 crashes                                              | 14      | d1    | 0     |
      | d2 stops renewing                                       | 14      | d1    | 0     |
      | d2 stops renewing for 14 seconds                        | 20      | d1    | 1     |
      | d1 crashes and d3 owns e1                               | 1       | d3    | 1     |
      | only d2 takes d3 for the owner                          | 1       | d3    | 1     |
      | only d2 takes d3 for the owner                          | 14      | d1    | 0     |
      | d2 requests another slot and the reply is lost          | 1       | d1    | 1     |
      | d2 requests another slot and reply and release are lost | 1       | d1    | 2     |
      | d2 requests another slot and reply and release are lost | 14      | d1    | 1     |

  # In this and the following scenarios the maximum load multiple is 1.5. The
  # bound of an engine follows from it and the mean load of the engines.
  Scenario Outline: Two owners of one engine exceed its bound only if one does not list the other as live
    Given slot daemons with 4 requests on each of two other engines
    When d1 and d2 are both asked for slots of e1 and <liveness>
    Then the slots granted for e1 are at most <most>

    Examples:
      | liveness                        | most |
      | each lists the other as live    | 8    |
      | only d1 lists the other as live | 12   |
      | neither lists the other as live | 16   |

  Scenario Outline: A request that waits for an engine gets a slot when one is released
    Given slot daemons with 4 requests on each of two other engines
    When d1 takes all slots of e1, <asker> requests one and waits up to 2 seconds and one slot is released after 0.9 seconds
    Then the waiting request gets its slot of e1 with at most <calls> RPCs

    Examples:
      | asker | calls |
      | d1    | 0     |
      | d2    | 2     |

  Scenario: No slot is granted to a request that has stopped waiting
    Given slot daemons with 4 requests on each of two other engines
    When d1 takes all slots of e1, d2 requests one and waits up to 1.05 seconds in RPCs that fail at the sender while the owner handles them and one slot is released after 1.02 seconds
    Then e1 has one slot fewer in use than when all were taken
