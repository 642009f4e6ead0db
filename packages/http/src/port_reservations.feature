Feature: A port that a test has found is not given to another process

  # Guards against a restarted daemon that finds its port taken: between its stop
  # and its start another scenario's search found the port free.

  Scenario: A port stays reserved while its process runs, also when it is closed
    Given a running process that has found 3 ports and listens on none
    Then another process does not reserve any of these ports
    And the process itself still has them

  Scenario: Ports of a process that has ended are free
    Given a process that found 3 ports and ended without releasing them
    Then another process reserves each of these ports

  Scenario: Released ports are free
    Given a running process that has found 3 ports and listens on none
    When it releases its ports
    Then another process reserves each of these ports

  # Guards against a daemon that finds its port taken for a moment, as another
  # process binds the port before it learns that it is reserved.
  Scenario: A search binds no port that another process has reserved
    Given a running process has reserved the next 3 ports of this process's search
    When this process finds a port
    Then it has bound no port but that

  # Guards against a reservation that is read while it is written: its file was
  # empty for a moment, which looked like that of a process that has ended.
  Scenario: Processes that reserve the same ports at the same time share none
    When 6 processes reserve the same 3000 ports at the same time
    Then each of the 3000 ports is reserved by one of them
