Feature: Work that may not be repeated runs at most once
  A reservation is sent through daemons of a fleet while a fault is brought
  about; what callers were told is compared with the workers' own records.

  Scenario Outline: One reservation under a fault
    Given a booking fleet whose faults are off
    When a reservation meets this: <fault>
    Then its callers were told in turn <told>
    And the workers ran it <runs> times
    And no attempt that was told not-run had run

    Examples:
      | fault                                                 | told                       | runs |
      | no fault                                              | complete complete          | 1    |
      | holder killed once its claim stands                   | nothing unknown            | 0    |
      | holder killed after its claim, then the platform down | nothing not-run unknown    | 0    |
      | holder killed after the dispatch                      | nothing unknown            | 1    |
      | holder killed after the record                        | nothing complete           | 1    |
      | holder frozen between claim and dispatch              | complete unknown complete  | 1    |
      | claim's reply lost                                    | complete complete          | 1    |
      | claim's reply and its reading back lost               | not-run complete           | 1    |
      | platform down                                         | not-run complete           | 1    |
      | platform down after an earlier attempt                | complete not-run complete  | 1    |
      | silence after the bytes left                          | unknown unknown            | 1    |
      | worker's reply lost                                   | unknown unknown            | 1    |
      | every worker leaving                                  | not-run complete           | 1    |
      | every worker leaving, then back                       | not-run complete           | 1    |
      | every worker killed before                            | not-run complete           | 1    |
      | caller leaves before the answer                       | complete                   | 1    |
      | same key with another body                            | complete not-run           | 1    |
      | no key                                                | not-run                    | 0    |
      | a key without a time                                  | not-run                    | 0    |
      | a key older than its retention                        | not-run                    | 0    |
      | a key from the future                                 | not-run                    | 0    |

  Scenario: One reservation is sent through every daemon at once
    Given a booking fleet whose faults are off
    When a reservation is sent 20 times at once
    Then each of its callers was told complete or unknown
    And the workers ran it 1 times

  Scenario: Two customers use the same key
    Given a booking fleet whose faults are off
    When two customers each send a reservation under the same key
    Then each of them got the answer to its own work
