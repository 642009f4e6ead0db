Feature: A listener follows limits on headers that are raised

  Background:
    Given a listener that reads bodies of up to 1000 bytes

  # Guards against proper requests that are refused by limits of the listener that
  # are below those of the operator, or that connections have kept from before.
  Scenario Outline: Headers of <size> KB on <connection>
    Given a client that got a reply of the listener
    When the listener's limit on headers becomes <limit> bytes
    And headers of <size> KB are sent on <connection>
    Then the client receives <reply> at last

    Examples:
      | limit | connection                | size | reply |
      | 32768 | a new connection          | 20   | a 200 |
      | 32768 | a new connection          | 40   | a 431 |
      | 32768 | the client's connection   | 20   | a 503 |
      | 32768 | the client's connection   | 10   | a 200 |
      | 8192  | a new connection          | 10   | a 200 |
      | 8192  | the client's connection   | 20   | a 431 |

  Scenario: A longer time for headers applies to requests that are under way
    When a client sends a part of the headers, and the rest 900 ms after the listener's time for them became 20000 ms
    Then the client receives a 200
