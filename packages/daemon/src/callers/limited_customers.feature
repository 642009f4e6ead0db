Feature: A customer's requests beyond its limit are refused before they run

  Scenario Outline: Requests of one customer arrive while others still run
    Given a customer limited to <limit> requests before <daemons> daemons
    When <sent> of its requests reach one daemon and <ended> of them end first
    Then <run> of them run and <refused> are told not-run because of customer-limit

    Examples:
      | limit | daemons | sent | ended | run | refused |
      | 3     | 1       | 3    | 0     | 3   | 0       |
      | 3     | 1       | 5    | 0     | 3   | 2       |
      | 3     | 1       | 5    | 2     | 5   | 0       |
      | 20    | 5       | 6    | 0     | 4   | 2       |
      | 3     | 5       | 4    | 0     | 1   | 3       |
