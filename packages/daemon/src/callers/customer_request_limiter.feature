Feature: A customer's requests beyond its limit are refused before they run

  Scenario Outline: A daemon refuses requests above its share of a customer's limit, rounded up
    Given a customer limited to <limit> requests in flight on <daemons> daemons
    When <sent> of its requests reach one daemon and the first <ended> end immediately
    Then <run> of them run and <refused> are refused as not-run with the reason customer-limit

    Examples:
      | limit | daemons | sent | ended | run | refused |
      | 3     | 1       | 3    | 0     | 3   | 0       |
      | 3     | 1       | 5    | 0     | 3   | 2       |
      | 3     | 1       | 5    | 2     | 5   | 0       |
      | 20    | 5       | 6    | 0     | 4   | 2       |
      | 3     | 5       | 4    | 0     | 1   | 3       |
