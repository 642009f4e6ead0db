Feature: The route of a request is the one with the longest prefix of its path

  Scenario Outline: "<path>" at "<host>" gets <route>
    Given routes of shop.example for the prefixes "/,/a/,/a/b/,/a//,/c/d/"
    Then the route for "<path>" at "<host>" is "<route>"

    Examples:
      | path       | host          | route  |
      | /          | shop.example  | /      |
      | /x         | Shop.Example  | /      |
      | /a         | shop.example  | /      |
      | /a/        | shop.example  | /a/    |
      | /a/b       | shop.example  | /a/    |
      | /a/b/c/d   | shop.example  | /a/b/  |
      | /a//b/     | shop.example  | /a//   |
      | /c/x/d/    | shop.example  | /      |
      | /c/d/e     | shop.example  | /c/d/  |
      | a/b/       | shop.example  | none   |
      | *          | shop.example  | none   |
      | /a/        | other.example | none   |

  Scenario: Random paths get the route that a comparison with every prefix finds
    Then 2000 random paths get the longest of 40 random prefixes that begins them

  # Guards against a look-up that takes time with the square of the path: clients
  # without a key asked for paths of 15,900 slashes, and no other client was
  # answered.
  Scenario Outline: The look-up of a path of <kind> takes time in proportion to its length
    Given the work of finding a route for a path of <kind>
    When its processor time is measured for 4000 and for 16000 repetitions
    Then four times the input takes less than 8 times the processor time

    Examples:
      | kind               |
      | slashes            |
      | unknown segments   |
      | a prefix and more  |
