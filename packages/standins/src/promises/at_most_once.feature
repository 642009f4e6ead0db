Feature: Work that may not be repeated runs at most once
  A reservation is sent through daemons of a fleet during a fault. The outcomes
  reported to its callers are compared with the workers' records of their runs.
  The holder is the daemon that claimed the reservation's idempotency key. The
  outcome no-reply means that the connection ended without a reply.

  Scenario Outline: One reservation under a fault
    Given a booking fleet without faults
    When a reservation is sent with the fault: <fault>
    Then its callers received in turn <outcomes>
    And the workers ran the reservation <runs> times
    And no attempt that was reported not-run had run

    Examples:
      | fault                                                        | outcomes                  | runs |
      | no fault                                                     | complete complete         | 1    |
      | holder killed after its claim was stored                     | no-reply unknown          | 0    |
      | holder killed after its claim was stored, then platform down | no-reply not-run unknown  | 0    |
      | holder killed after dispatching to a worker                  | no-reply unknown          | 1    |
      | holder killed after recording the answer                     | no-reply complete         | 1    |
      | holder frozen between claim and dispatch                     | complete unknown complete | 1    |
      | claim's reply lost                                           | complete complete         | 1    |
      | replies to the claim and to the read after it lost           | not-run complete          | 1    |
      | platform down                                                | not-run complete          | 1    |
      | platform down after an earlier attempt                       | complete not-run complete | 1    |
      | worker silent after the request was sent                     | unknown unknown           | 1    |
      | worker's reply lost                                          | unknown unknown           | 1    |
      | every worker leaving, resent through another daemon          | not-run complete          | 1    |
      | every worker leaving, resent through the same daemon         | not-run complete          | 1    |
      | every worker killed before the first attempt                 | not-run complete          | 1    |
      | caller disconnects before the answer                         | complete                  | 1    |
      | same key with another body                                   | complete not-run          | 1    |
      | no key                                                       | not-run                   | 0    |
      | a key without a timestamp                                    | not-run                   | 0    |
      | a key older than its retention period                        | not-run                   | 0    |
      | a key made one hour ahead                                    | not-run                   | 0    |

  Scenario: One reservation sent through all daemons concurrently
    Given a booking fleet without faults
    When a reservation is sent 20 times concurrently
    Then each of its callers received complete or unknown
    And the workers ran the reservation 1 times

  Scenario: The same key from two customers names two reservations
    Given a booking fleet without faults
    When two customers each send a reservation under the same key
    Then each customer received the answer to its own reservation
