Feature: Interview of an operator in a terminal
  An invalid answer is refused with a message and its question asked again.
  Questions that earlier answers make unnecessary are left out.

  Scenario: An interview without earlier answers refuses invalid lines and hides keys
    When the questionnaire is asked with the lines
      | Velo        |
      | yes         |
      | assistant   |
      | ?           |
      | warmth      |
      | 1           |
      |             |
      | soon        |
      | 60          |
      |             |
      | engine-1    |
      | engine-1 10.0.1.10:8000 centro-a, engine-2 10.0.2.10:8000 centro-b |
      |             |
      |             |
      |             |
      | no          |
      | yes         |
      | parish      |
      | short       |
      | a-key-of-sixteen-characters |
      | assistant   |
      |             |
      |             |
    Then the interview gives 1 model service, 0 plain services and 1 customer
    And the interview printed "The answer sets how far the load of one engine may exceed the mean; choose reuse if long chat histories would have to be processed again."
    And the interview printed "Write one of: reuse, evenness; or the number of a choice."
    And the interview printed "Write a whole number."
    And the interview printed "is not ID HOST:PORT ZONE."
    And the interview printed "A key has at least 16 characters."
    And neither the output nor the answers contain "a-key-of-sixteen-characters"

  Scenario: Questions about weights are asked only if the fleet should load model versions
    Given the questionnaire's fixture of velo_compartido
    When the questionnaire is asked again with the lines
      |             |
      | change      |
      |             |
      |             |
      |             |
      |             |
      |             |
      |             |
      | yes         |
      | 2026-11-a   |
      | letters, tagging |
      |             |
      |             |
      |             |
    Then the interview printed "Which version of the model should the engines load?"
    And the model service in the result gets version "2026-11-a" and adapters "letters,tagging", with at most 1 out of work at once

  Scenario: Empty lines keep all earlier answers
    Given the questionnaire's fixture of registry
    When the questionnaire is asked again with empty lines only
    Then the interview gives the same answers

  Scenario Outline: An update by id changes exactly one answer or is refused: <id>
    Given the questionnaire's fixture of velo_compartido
    When the answer <id> is updated to "<text>"
    Then the update changes one answer or is refused: <result>

    Examples:
      | id                                      | text                    | result  |
      | customers/parroquia-san-jose/atMostAtOnce | 50                    | changed |
      | engines/assistant/servers/engine-14     | 10.10.1.20:8000 centro-a | changed |
      | engines/assistant/servers/engine-14     | 10.10.1.10:8000 centro-a | refused |
      | engines/assistant/mattersMore           | evenness                | changed |
      | engines/assistant/modelVersion          | 2026-11-a               | changed |
      | engines/assistant/adapters              | letters, tagging        | changed |
      | engines/assistant/outOfWorkAtOnce       | 0                       | refused |
      | engines/assistant/mattersMore           | speed                   | refused |
      | customers/parroquia-san-jose/atMostAtOnce | 0                     | refused |
      | customers/parroquia-san-jose/colour     | blue                    | refused |
      | customers/nobody/atMostAtOnce           | 50                      | refused |
