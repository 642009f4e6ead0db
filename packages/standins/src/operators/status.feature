Feature: One screen of status
  It says whether every promise holds, in 80 columns and one screen, for a
  small fleet and a large one.

  Scenario Outline: <daemons> daemons, <fault>
    Given a fleet view of <daemons> daemons in <zones> zones with <fault>
    Then the status screen has at most 80 columns and 40 lines
    And it judges "<promise>" as <state> and advises "<advice>"

    Examples:
      | daemons | zones | fault                    | promise         | state    | advice                   |
      | 5       | 4     | no fault                 | configuration   | holds    |                          |
      | 360     | 6     | no fault                 | configuration   | holds    |                          |
      | 5       | 4     | one silent daemon        | daemons answer  | degraded | host_lost.md             |
      | 360     | 6     | 60 silent daemons        | daemons answer  | degraded | host_lost.md             |
      | 360     | 6     | a revision missing on 90 | configuration   | degraded | Wait 5 s                 |
      | 5       | 4     | a refused configuration  | configuration   | degraded | configuration_refused.md |
      | 5       | 4     | an outage                | at most once    | degraded | platform_outage.md       |
      | 360     | 6     | an outage                | configuration   | unknown  | platform_outage.md       |
      | 5       | 4     | an overrun engine        | even load       | degraded | placement.md             |
      | 5       | 4     | an old host list         | leaving servers | unknown  | Take no server away      |
      | 0       | 0     | no fault                 | daemons answer  | degraded | first_start.md           |
