@alone
Feature: Callers that read no responses leave a daemon of the own interface alive

  # Guards against listeners of the own interface that hold requests without a
  # bound. Resident memory is measured, so one scenario runs at a time.
  Scenario Outline: 20 clients send 50000 requests each to the <listener> listener and read nothing
    Given a daemon of the own interface with a worker
    When 20 clients each send 50000 requests to its <listener> listener and read nothing for 8 s
    Then the daemon of the own interface runs and never took more than 300 MB
    And a lookup is answered with 200 while the clients are connected

    Examples:
      | listener |
      | caller   |
      | control  |

  Scenario Outline: 300 clients send <requests> each to the <listener> listener and read nothing
    Given a daemon of the own interface with a worker
    When 300 clients each send <requests> to its <listener> listener and read nothing for 8 s
    Then the daemon of the own interface runs and never took more than 300 MB
    And a lookup is answered with 200 while the clients are connected

    Examples:
      | listener | requests                            |
      | caller   | 50000 requests                      |
      | control  | 50000 requests                      |
      | caller   | 500 requests of many header lines   |
      | control  | 500 requests of many header lines   |
