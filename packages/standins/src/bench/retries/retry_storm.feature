Feature: A retry storm does not outlast its cause
  Half of the engines' answers fail for 30 s of virtual time, at 70 % of the
  engines' capacity, with the daemons' own retry decisions.

  Scenario Outline: Offered load and recovery by the way of trying again
    When a retry storm runs at 5 daemons and 13 engines with <way>
    Then its offered load is <load> and it recovers in <recovery>

    Examples:
      | way           | load         | recovery       |
      | budgeted      | at most 1.1  | under 5 s      |
      | naive-3-tries | at least 1.5 | at least 30 s  |
