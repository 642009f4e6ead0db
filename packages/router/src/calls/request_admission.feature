Feature: A request is refused for good only by an up-to-date configuration

  Configuration 4 has the path "/a/" and the key "k1" only.

  # Guards against 404 and 401 for routes and keys that were written seconds ago:
  # a daemon that knew that it was behind refused them by its old configuration.
  Scenario Outline: A request with <what> waits for the configuration that allows it
    Given admission by configuration 4, while a peer advertises 5
    When a request for "<path>" with the key "<key>" arrives
    And 100 ms pass for admission
    Then no request has a result
    When configuration 5 with the path "/b/" and the key "k2" becomes active
    Then the result of 1 request is "admitted"

    Examples:
      | what        | path | key |
      | a new route | /b/x | k1  |
      | a new key   | /a/x | k2  |

  Scenario Outline: The newer configuration may refuse a request for good
    Given admission by configuration 4, while a peer advertises 5
    When a request for "<path>" with the key "<key>" arrives
    And configuration 5 with the path "/b/" and the key "k2" becomes active
    Then the result of 1 request is "<result>"

    Examples:
      | path | key | result      |
      | /c/x | k1  | no-route    |
      | /b/x | k3  | unknown-key |

  Scenario: A request that the active configuration allows does not wait
    Given admission by configuration 4, while a peer advertises 5
    When a request for "/a/x" with the key "k1" arrives
    Then the result of 1 request is "admitted"

  Scenario Outline: A request with <timeout> ms left is refused for now after <wait> ms
    Given admission by configuration 4, while a peer advertises 5
    And clients wait <timeout> ms for an answer
    When a request for "/b/x" with the key "k1" arrives
    And <before> ms pass for admission
    Then no request has a result
    When 1 ms pass for admission
    Then the result of 1 request is "outdated-configuration"

    Examples:
      | timeout | wait | before |
      | 5000    | 300  | 299    |
      | 400     | 100  | 99     |

  # Guards against requests with unknown paths that hold memory while they wait.
  Scenario: Of a crowd 100 requests wait, the others are refused for now at once
    Given admission by configuration 4, while a peer advertises 5
    When 150 requests for "/b/x" with the key "k1" arrive
    Then the result of 50 requests is "outdated-configuration"
    When configuration 5 with the path "/b/" and the key "k2" becomes active
    Then the result of 100 requests is "admitted"
    When 1 request for "/c/x" with the key "k1" arrives
    Then the result of 1 request is "no-route"

  Scenario: Requests whose clients left do not count as waiting
    Given admission by configuration 4, while a peer advertises 5
    When 100 requests for "/b/x" with the key "k1" arrive
    And their clients leave
    And 1 request for "/b/x" with the key "k1" arrives
    Then no request has a result

  Scenario: Refusals of a crowd give delays that differ
    Given admission by configuration 4, while a peer advertises 5
    Then 8 refusals in turn give 8 delays from 200 to 410 ms

  Scenario: No request waits for a configuration that has been missing for long
    Given admission by configuration 4, while a peer has advertised 5 for 4000 ms
    When a request for "/b/x" with the key "k1" arrives
    Then the result of 1 request is "outdated-configuration"

  Scenario: A request is refused for good once no running peer has a newer configuration
    Given admission by configuration 4, while a peer advertises 5
    When a request for "/b/x" with the key "k1" arrives
    And the peer that advertises 5 stops
    And 100 ms pass for admission
    Then the result of 1 request is "no-route"

  Scenario: A request waits while a reply of the store arrives
    Given admission by configuration 4, while a reply of the store arrives
    When a request for "/b/x" with the key "k1" arrives
    And 100 ms pass for admission
    Then no request has a result
    When the reply has arrived and 100 ms pass for admission
    Then the result of 1 request is "no-route"

  # Guards against a daemon that is cut off from the store and from all peers that
  # reach it: it refused new routes and keys for good for as long as that lasted.
  Scenario Outline: A configuration that was last confirmed <age> ms ago gives "<result>"
    Given admission by configuration 4, confirmed <age> ms ago
    When a request for "/b/x" with the key "k1" arrives
    Then the result of 1 request is "<result>"

    Examples:
      | age   | result                 |
      | 9000  | no-route               |
      | 11000 | outdated-configuration |
