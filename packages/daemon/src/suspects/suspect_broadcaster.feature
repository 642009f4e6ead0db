Feature: Every daemon that may serve a caller is sent each condemned request

  Scenario Outline: A request is condemned while a peer <peer>
    Given a daemon that broadcasts suspects and a peer that <peer>
    When the daemon broadcasts a condemned request in virtual time
    Then the peer receives the report <when> is answered

    Examples:
      | peer                                         | when                        |
      | answers heartbeats                           | before the caller           |
      | is suspected by mistake                      | before the caller           |
      | is known by the host list only               | before the caller           |
      | answers heartbeats but misses three calls    | within 2 s after the caller |
      | is suspected by mistake and misses one call  | within 2 s after the caller |
