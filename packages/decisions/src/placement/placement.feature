Feature: Where a chat is placed
  The ticket, the engines' load and the estimated costs decide the engine, and
  the decision says why.

  Scenario Outline: A chat is placed by its ticket, with the reason told
    Given engines a, b, c and d with <loads> in flight, placed under a bound of 4
    When a chat is placed with <ticket>
    Then the placement's first engine is <first> for the reason <reason>

    Examples:
      | loads   | ticket                                     | first    | reason         |
      | 3,0,0,0 | a ticket of a over 4000 tokens             | a        | ticket-warm    |
      | 4,0,0,0 | a ticket of a over 100 tokens              | not a    | moved-bound    |
      | 4,0,0,0 | a ticket of a over 60000 tokens            | a        | wait-warm      |
      | 4,3,0,0 | a ticket of a over 4000 tokens, earlier b  | b        | moved-bound    |
      | 4,4,0,0 | a ticket of a over 4000 tokens, earlier b  | c or d   | moved-bound    |
      | 0,0,0,0 | a ticket of z over 4000 tokens             | any      | engine-leaving |
      | 0,3,0,0 | a ticket of z over 4000 tokens, earlier b  | b        | engine-leaving |
      | 0,4,4,4 | no ticket                                  | a        | home           |
      | 0,0,0,0 | no ticket                                  | any      | home           |

  Scenario: A lagging report of a full engine does not move a chat
    Given engines a, b, c and d with 4,0,0,0 in flight, placed under a bound of 4
    And another daemon counts the requests of every engine placed on
    When a chat is placed with a ticket of a over 100 tokens
    Then the placement's first engine is a for the reason wait-warm

  Scenario: Engines reported as full are asked all the same
    A bound that follows a lagging total would otherwise keep a cold fleet cold.

    Given engines a, b, c and d with 1,1,1,1 in flight, placed under a bound of 1
    And another daemon counts the requests of every engine placed on
    When a chat is placed with no ticket
    Then the placement lists 4 engines to ask

  Scenario Outline: An engine's own limit holds where the mean is not known
    Given an owner of one of 10 engines, each with <loads>, limited to 50
    When its engine is asked for 100 requests more
    Then <granted> of them are granted

    Examples:
      | loads                            | granted |
      | 8 in flight, all reported        | 5       |
      | 8 in flight, not one of 9 heard  | 42      |

  Scenario: The nearer of two engines otherwise equal is preferred
    Given engines a, b, c and d with 2,2,2,2 in flight, placed under a bound of 4
    When 50 new chats are placed from the zone of d
    Then at least 20 of them are placed on d, which is nearer than its equals

  Scenario Outline: A caller's ticket decides only if it is the chat's own
    Given a placement that reads tickets signed with either of two keys
    When the caller hands back <ticket>
    Then the placement <reading>

    Examples:
      | ticket                            | reading             |
      | the ticket of the last answer     | follows the ticket  |
      | a ticket signed with the old key  | follows the ticket  |
      | a ticket that names no earlier one| follows the ticket  |
      | a ticket of a day ago             | follows the ticket  |
      | a ticket with one character wrong | takes it for lost   |
      | a ticket signed with another key  | takes it for lost   |
      | a ticket of another customer      | takes it for lost   |
      | a ticket of another chat          | takes it for lost   |
      | a ticket without its signature    | takes it for lost   |
      | a ticket of 3000 characters       | takes it for lost   |
      | text that is no ticket            | takes it for lost   |
      | nothing                           | takes it for lost   |

  Scenario: A chat whose ticket was lost probably finds its engine again
    Given 8 engines with even loads for placement
    When 500 chats are placed, and placed again without a ticket under other loads
    Then at least half of them are placed on the same engine

  Scenario: The bound lets every request be placed and stays by its multiple
    Then for any load the bound places every request and exceeds the multiple by less than one
