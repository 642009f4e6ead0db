Feature: A body never becomes a request of its own
  What a customer writes in a body reaches a backend server as that body, never
  as another request with headers that the customer chose.

  Scenario Outline: A body on <method> that reads as a request is not run
    Given the edge fleet of one daemon
    When a lookup by <method> bears a body that reads as a request
    And a second lookup follows it
    Then both lookups were answered with their own path
    And the worker ran those two and no smuggled one

    Examples:
      | method  |
      | GET     |
      | POST    |
      | PUT     |
      | PATCH   |
      | DELETE  |
      | OPTIONS |
