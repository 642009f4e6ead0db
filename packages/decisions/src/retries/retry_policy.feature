Feature: Retries within a budget and a deadline

  Scenario Outline: Whether a failed attempt is followed by another
    Given a retry policy with a full budget
    When attempt <attempts> of a request failed at cost <cost> with <left> ms left
    Then the retry decision is <decision>

    Examples:
      | attempts | cost | left  | decision            |
      | 1        | load | 10000 | a wait under 50 ms  |
      | 2        | load | 10000 | a wait under 100 ms |
      | 3        | load | 10000 | no retry            |
      | 1        | none | 10000 | no wait             |
      | 3        | none | 10000 | no retry            |
      | 1        | load | 0     | no retry            |
      | 1        | none | 0     | no retry            |

  Scenario: A request is never tried again past its deadline
    Given a retry policy with a full budget
    Then over 1000 failures with 20 ms left no wait reaches 20 ms

  Scenario Outline: The budget in a long failure
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

  Scenario: One failing service leaves retries to the others
    Given a retry policy with a full budget
    When service "a" fails every time while service "b" sends 9 times as much
    Then service "b" still gets retries for 8 of 100 first tries

  Scenario Outline: The deadline that a request is given
    When a caller sends a deadline of "<told>" to a service of 5000 ms
    Then after 100 ms the deadline leaves <left> ms

    Examples:
      | told          | left |
      |               | 4900 |
      | 2000          | 1900 |
      | 60            | 0    |
      | 0             | 0    |
      | 9000          | 4900 |
      | 9999999999999 | 4900 |
      | -5            | 4900 |
      | soon          | 4900 |
      | 1e3           | 4900 |
