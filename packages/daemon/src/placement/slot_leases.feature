Feature: Slots of an engine are counted as leases
  The owner of an engine counts the engine's requests in flight. Each request
  holds a slot, whose lease its daemon renews. A slot whose lease is not renewed
  expires, and a new owner is sent the slots in use at once.

  Scenario Outline: A slot in use stays counted and an unused slot expires after a failure
    Given slot daemons d1, d2 and d3, whose engine e1 is owned by d1
    And d2 holds a slot of e1
    When for the slots <failure>
    Then after <seconds> seconds the slots of e1 counted by <owner> are <count>

    Examples:
      | failure                                            | seconds | owner | count |
      | nothing fails                                      | 60      | d1    | 1     |
      | d2 releases its slot                               | 1       | d1    | 0     |
      | d2 releases its slot and the call is lost          | 1       | d1    | 1     |
      | d2 releases its slot and the call is lost          | 14      | d1    | 0     |
      | d2 crashes                                         | 5       | d1    | 1     |
      | d2 crashes                                         | 14      | d1    | 0     |
      | d2 is frozen                                       | 14      | d1    | 0     |
      | d2 is frozen for 14 seconds                        | 20      | d1    | 1     |
      | d1 crashes and d3 owns e1                          | 1       | d3    | 1     |
      | only d2 assumes d3 is the owner                    | 1       | d3    | 1     |
      | only d2 assumes d3 is the owner                    | 14      | d1    | 0     |
      | d2 requests another and the reply is lost          | 1       | d1    | 1     |
      | d2 requests another and reply and release are lost | 1       | d1    | 2     |
      | d2 requests another and reply and release are lost | 14      | d1    | 1     |

  Scenario Outline: Two owners of one engine exceed its bound only if one does not hear the other
    Given slot daemons with 4 requests on each of two other engines
    When d1 and d2 both grant slots of e1 and <hearing>
    Then the slots granted for e1 are at most <most>

    Examples:
      | hearing                 | most |
      | each hears the other    | 8    |
      | only d1 hears the other | 12   |
      | neither hears the other | 16   |

  Scenario Outline: A request that waits for its warm engine gets a slot when one is released
    Given slot daemons with 4 requests on each of two other engines
    When d1 fills e1, <asker> waits 2 seconds and one slot is released after 0.9 seconds
    Then the waiting request gets its slot of e1 with at most <calls> calls

    Examples:
      | asker | calls |
      | d1    | 0     |
      | d2    | 2     |

  Scenario: No slot is granted to a request that has stopped waiting
    Given slot daemons with 4 requests on each of two other engines
    When d1 fills e1, d2 waits 1.05 seconds in calls that are cut off and one slot is released after 1.02 seconds
    Then the slots of e1 are one fewer than before
