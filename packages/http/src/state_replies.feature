Feature: Replies with state that a daemon needs itself

  # Guards against a large configuration that is discarded, as the largest body,
  # while bodies of clients fill the budget of the process.
  Scenario Outline: A reply of 600000 bytes <result> under <budget> while clients' bodies fill theirs
    Given bodies of clients that fill the budget of the process
    When a reply of 600000 bytes is read under <budget>
    Then the reply <result>

    Examples:
      | budget                        | result                 |
      | the budget of clients' bodies | fails as "overloaded"  |
      | the budget of state           | is read                |
