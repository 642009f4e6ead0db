Feature: Why a chat went where it went
  Each daemon tells operators where a chat would go now and where it sent the
  chat lately. The directory names the daemon that counts the chosen engine.

  Scenario: The daemons explain a returning chat
    Given a fleet of 3 daemons, 4 engines and 2 workers
    When a chat of 3 turns, a lookup and a reservation are sent
    Then some daemon explains the chat by its ticket, with the engine that ran it
    And that daemon is the owner of the engine that it would choose
    And every daemon refuses to explain as the table says
      | key      | customer   | status |
      | none     | known      | 401    |
      | wrong    | known      | 401    |
      | operator | nobody     | 404    |
      | operator | known      | 200    |
