Feature: Replies of peers over slow links

  # Guards against giving up, and asking again for, a reply that is large or comes
  # over a slow link.
  Scenario Outline: A peer that sends <what> gives <result> to a call with a timeout of 300 ms
    Given a peer that sends <what>
    When a daemon calls the peer with a timeout of 300 ms
    Then the call of the peer gives <result> after <at least> to <at most> ms

    Examples:
      | what                                  | result   | at least | at most |
      | its reply in parts over 900 ms        | a result | 800      | 5000    |
      | the head of a reply and nothing after | an error | 700      | 5000    |
      | nothing                               | an error | 250      | 5000    |
