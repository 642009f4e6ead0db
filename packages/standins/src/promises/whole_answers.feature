Feature: Callers get their own complete answer or an explicit failure
  The daemon's chat path in front of an engine that drops connections, repeats
  or omits events, or sends the answer to another request.

  # The three steps of one form and number of losses cover every byte together.
  Scenario Outline: A <form> chat loses its connection at every third byte of the reply, from byte <first>
    Given the chat path in front of an engine behind a disconnecting proxy
    When a <form> chat loses its connection at every third byte of the reply from byte <first>, <losses> times each
    Then no interrupted chat was reported complete without its complete own answer
    And <which> of the chats interrupted after the headers was complete

    Examples:
      | form         | losses | first | which |
      | streamed     | 1      | 1     | each  |
      | streamed     | 1      | 2     | each  |
      | streamed     | 1      | 3     | each  |
      | streamed     | 2      | 1     | each  |
      | streamed     | 2      | 2     | each  |
      | streamed     | 2      | 3     | each  |
      | non-streamed | 1      | 1     | none  |
      | non-streamed | 1      | 2     | none  |
      | non-streamed | 1      | 3     | none  |

  Scenario Outline: An engine that sends a wrong answer
    Given the chat path in front of a scripted engine
    When the engine answers a <form> chat with <script>
    Then the scripted chat's caller received <outcome>

    Examples:
      | form         | script                                                   | outcome  |
      | streamed     | its own events                                           | complete |
      | streamed     | each event twice                                         | complete |
      | streamed     | an event missing                                         | failed   |
      | streamed     | the last token missing                                   | failed   |
      | streamed     | the end event too early                                  | failed   |
      | streamed     | another request's event                                  | failed   |
      | streamed     | another request's event repeated                         | failed   |
      | streamed     | another request's stream                                 | failed   |
      | streamed     | events without ids                                       | failed   |
      | streamed     | an error in the middle                                   | failed   |
      | streamed     | broken JSON in the middle                                | failed   |
      | streamed     | a lost connection, then the rest                         | complete |
      | streamed     | a lost connection, then all events again                 | complete |
      | streamed     | a lost connection, then the rest without its first event | failed   |
      | streamed     | a lost connection, then another request's rest           | failed   |
      | streamed     | a lost connection, then an error                         | failed   |
      | streamed     | a lost connection, then the head of an error in a stream | failed   |
      | non-streamed | a complete answer                                        | complete |
      | non-streamed | half an answer with the full content-length              | failed   |
      | non-streamed | half an answer without a content-length                  | failed   |
      | non-streamed | an answer with half its content-length                   | failed   |
      | non-streamed | another request's complete answer                        | failed   |
      | streamed     | its own refusal                                          | not-run  |
      | non-streamed | another request's refusal                                | failed   |

  Scenario: Random events never relay a wrong answer
    When a stream check receives 2000 random sequences of events
    Then the relayed events are always the beginning of the request's own answer
