Feature: Choosing workers by their recent results

  Scenario: An unreachable worker is avoided for a pause
    Given workers "a,b,c" that replied without failures
    When worker "b" was unreachable at 0 ms
    Then at 100 ms the avoided workers are "b"
    And at 500 ms the avoided workers are ""

  Scenario: The pause grows while a worker stays unreachable
    Given workers "a,b,c" that replied without failures
    When worker "b" is unreachable at every attempt for 10000 ms
    Then worker "b" got at most 8 attempts

  Scenario: A worker that fails part of its requests is avoided and probed once a second
    Given workers "a,b,c,d" that replied without failures
    When worker "d" fails every other one of 24 requests within 1000 ms
    Then at 1000 ms the avoided workers are "d"
    And at 2200 ms the avoided workers are ""

  Scenario: No worker is avoided when all workers fail equally often
    Given workers "a,b,c,d" that replied without failures
    When every worker fails every other one of 24 requests within 1000 ms
    Then at 1000 ms the avoided workers are ""

  Scenario Outline: The worker with the lowest expected latency is chosen
    Given worker "a" in zone "z1" with <inA> of 6 slots used, <msA> ms latency and a failure share of <failA>
    And worker "b" in zone "z2" with <inB> of 6 slots used, <msB> ms latency and a failure share of <failB>
    When a worker is chosen in zone "z1"
    Then the chosen worker is "<chosen>"

    Examples:
      | inA | msA | failA | inB | msB | failB | chosen |
      | 0   | 20  | 0     | 0   | 20  | 0     | a      |
      | 6   | 20  | 0     | 0   | 20  | 0     | b      |
      | 0   | 160 | 0     | 3   | 20  | 0     | b      |
      | 0   | 20  | 0.4   | 0   | 20  | 0     | b      |
