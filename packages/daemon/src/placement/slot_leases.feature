Feature: Slots are leases that outlive no failure for long
  The owner of an engine counts its requests. Daemons that hold slots renew
  them; what is not renewed is forgotten, and a new owner is told at once.

  Scenario Outline: A slot is not lost track of when something fails
    Given slot daemons d1, d2 and d3, whose engine e1 is owned by d1
    And d2 holds a slot of e1
    When for the slots <failure>
    Then after <seconds> seconds the slots of e1 counted by <owner> are <count>

    Examples:
      | failure                                    | seconds | owner | count |
      | nothing fails                              | 60      | d1    | 1     |
      | d2 releases it                             | 1       | d1    | 0     |
      | d2 releases it and the call is lost        | 1       | d1    | 1     |
      | d2 releases it and the call is lost        | 14      | d1    | 0     |
      | d2 dies                                    | 5       | d1    | 1     |
      | d2 dies                                    | 14      | d1    | 0     |
      | d2 is frozen                               | 14      | d1    | 0     |
      | d2 is frozen for 14 seconds                | 20      | d1    | 1     |
      | d1 dies and d3 owns e1                     | 1       | d3    | 1     |
      | only d2 takes d3 for the owner             | 1       | d3    | 1     |
      | only d2 takes d3 for the owner             | 14      | d1    | 0     |
      | d2 asks for another and its reply is lost  | 1       | d1    | 1     |
      | d2 asks again and reply and release are lost | 1     | d1    | 2     |
      | d2 asks again and reply and release are lost | 14    | d1    | 1     |

  Scenario Outline: Two owners of one engine share its bound
    Given slot daemons with 4 requests on each of two other engines
    When d1 and d2 both grant slots of e1 and <heard>
    Then the slots granted for e1 are at most <most>

    Examples:
      | heard                       | most |
      | each hears the other        | 8    |
      | only d1 hears the other     | 12   |
      | neither hears the other     | 16   |

  Scenario Outline: A request waits for its warm engine until a slot is released
    Given slot daemons with 4 requests on each of two other engines
    When d1 fills e1, <asker> waits 2 seconds and one slot is released after 0.9 seconds
    Then the waiting request gets its slot of e1 with at most <calls> calls

    Examples:
      | asker | calls |
      | d1    | 0     |
      | d2    | 2     |

  Scenario: A request that no longer waits is granted nothing later
    Given slot daemons with 4 requests on each of two other engines
    When d1 fills e1, d2 waits 1.05 seconds in calls that are cut off and one slot is released after 1.02 seconds
    Then the slots of e1 are one fewer than before
