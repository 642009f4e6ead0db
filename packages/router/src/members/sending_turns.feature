Feature: Turns at the daemons that hold a document

  Background:
    Given a daemon "first" that sends a document in 100 ms and is free at 0 ms

  Scenario: Each daemon that has had its turn gives the next ones
    When "a" asks for its turn at 0 ms
    Then its turn is at "first" after 0 ms
    When "b" asks for its turn at 0 ms
    Then its turn is at "first" after 100 ms
    When "c" asks for its turn at 0 ms
    Then its turn is at "a" after 150 ms

  # Guards against turns at daemons that have restarted and hold nothing: after
  # the loss of a zone's power, these all ask again.
  Scenario: A daemon that asks again gets a new turn and gives none before it
    When "a" asks for its turn at 0 ms
    And "a" asks for its turn at 5000 ms
    Then its turn is at "first" after 0 ms
    When "b" asks for its turn at 5000 ms
    Then its turn is at "first" after 100 ms

  Scenario Outline: No turn is given that is more than 2 s ahead
    Given a daemon "first" that sends a document in <duration> ms and is free at 0 ms
    When "a" asks for its turn at 0 ms
    And "b" asks for its turn at 0 ms
    Then <result>

    Examples:
      | duration | result                               |
      | 2000     | its turn is at "first" after 2000 ms |
      | 2001     | it gets no turn                      |
