Feature: Retries within a budget and a deadline

  Scenario Outline: Retry decision after a failed attempt
    Given a retry policy with a full budget
    When attempt <attempts> of a request failed <when> reaching its server, with <left> ms left
    Then the retry decision is <decision>

    Examples:
      | attempts | when   | left  | decision            |
      | 1        | after  | 10000 | a wait under 50 ms  |
      | 2        | after  | 10000 | a wait under 100 ms |
      | 3        | after  | 10000 | no retry            |
      | 1        | before | 10000 | no wait             |
      | 3        | before | 10000 | no retry            |
      | 1        | after  | 0     | no retry            |
      | 1        | before | 0     | no retry            |

  Scenario: A request is never retried past its deadline
    Given a retry policy with a full budget
    Then over 1000 failures with 20 ms left no wait reaches 20 ms

  Scenario Outline: The budget bounds retries while all requests fail
    Given a retry policy with a full budget
    When <requests> requests over <services> services all fail
    Then at most <retries> retries were made

    Examples:
      | requests | services | retries |
      | 1        | 1        | 2       |
      | 300      | 1        | 30      |
      | 300      | 6        | 30      |
      | 10000    | 1        | 1000    |
      | 10000    | 6        | 1000    |

  Scenario: A failing service does not use up the retries of other services
    Given a retry policy with a full budget
    When service "a" fails every time while service "b" gets 9 successful requests and one failing for each
    Then service "b" still gets at least 8 retries per 100 first attempts

  Scenario Outline: An absent, malformed or too long deadline falls back to the service's maximum
    When a caller sends a deadline of "<sent>" to a service that allows 5000 ms
    Then after 100 ms the deadline leaves <left> ms

    Examples:
      | sent          | left |
      |               | 4900 |
      | 2000          | 1900 |
      | 60            | 0    |
      | 0             | 0    |
      | 9000          | 4900 |
      | 9999999999999 | 4900 |
      | -5            | 4900 |
      | soon          | 4900 |
      | 1e3           | 4900 |
