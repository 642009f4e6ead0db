Feature: Who may do what
  A request is run only for the customer whose key it carries, and the control
  listener answers only its own keys.

  Scenario Outline: A caller with <key> is answered <status>
    Given the edge fleet of one daemon
    When a lookup is sent with <key>
    Then the edge answers <status> with outcome <outcome>

    Examples:
      | key                           | status | outcome  |
      | its own key                   | 200    | complete |
      | the second of two valid keys  | 200    | complete |
      | a key that was revoked        | 401    | not-run  |
      | a wrong key                   | 401    | not-run  |
      | no key                        | 401    | not-run  |
      | another customer's key        | 401    | not-run  |
      | the key of an unknown customer | 401   | not-run  |
      | an operator key               | 401    | not-run  |

  Scenario Outline: <path> on the control listener with <key> is answered <status>
    Given the edge fleet of one daemon
    When the control listener is asked for <path> with <key>
    Then the edge answers <status>

    Examples:
      | path     | key              | status |
      | dump     | an operator key  | 200    |
      | dump     | the old operator key | 200 |
      | dump     | no key           | 401    |
      | dump     | a peer key       | 401    |
      | dump     | a customer key   | 401    |
      | drain    | no key           | 401    |
      | drain    | a peer key       | 401    |
      | peer     | a peer key       | 200    |
      | peer     | an operator key  | 401    |
      | peer     | no key           | 401    |
      | health   | no key           | 200    |
      | ready    | no key           | 200    |

  Scenario: A customer neither reads nor uses what is another's
    Given the edge fleet of one daemon
    When two customers use one chat name, one ticket and one idempotency key
    Then the second customer's chat was cold and its reservation ran for itself

  Scenario: No secret is shown
    Given the edge fleet of one daemon
    When a lookup is sent with its own key
    And a lookup is sent with a wrong key
    Then no key of the edge fleet is in its logs, its dump or its command line
