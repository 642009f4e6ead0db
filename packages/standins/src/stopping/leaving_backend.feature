Feature: A backend server that leaves gets no new work
  New requests stop within 3 s of the change of the host list, or at once when
  the server itself reports that it is leaving ("their own word"). Its requests
  in flight finish, and no caller sees an error.

  Scenario Outline: An engine and a worker leave under load by <way>
    Given a loaded fleet from which an engine and a worker will leave
    When they leave by <way>
    Then 3 s later the leaving servers get no new requests
    And all requests in flight on the leaving servers have finished
    And at most <refusals> requests were refused by the leaving engine
    And no caller of the fleet with leaving servers saw an error

    Examples:
      | way                  | refusals |
      | the host list        | 0        |
      | their own word       | 3        |
