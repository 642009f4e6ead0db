Feature: Old revisions are removed, and nothing that is in use
  What is kept can be read whole at any time, from nothing and from what a
  daemon holds, also when removals are lost, repeated or late.

  Scenario Outline: 60 changes with <faults>
    Given a store that keeps 5 revisions, with <faults>, seeds 1 to <seeds>
    When 60 changes are accepted, each third one by going back
    Then at each step every kept revision could be read whole
    And in the end only the rows and segments of kept revisions are left

    Examples:
      | faults                | seeds |
      | no faults             | 3     |
      | lost and late writes  | 6     |

  Scenario: What is no longer kept
    Given a store that keeps 5 revisions, with no faults, seeds 1 to 1
    When 8 changes are accepted, each third one by going back
    Then a change made from revision 1 is refused, and one made from none
    And an operation of a kept revision is still known

  Scenario: Somebody's change far back is still named
    Given a store that keeps 300 revisions, with no faults, seeds 1 to 1
    When ana changes a limit and 120 other changes follow
    Then a conflict from before them names ana
