Feature: A customer's limit holds over all daemons without a message
  Daemons hold equal parts of a large limit by their own counts. A small limit
  is divided among a few engines, whose owners count every slot of theirs.

  Scenario Outline: A customer sends far more than its limit
    Given <daemons> daemons, <engines> engines and a customer limited to <limit>
    When its chats reach every daemon until nothing more is granted
    Then between <least> and <most> of them run at once

    Examples:
      | daemons | engines | limit | least | most |
      | 5       | 13      | 1     | 1     | 1    |
      | 5       | 13      | 3     | 3     | 4    |
      | 5       | 13      | 20    | 20    | 20   |
      | 5       | 13      | 200   | 200   | 200  |
      | 360     | 600     | 1     | 1     | 1    |
      | 360     | 600     | 20    | 20    | 21   |
      | 360     | 600     | 200   | 200   | 200  |
      | 360     | 600     | 1440  | 1440  | 1440 |

  Scenario: An engine that leaves moves few customers
    Given 360 daemons, 600 engines and a customer limited to 20
    When one engine leaves
    Then at most 1 in 100 of 1000 customers' engines has changed
