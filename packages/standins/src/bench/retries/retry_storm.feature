Feature: A retry storm ends soon after the failures that caused it
  Half of the engines' answers fail for 30 s of virtual time. Requests arrive at
  70 % of the engines' capacity, and the production retry policy decides on
  retries. Naive retries are the baseline.

  Scenario Outline: Offered load and recovery time of each retry strategy
    When a retry storm runs at 5 daemons and 13 engines with <strategy>
    Then its offered load is <load> and it recovers in <recovery>

    Examples:
      | strategy      | load         | recovery       |
      | budgeted      | at most 1.1  | under 5 s      |
      | naive-3-tries | at least 1.5 | at least 30 s  |
