Feature: What is held against a request that backend servers crashed under
  One crash makes a suspect, a crash in its trial condemns it, an end clears it.

  Scenario Outline: A request meets <events>
    Given a book of suspects that keeps entries for 100 s
    When a request meets in turn <events>
    Then the book holds <state> against the request

    Examples:
      | events                                            | state     |
      | an end                                            | nothing   |
      | a crash                                           | suspect   |
      | a crash, a crash                                  | suspect   |
      | a crash, a crash in its trial                     | condemned |
      | a crash, an end                                   | cleared   |
      | a crash, an end, a crash                          | suspect   |
      | a crash, a crash in its trial, an end             | condemned |
      | a crash, a crash in its trial, a crash            | condemned |
      | a crash, 99 s                                     | suspect   |
      | a crash, 100 s                                    | nothing   |
      | a crash, a crash in its trial, 100 s              | nothing   |
      | a crash, a crash in its trial, 60 s, a send, 60 s | condemned |
      | a crash, a crash in its trial, 40 s, a send, 60 s | nothing   |
      | a crash, news of guilt                            | condemned |
      | news of guilt, an end                             | condemned |
      | news of guilt, 50 s, news of suspicion            | condemned |
      | a crash, an end, news of suspicion                | cleared   |
      | a crash, an end, 50 s, news of suspicion          | suspect   |

  Scenario: A book that is full forgets the least first
    Given a book of suspects that keeps entries for 100 s
    When 10 requests are condemned and 5000 others are suspected
    Then the book holds 4096 entries and still the 10

  Scenario Outline: A trial is asked for while <standing>
    Given a table of trials in which daemon-1 runs suspect a on engine-1
    When daemon-2 asks for suspect <suspect> on <engine> while <standing>
    Then the trial is <verdict>

    Examples:
      | suspect | engine   | standing                       | verdict |
      | b       | engine-2 | that runs                      | granted |
      | a       | engine-2 | that runs                      | refused |
      | b       | engine-1 | that runs                      | refused |
      | b       | engine-1 | that was released              | granted |
      | b       | engine-1 | daemon-1 is gone               | granted |
      | b       | engine-1 | the time of that trial is over | granted |
