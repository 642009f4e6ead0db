Feature: A daemon short of processor time refuses requests that it reads too late

  Scenario Outline: A request that lost too much of its time budget is refused
    A delay of up to fifty milliseconds counts as none.

    Given a daemon whose timers fire <late> ms late
    Then it <decision> a request that has <budget> ms

    Examples:
      | late | budget | decision |
      | 0    | 1000   | takes    |
      | 40   | 60     | takes    |
      | 400  | 1000   | takes    |
      | 600  | 1000   | refuses  |
      | 600  | 1500   | takes    |
      | 2500 | 3000   | refuses  |

  Scenario: Requests are taken again after the next timer that fires on time
    Given a daemon whose timers fire 2500 ms late
    When its next timer fires on time
    Then it takes a request that has 1000 ms

  Scenario: The time before a request was read counts as waiting time
    Given a daemon whose timers fire 400 ms late
    Then a request read now has waited 400 ms
