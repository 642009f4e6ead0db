Feature: A daemon that hears few others does not take their shares of a limit

  # A daemon that heard no other one took the whole fixed part of the fleet's
  # retry budget, while the others used theirs (BUDGET, budget_alone.toml).
  Scenario Outline: The size of the fleet is kept while daemons are not heard
    Given a daemon that hears <before> daemons, itself included, for 30 s
    When it hears <after> daemons for <seconds> s
    Then it assumes a fleet of <assumed> daemons

    Examples:
      | before | after | seconds | assumed |
      | 5      | 1     | 12      | 5       |
      | 23     | 4     | 300     | 23      |
      | 3      | 8     | 1       | 8       |
      | 360    | 300   | 700     | 300     |

  Scenario: Daemons that hear no other stay within the retry budget of the fleet
    Given a fleet retry budget of 50 in 10 s, whatever the number of requests
    When 5 daemons hear each other for 30 s, and then none hears another for 12 s
    And each of the parted daemons retries as often as its share allows
    Then all of them together made at most 50 retries
