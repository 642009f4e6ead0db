Feature: A fleet under a fixed sequence of faults
  Returning chats, lookups and reservations run while faults come and go; what
  callers were told is compared with what the backend servers ran.

  Scenario: Every kind of fault once
    When a small fleet under load meets every kind of fault once
    Then the fault run brought about each kind of fault
    And the fault run's account holds requests and complete answers
    And no answer in the fault run was incomplete
    And nothing in the fault run ran though told not-run, and no booking ran twice
