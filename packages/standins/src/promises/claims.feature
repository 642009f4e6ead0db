Feature: Claims of idempotency keys
  Several daemons' claim books write to one table whose calls are lost, are
  late, or lose their replies.

  Scenario Outline: Racing claims over a table that loses calls
    When 3 claim books race for 60 keys with seed <seed>
    Then no key's work ran more than once
    And no claim is left that nobody holds

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |

  Scenario: Claims that arrive together share a transaction
    When 1000 claims arrive at one claim book at once
    Then each of the claims stands
    And they took at most 10 transactions

  Scenario Outline: What an idempotency key must be
    When a claim's key is <key>
    Then the key is <standing>

    Examples:
      | key                               | standing  |
      | made now                          | usable    |
      | made 23 hours ago                 | usable    |
      | made 25 hours ago                 | expired   |
      | made 4 minutes ahead              | usable    |
      | made 6 minutes ahead              | malformed |
      | a random UUID                     | malformed |
      | any other text                    | malformed |

  Scenario: Rows of expired keys are deleted and no others
    Given claims of keys made 0, 24, 25, 27 and 48 hours ago
    When the claims are swept
    Then the claims made 0, 24 and 25 hours ago are left
