Feature: A refusal that a backend server repeats is believed once
  The daemon's path in front of a backend server that refuses every third
  request with the attempt's id and sends each refusal twice. Requests are sent
  ten at a time, so that connections to the backend server are reused at once.

  # Guards against a late copy of a refusal that is taken for the refusal of
  # another attempt, which runs.
  Scenario Outline: No <kind> that is told not-run ran at a backend server that repeats refusals <moment>
    Given the path of <kind>s in front of a backend server that repeats refusals <moment>
    When callers send 300 <kind>s, 10 at a time
    Then no request that was told not-run ran
    And at least 50 requests were told not-run and at least 100 ran
    And no request that may run at most once ran twice

    Examples:
      | kind              | moment                               |
      | streamed chat     | before its next answer               |
      | streamed chat     | before its next answer in two pieces |
      | streamed chat     | some milliseconds later              |
      | non-streamed chat | before its next answer               |
      | repeatable call   | before its next answer               |
      | repeatable call   | before its next answer in two pieces |
      | repeatable call   | some milliseconds later              |
      | at-most-once call | before its next answer               |
      | at-most-once call | before its next answer in two pieces |
      | at-most-once call | some milliseconds later              |

  # Guards against a claim that is released after a refusal that was not its own.
  Scenario Outline: A call that its caller sends again with its key after not-run runs once at a backend server that repeats refusals <moment>
    Given the path of at-most-once calls in front of a backend server that repeats refusals <moment>
    When callers send 100 at-most-once calls, 10 at a time, each again with its key while it is told not-run
    Then no request that was told not-run ran
    And no request that may run at most once ran twice

    Examples:
      | moment                               |
      | before its next answer               |
      | before its next answer in two pieces |
      | some milliseconds later              |

  # Guards against sound requests that fail because the refusal of another
  # attempt comes once more before their own answer.
  Scenario Outline: No sound <kind> fails at a backend server that repeats refusals <moment>
    Given the path of <kind>s in front of a backend server that repeats refusals <moment>
    When callers send 300 <kind>s, 10 at a time
    Then each request was answered completely or told not-run

    Examples:
      | kind              | moment                               |
      | streamed chat     | never                                |
      | streamed chat     | before its next answer               |
      | streamed chat     | before its next answer in two pieces |
      | streamed chat     | some milliseconds later              |
      | non-streamed chat | before its next answer               |
      | repeatable call   | never                                |
      | repeatable call   | before its next answer               |
      | repeatable call   | before its next answer in two pieces |
      | repeatable call   | some milliseconds later              |
      | at-most-once call | never                                |
      | at-most-once call | before its next answer               |
      | at-most-once call | before its next answer in two pieces |
      | at-most-once call | some milliseconds later              |

  # Guards against an answer that names no attempt and comes on a connection
  # whose earlier reply belonged to another attempt.
  Scenario Outline: No <kind> gets another's answer at a backend server that repeats refusals <moment> and whose answers name no attempt
    Given the path of <kind>s in front of a backend server that repeats refusals <moment>
    And its answers name no attempt
    When callers send 300 <kind>s, 10 at a time
    Then no request was answered with the answer to another one
    And no request that was told not-run ran

    Examples:
      | kind              | moment                  |
      | repeatable call   | before its next answer  |
      | repeatable call   | some milliseconds later |
      | at-most-once call | before its next answer  |
      | at-most-once call | some milliseconds later |

  # Guards against a copy whose end is found at the wrong byte, so that what
  # follows is taken for the answer.
  Scenario Outline: No <kind> gets another's answer at a backend server that repeats refusals in a broken way
    Given the path of <kind>s in front of a backend server that repeats refusals before its next answer in a broken way
    When callers send 300 <kind>s, 10 at a time
    Then no request was answered with the answer to another one
    And no request that was told not-run ran
    And no request that may run at most once ran twice

    Examples:
      | kind              |
      | streamed chat     |
      | non-streamed chat |
      | repeatable call   |
      | at-most-once call |
