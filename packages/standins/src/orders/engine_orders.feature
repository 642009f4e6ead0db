Feature: Orders to engines under a lease with a fencing number
  One daemon at a time brings a service's engines to what is configured.

  Scenario Outline: Engines reach the wanted version whatever happens to holders
    Given 2 order holders and 6 engines that <fencing> old fencing numbers
    And every engine has version "v1" and 1 request in flight
    When version "v2" is wanted
    And the order holders run for 60 s while <event>
    Then every ordered engine has version "v2" and takes work
    And no ordered engine loaded weights while a request was in flight
    And at most 2 ordered engines were out of work at once
    And the ordered engines ran no order of an older number after a newer one where they check it

    Examples:
      | fencing | event                                             |
      | check   | nothing fails                                     |
      | ignore  | nothing fails                                     |
      | check   | the first holder is killed after 3 s              |
      | ignore  | the first holder is killed after 3 s              |
      | check   | the first holder is paused from 3 s to 40 s       |
      | ignore  | the first holder is paused from 3 s to 40 s       |
      | check   | replies of the table are lost from 2 s to 20 s    |
      | ignore  | replies of the table are lost from 2 s to 20 s    |
      | check   | the table is down from 2 s to 30 s                |
      | ignore  | the table is down from 2 s to 30 s                |
      | check   | an order is delayed until 30 s and its holder too |
      | ignore  | an order is delayed until 30 s and its holder too |

  Scenario: Never two holders send orders in the same term
    Given 5 order holders and 3 engines that check old fencing numbers
    And every engine has version "v1" and 0 request in flight
    When the order holders run for 120 s while holders are paused at random with seed 7
    Then no two order holders held the lease at the same moment
    And each new holder of the orders had a higher fencing number

  Scenario: An order that the engine refuses as old ends the holder's term
    Given 2 order holders and 1 engines that check old fencing numbers
    And every engine has version "v1" and 0 request in flight
    When an order with fencing number 99 reached every engine
    And version "v2" is wanted
    And the order holders run for 1 s while nothing fails
    Then no order holder holds the lease
