Feature: A fleet under a fixed sequence of faults
  Returning chats, lookups and reservations run while faults are injected and
  reverted. The outcomes reported to callers are compared with what the backend
  servers executed.

  Scenario: No incomplete answer or wrong outcome when each fault occurs once
    When a small fleet under load meets every kind of fault once
    Then the fault run injected each kind of fault
    And the fault run's account holds requests and complete answers
    And no answer in the fault run was incomplete
    And no request reported not-run was executed in the fault run, and no booking twice
