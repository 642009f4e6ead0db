Feature: Claims of idempotency keys
  The claim stores of several daemons write to one table whose calls are lost or
  delayed, or whose replies are lost.

  Scenario Outline: Racing claims in a faulty table run each key at most once
    When 3 claim stores race for 60 keys with seed <seed>
    Then no key's work ran more than once
    And no claim without a holder is left

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |

  Scenario: Concurrent claims share transactions
    When one claim store receives 1000 claims concurrently
    Then each of the claims is stored and owned by its attempt
    And the claims took at most 10 transactions

  Scenario Outline: Validation of idempotency keys
    When a claim's key is <key>
    Then the key is <status>

    Examples:
      | key                  | status    |
      | made now             | usable    |
      | made 23 hours ago    | usable    |
      | made 25 hours ago    | expired   |
      | made 4 minutes ahead | usable    |
      | made 6 minutes ahead | malformed |
      | a random UUID        | malformed |
      | any other text       | malformed |

  Scenario: Only the rows of expired keys are deleted
    Given claims of keys made 0, 24, 25, 27 and 48 hours ago
    When the rows of expired claims are deleted
    Then the claims made 0, 24 and 25 hours ago are left
