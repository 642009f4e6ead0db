Feature: Explanation of the placement of a chat
  Each daemon reports to operators which engine it would choose for a chat now,
  and which engines it chose recently. The directory names the owner: the daemon
  that counts the requests of the chosen engine.

  Scenario: The daemons explain a returning chat
    Given a fleet of 3 daemons, 4 engines and 2 workers
    When a chat of 3 turns, a lookup and a reservation are sent
    Then some daemon attributes the choice to the ticket and names the engine that ran it
    And that daemon is the owner of the engine that it would choose
    And every daemon refuses to explain as the table says
      | key      | customer   | status |
      | none     | known      | 401    |
      | wrong    | known      | 401    |
      | operator | nobody     | 404    |
      | operator | known      | 200    |
