Feature: State of a request that was in flight when a backend server crashed
  One crash makes the request a suspect, a crash in its trial condemns it, and
  a completed run clears it.

  Scenario Outline: State of a request after <events>
    A refused resend renews a condemned entry only once half of the retention has
    elapsed. A suspect entry of another daemon replaces a suspect or cleared entry
    only if it is newer by more than one second.

    Given a suspect registry that keeps entries for 100 s
    When these events happen to a request: <events>
    Then the registry holds state <state> for the request

    Examples:
      | events                                                             | state     |
      | a completion                                                       | none      |
      | a crash                                                            | suspect   |
      | a crash, a crash                                                   | suspect   |
      | a crash, a crash in its trial                                      | condemned |
      | a crash, a completion                                              | cleared   |
      | a crash, a completion, a crash                                     | suspect   |
      | a crash, a crash in its trial, a completion                        | condemned |
      | a crash, a crash in its trial, a crash                             | condemned |
      | a crash, 99 s                                                      | suspect   |
      | a crash, 100 s                                                     | none      |
      | a crash, a crash in its trial, 100 s                               | none      |
      | a crash, a crash in its trial, 60 s, a refused resend, 60 s        | condemned |
      | a crash, a crash in its trial, 40 s, a refused resend, 60 s        | none      |
      | a crash, an update with state condemned                            | condemned |
      | an update with state condemned, a completion                       | condemned |
      | an update with state condemned, 50 s, an update with state suspect | condemned |
      | a crash, a completion, an update with state suspect                | cleared   |
      | a crash, a completion, 50 s, an update with state suspect          | suspect   |

  Scenario: A full registry evicts suspects before condemned requests
    Given a suspect registry that keeps entries for 100 s
    When 10 requests are condemned and 5000 others are suspected
    Then the registry holds 4096 entries, 10 of them condemned

  Scenario Outline: A trial is requested while <condition>
    Given a trial table in which daemon-1 runs trial a of suspect a on engine-1
    When daemon-2 requests a trial of suspect <suspect> on <engine> while <condition>
    Then the trial is <verdict>

    Examples:
      | suspect | engine   | condition            | verdict |
      | b       | engine-2 | trial a is running   | granted |
      | a       | engine-2 | trial a is running   | refused |
      | b       | engine-1 | trial a is running   | refused |
      | b       | engine-1 | trial a is released  | granted |
      | b       | engine-1 | daemon-1 is not live | granted |
      | b       | engine-1 | trial a is expired   | granted |
