Feature: Whoever may serve a caller is told of a condemned request

  Scenario Outline: A request is condemned while a peer <standing>
    Given a daemon with suspects to tell and a peer that <standing>
    When it tells of a condemned request in virtual time
    Then the peer is told <when>

    Examples:
      | standing                                     | when                        |
      | answers heartbeats                           | before the caller           |
      | is suspected by mistake                      | before the caller           |
      | is known by the host list only               | before the caller           |
      | answers heartbeats but misses three calls    | within 2 s after the caller |
      | is suspected by mistake and misses one call  | within 2 s after the caller |
