Feature: Callers get their own whole answer or an explicit failure
  The daemon's own relay before an engine that cuts, repeats, drops or crosses
  what it sends.

  Scenario Outline: A <form> chat is cut at every byte of its reply
    Given the chat path before an engine behind a cutting proxy
    When a <form> chat is cut at every byte of the reply, <cuts> times each
    Then none of the cut chats looked complete without being whole and own
    And <which> of the chats cut after the headers was complete

    Examples:
      | form     | cuts | which |
      | streamed | 1    | each  |
      | streamed | 2    | each  |
      | whole    | 1    | none  |

  Scenario Outline: An engine that sends what it should not
    Given the chat path before a scripted engine
    When the engine answers a <form> chat with <script>
    Then the scripted chat's caller was told <told>

    Examples:
      | form     | script                               | told     |
      | streamed | its own events                       | complete |
      | streamed | an event twice                       | complete |
      | streamed | an event missing                     | failed   |
      | streamed | the last token missing               | failed   |
      | streamed | the end too early                    | failed   |
      | streamed | another request's event              | failed   |
      | streamed | another request's event repeated     | failed   |
      | streamed | another request's stream             | failed   |
      | streamed | events without ids                   | failed   |
      | streamed | an error in the middle               | failed   |
      | streamed | broken JSON in the middle            | failed   |
      | streamed | a cut, then the rest                 | complete |
      | streamed | a cut, then all again                | complete |
      | streamed | a cut, then one event less           | failed   |
      | streamed | a cut, then another request's rest   | failed   |
      | whole    | a whole answer                       | complete |
      | whole    | half an answer with its whole length | failed   |
      | whole    | half an answer without a length      | failed   |
      | whole    | an answer with half its length       | failed   |
      | whole    | another request's whole answer       | failed   |
      | streamed | its own refusal                      | not-run  |
      | whole    | another request's refusal            | failed   |
