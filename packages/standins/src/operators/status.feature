Feature: One screen of status
  It says whether every promise holds, in 80 columns and one screen, for a
  small fleet and a large one.

  Scenario: What is degraded says since when
    Given a fleet view of 5 daemons in 4 zones with pending claims
    Then it says that "at most once" is degraded since 61 s ago
    Given a fleet view of 360 daemons in 6 zones with broken answers
    Then it says that "whole answers" is degraded since 61 s ago

  Scenario: Outcomes are told for a minute after the last, since the first
    Then outcomes at 0, 50, 100 and 170 s are told as the table says
      | at  | count | since |
      | 60  | 2     | 0     |
      | 110 | 3     | 0     |
      | 165 |       |       |
      | 175 | 1     | 170   |

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
      | 5       | 4     | no fault                 | whole answers   | holds    |                          |
      | 5       | 4     | no fault                 | not run         | holds    |                          |
      | 5       | 4     | no fault                 | at most once    | holds    |                          |
      | 5       | 4     | broken answers           | whole answers   | degraded | leaving_backend.md       |
      | 360     | 6     | broken answers           | whole answers   | degraded | dump --daemon            |
      | 5       | 4     | customer-limit refusals  | not run         | holds    |                          |
      | 360     | 6     | overloaded refusals      | not run         | degraded | customer_surge.md        |
      | 5       | 4     | no-backend refusals      | not run         | degraded | leaving_backend.md       |
      | 5       | 4     | platform-down refusals   | not run         | degraded | platform_outage.md       |
      | 360     | 6     | pending claims           | at most once    | degraded | Do not stop              |
      | 5       | 4     | an old host list         | leaving servers | unknown  | Take no server away      |
      | 0       | 0     | no fault                 | daemons answer  | degraded | first_start.md           |
      | 0       | 0     | no fault                 | configuration   | unknown  |                          |
      | 0       | 0     | no fault                 | whole answers   | unknown  |                          |
      | 0       | 0     | no fault                 | not run         | unknown  |                          |
      | 5       | 4     | nothing accepted         | configuration   | degraded | first_start.md           |
