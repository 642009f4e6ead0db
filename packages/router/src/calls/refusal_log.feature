Feature: Refused requests are logged in a bounded number of lines

  # Guards against clients that take processor time and log volume from others by
  # requests that are refused.
  Scenario: Of many refusals with one outcome in a second, 100 have a line
    When 250 requests are refused as "no-route" and 3 as "stopping" at 0 ms
    Then 100 lines name "no-route" and 3 name "stopping"
    And the fields of 103 refusals were made
    When a second ends for the log of refusals
    Then a line says that 150 further requests were refused as "no-route"
    When 20 requests are refused as "no-route" and 0 as "stopping" at 1500 ms
    Then 120 lines name "no-route" and 3 name "stopping"

  Scenario: A long text in a field is cut
    When a refusal is logged for a request with an id of 15000 characters
    Then its line has less than 2500 characters
