Feature: The counters hold what callers were told

  Scenario: A known number of calls of each outcome is counted as it was told
    Given a fleet of 1 daemons, 1 engines and 1 workers
    When these calls are sent and each is told as the table says:
      | call                              | times | kind      | outcome  | reason         |
      | a whole chat                      | 3     | chat      | complete |                |
      | a streamed chat                   | 2     | chat      | complete |                |
      | a lookup                          | 4     | service   | complete |                |
      | a directory question              | 2     | directory | complete |                |
      | a chat of an unknown model        | 2     | chat      | not-run  | unknown-model  |
      | a lookup with a wrong key         | 1     | service   | not-run  | unauthorized   |
      | an unknown path                   | 1     | other     | not-run  | bad-request    |
      | bytes that are no request         | 2     | other     | not-run  | bad-request    |
      | a lookup whose reply is lost      | 2     | service   | failed   | backend-failed |
      | a reservation whose reply is lost | 1     | service   | unknown  | backend-failed |
      | a stream whose engine is killed   | 1     | chat      | failed   | backend-failed |
    Then the daemon's counters hold exactly those calls

  Scenario: Calls in flight are counted while they are held
    Given a fleet of 1 daemons, 1 engines and 1 workers
    When 3 lookups are held by the worker
    Then the daemon counts 3 calls in flight until the worker is killed
