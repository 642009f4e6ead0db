Feature: The servers of one request's attempts and evacuated availability zones

  Servers "s1", "s2" and "s3" are each in the zone of the same name.

  # Guards against an attempt at a server that was reserved before its zone was
  # evacuated.
  Scenario Outline: A server that was reserved before the evacuation is not used
    Given a request of a service with the servers "<servers>"
    When its first attempt is under way and the next server is reserved
    And the zone of the reserved server is evacuated
    Then its next attempt is at <next>
    And it has taken 1 retry

    Examples:
      | servers  | next         |
      | s1,s2,s3 | the third server |
      | s1,s2    | no server        |

  Scenario: A reserved server outside evacuated zones is used
    Given a request of a service with the servers "s1,s2,s3"
    When its first attempt is under way and the next server is reserved
    Then its next attempt is at the reserved server
    And it has taken 1 retry

  Scenario: If the zones of all servers are evacuated, there is no first attempt
    Given a request of a service with the servers "s1,s2"
    When the zones of all its servers are evacuated
    Then its next attempt is at no server
    And it has taken 0 retries
