Feature: A configuration on a fleet of processes through an outage
  What was accepted is in force on every live daemon within 5 s and stays.

  Scenario: Outage just after, one daemon frozen across it, one started in it
    Given a configured fleet of 3 daemons whose store is polled each 3000 ms
    When entry-3 is frozen, a limit is accepted and the platform goes down once a daemon has it
    Then entry-1 and entry-2 have revision 2 within 5000 ms
    When entry-3 goes on during the outage
    Then entry-3 and entry-1 have revision 2 within 5000 ms
    When entry-2 is killed and started during the outage
    Then entry-2 and entry-3 have revision 2 within 5000 ms
    And the status command ends with code 4 and names the outage
    When the platform answers again and revision 1 is gone back to
    Then every daemon has revision 3 within 5000 ms
