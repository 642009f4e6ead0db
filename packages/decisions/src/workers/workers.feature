Feature: Choosing workers by what their results say

  Scenario: A worker that cannot be reached gets nothing for a while
    Given workers "a,b,c" that answered well
    When worker "b" was unreachable at 0 ms
    Then at 100 ms the avoided workers are "b"
    And at 500 ms the avoided workers are ""

  Scenario: A worker that is down for seconds is tried again ever less often
    Given workers "a,b,c" that answered well
    When worker "b" is unreachable whenever it is tried for 10000 ms
    Then worker "b" was tried at most 8 times

  Scenario: A grey worker is found by its failures and tried once a second
    Given workers "a,b,c,d" that answered well
    When worker "d" fails every second of 24 requests within 1000 ms
    Then at 1000 ms the avoided workers are "d"
    And at 2200 ms the avoided workers are ""

  Scenario: When all workers fail alike none is avoided
    Given workers "a,b,c,d" that answered well
    When every worker fails every second of 24 requests within 1000 ms
    Then at 1000 ms the avoided workers are ""

  Scenario Outline: Short requests go where an answer comes soonest
    Given worker "a" in zone "z1" with <inA> of 6 slots taken, <msA> ms and <failA> failing
    And worker "b" in zone "z2" with <inB> of 6 slots taken, <msB> ms and <failB> failing
    When a worker is chosen in zone "z1"
    Then the chosen worker is "<chosen>"

    Examples:
      | inA | msA | failA | inB | msB | failB | chosen |
      | 0   | 20  | 0     | 0   | 20  | 0     | a      |
      | 6   | 20  | 0     | 0   | 20  | 0     | b      |
      | 0   | 160 | 0     | 3   | 20  | 0     | b      |
      | 0   | 20  | 0.4   | 0   | 20  | 0     | b      |
