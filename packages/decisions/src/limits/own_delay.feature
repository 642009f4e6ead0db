Feature: A daemon that is short of processor time refuses what it reads too late

  Scenario Outline: What a daemon does whose timers come late
    Given a daemon whose timers come <late> ms late
    Then it <does> a request that has <budget> ms

    Examples:
      | late | budget | does    |
      | 0    | 1000   | takes   |
      | 40   | 60     | takes   |
      | 400  | 1000   | takes   |
      | 600  | 1000   | refuses |
      | 600  | 1500   | takes   |
      | 2500 | 3000   | refuses |

  Scenario: It takes requests again with its next timely sample
    Given a daemon whose timers come 2500 ms late
    When its next timer comes in time
    Then it takes a request that has 1000 ms

  Scenario: The time that a request waited counts against its limit
    Given a daemon whose timers come 400 ms late
    Then a request that it reads has waited 400 ms
