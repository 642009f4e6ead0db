Feature: Bodies that are being read take a limited memory together

  # Faulty workers may send bodies without end, and clients may send bodies that
  # they never finish, on many connections: each within its own limit, and all
  # together more than the process may take.
  Scenario Outline: <endless> bodies without an end keep the process within its limit, and sound ones are read
    Given a budget of 1000000 bytes for bodies
    When <endless> bodies without an end and 20 sound ones of 2000 bytes arrive by turns, in chunks of <size> bytes
    Then the bodies never took more than 1000000 bytes
    And the 20 sound bodies were read unchanged
    And at least <ended> bodies without an end failed as "overloaded"
    And no body is left in the budget

    Examples:
      | endless | size | ended |
      | 1       | 100  | 1     |
      | 50      | 100  | 50    |
      | 50      | 1000 | 50    |
