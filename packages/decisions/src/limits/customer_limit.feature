Feature: A customer's limit is enforced across daemons without messages
  Each daemon enforces an equal share of a limit of at least four requests per
  daemon by its own count. A smaller limit is divided among a few engines, and
  the owner of an engine, the daemon that counts its requests, enforces the
  engine's share. Rounding adds at most one request per engine to the limit.

  Scenario Outline: A customer that sends far more requests is held to its limit, plus rounding
    Given <daemons> daemons, <engines> engines and a customer limited to <limit>
    When the customer sends chats to every daemon until the daemon refuses one
    Then between <min> and <max> chats run at once

    Examples:
      | daemons | engines | limit | min  | max  |
      | 5       | 13      | 1     | 1    | 1    |
      | 5       | 13      | 3     | 3    | 4    |
      | 5       | 13      | 20    | 20   | 20   |
      | 5       | 13      | 200   | 200  | 200  |
      | 360     | 600     | 1     | 1    | 1    |
      | 360     | 600     | 20    | 20   | 21   |
      | 360     | 600     | 200   | 200  | 200  |
      | 360     | 600     | 1440  | 1440 | 1440 |

  Scenario: The removal of an engine reassigns few customers
    Given 360 daemons, 600 engines and a customer limited to 20
    When one engine leaves
    Then at most 1 in 100 of the engine assignments of 1000 customers has changed
