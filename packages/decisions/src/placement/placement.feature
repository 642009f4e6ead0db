Feature: Placement of chats on engines
  The ticket, the engines' load and the estimated costs determine the engine. The
  decision reports its reason.

  Scenario Outline: A chat is placed by its ticket, and the reason is reported
    Engine z, which some tickets name, has left.

    Given engines a, b, c and d with <loads> requests in flight and a bound of 4
    When a chat is placed with <ticket>
    Then the placement's first engine is <first> for the reason <reason>

    Examples:
      | loads   | ticket                                                 | first  | reason         |
      | 3,0,0,0 | a ticket of engine a for 4000 tokens                   | a      | ticket-warm    |
      | 4,0,0,0 | a ticket of engine a for 100 tokens                    | not a  | moved-bound    |
      | 4,0,0,0 | a ticket of engine a for 60000 tokens                  | a      | wait-warm      |
      | 4,3,0,0 | a ticket of engine a for 4000 tokens, earlier engine b | b      | moved-bound    |
      | 4,4,0,0 | a ticket of engine a for 4000 tokens, earlier engine b | c or d | moved-bound    |
      | 0,0,0,0 | a ticket of engine z for 4000 tokens                   | any    | engine-leaving |
      | 0,3,0,0 | a ticket of engine z for 4000 tokens, earlier engine b | b      | engine-leaving |
      | 0,4,4,4 | no ticket                                              | a      | home           |
      | 0,0,0,0 | no ticket                                              | any    | home           |

  Scenario: A reported count at the bound does not move a chat from another daemon's engine
    Given engines a, b, c and d with 4,0,0,0 requests in flight and a bound of 4
    And every engine is owned by another daemon
    When a chat is placed with a ticket of engine a for 100 tokens
    Then the placement's first engine is a for the reason wait-warm

  Scenario: Engines that are reported as full are still tried
    The bound follows a total that lags behind the load. If engines at the bound
    were skipped, the load of a fleet that has just started could not rise.

    Given engines a, b, c and d with 1,1,1,1 requests in flight and a bound of 1
    And every engine is owned by another daemon
    When a chat is placed with no ticket
    Then the placement lists 4 engines to try

  Scenario Outline: Only an engine's own limit applies while the mean load is unknown
    An engine's owner is the daemon that counts the engine's requests. Every
    engine has the same limit, and the load multiple is one and a half.

    Given the owner of one of 10 engines, each with <loads>, limited to 50 requests
    When 100 more requests ask the owner for a slot on its engine
    Then <granted> of the requests get a slot

    Examples:
      | loads                                                  | granted |
      | 8 requests in flight, all reported                     | 5       |
      | 8 requests in flight, the other 9 engines not reported | 42      |

  Scenario: An engine in the daemon's zone is preferred at equal load
    Given engines a, b, c and d with 2,2,2,2 requests in flight and a bound of 4
    When 50 new chats are placed by a daemon in the zone of d
    Then at least 20 of the chats are placed on d, which is the only engine in that zone

  Scenario Outline: A ticket is used only if it is valid and belongs to the chat
    Given a placement that accepts tickets signed with either of two keys
    When the caller sends back <ticket>
    Then the placement <result>

    Examples:
      | ticket                                | result             |
      | the ticket of the last answer         | uses the ticket    |
      | a ticket signed with the older key    | uses the ticket    |
      | a ticket that names no earlier engine | uses the ticket    |
      | a ticket issued a day ago             | uses the ticket    |
      | a ticket with one character wrong     | ignores the ticket |
      | a ticket signed with another key      | ignores the ticket |
      | a ticket of another customer          | ignores the ticket |
      | a ticket of another chat              | ignores the ticket |
      | a ticket without its signature        | ignores the ticket |
      | a ticket of 3000 characters           | ignores the ticket |
      | text that is no ticket                | ignores the ticket |
      | nothing                               | ignores the ticket |

  Scenario: A chat whose ticket was lost is usually placed on its engine again
    Given 8 engines of equal load that chats are placed on
    When 500 chats are placed without a ticket, and again under different loads
    Then at least half of the chats are placed on the same engine again

  Scenario: The load bound allows every request and exceeds the load multiple of the mean by less than one request
    Then for any load the bound allows every request and exceeds the load multiple of the mean by less than one request
