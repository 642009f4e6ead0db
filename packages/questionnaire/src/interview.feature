Feature: Asking the questionnaire in a terminal
  Questions are asked in plain terms; a wrong answer is asked for again, and
  only what the earlier answers make necessary is asked.

  Scenario: A small deployment is answered from nothing
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
    And it said "It sets how far the busiest engine may go above the mean."
    And it said "Write one of: reuse, evenness; or its number."
    And it said "Write a whole number."
    And it said "is not ID HOST:PORT ZONE."
    And it said "A key has at least 16 characters."
    And it never showed "a-key-of-sixteen-characters"

  Scenario: Weights are asked about only where the fleet is to manage them
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
    Then it said "Which version of the model should its engines have?"
    And the interview's engines get version "2026-11-a" and adapters "letters,tagging", 1 at once

  Scenario: Earlier answers are kept by empty lines
    Given the questionnaire's fixture of registry
    When the questionnaire is asked again with empty lines only
    Then the interview gives the same answers

  Scenario Outline: One question is answered again by its id: <id>
    Given the questionnaire's fixture of velo_compartido
    When the answer <id> becomes "<text>"
    Then one answer differs, or it is refused: <result>

    Examples:
      | id                                      | text                    | result  |
      | customers/parroquia-san-jose/atMostAtOnce | 50                    | differs |
      | engines/assistant/servers/engine-14     | 10.10.1.20:8000 centro-a | differs |
      | engines/assistant/servers/engine-14     | 10.10.1.10:8000 centro-a | refused |
      | engines/assistant/mattersMore           | evenness                | differs |
      | engines/assistant/modelVersion          | 2026-11-a               | differs |
      | engines/assistant/adapters              | letters, tagging        | differs |
      | engines/assistant/outOfWorkAtOnce       | 0                       | refused |
      | engines/assistant/mattersMore           | speed                   | refused |
      | customers/parroquia-san-jose/atMostAtOnce | 0                     | refused |
      | customers/parroquia-san-jose/colour     | blue                    | refused |
      | customers/nobody/atMostAtOnce           | 50                      | refused |
