Feature: Orders to engines on a fleet of processes
  A model version that was accepted through the client reaches every engine, a
  few at a time, under a lease whose fencing number rises with each holder.

  Scenario Outline: A new model version under load cuts no request, engines <fencing>
    Given a loaded fleet of 3 daemons whose 6 engines <fencing> old fencing numbers
    When model version "v2" with adapter "letters" is accepted
    Then every engine of the fleet has version "v2" and takes work
    And no caller of the ordered engines saw an error or a cut
    And no engine of the fleet got new weights with a request in flight
    And at most 1 engine of the fleet was out of work at once
    And the dump of one daemon tells that 6 engines are as wanted

    Examples:
      | fencing |
      | check   |
      | ignore  |

  Scenario Outline: The holder is killed midway, engines <fencing>
    Given a fleet of 3 daemons whose 3 engines <fencing> old fencing numbers
    When orders to engine-3 are kept under way
    And model version "v2" with adapter "letters" is accepted
    And the holder of the orders is killed once engine-3 was ordered
    And another daemon holds the orders
    And the orders to engine-3 arrive
    Then every engine of the fleet has version "v2" and takes work
    And the fencing number of the orders has risen
    And no engine that checks took an older number after a newer one

    Examples:
      | fencing |
      | check   |
      | ignore  |

  Scenario Outline: The holder is frozen past its lease and its order comes late, engines <fencing>
    Given a fleet of 3 daemons whose 3 engines <fencing> old fencing numbers
    When the next order to engine-1 is kept under way
    And model version "v2" with adapter "letters" is accepted
    And the holder of the orders is frozen once engine-1 was ordered
    And another daemon holds the orders
    And model version "v3" with adapter "letters" is accepted
    Then every engine of the fleet has version "v3" and takes work
    When the frozen holder goes on and the orders to engine-1 arrive
    Then the late order to engine-1 was <effect>
    And every engine of the fleet has version "v3" and takes work
    And no engine that checks took an older number after a newer one

    Examples:
      | fencing | effect                                      |
      | check   | refused                                     |
      | ignore  | taken and then repaired with a newer number |

  Scenario: An engine that needs no change refuses a late order too
    Given a fleet of 3 daemons whose 3 engines check old fencing numbers
    When the next order to engine-1 is kept under way
    And model version "v2" with adapter "letters" is accepted
    Then every engine of the fleet has version "v2" and takes work
    When the holder of the orders is frozen once engine-1 was ordered
    And another daemon holds the orders
    Then every engine of the fleet meets the new holder's number
    When the frozen holder goes on and the orders to engine-1 arrive
    Then the late order to engine-1 was refused

  Scenario: A late order is repaired by the holder that had finished
    Given a fleet of 3 daemons whose 3 engines ignore old fencing numbers
    When the next order to engine-1 is kept under way
    And model version "v2" with adapter "letters" is accepted
    And the holder of the orders is frozen once engine-1 was ordered
    And another daemon holds the orders
    And model version "v3" with adapter "letters" is accepted
    Then every engine of the fleet has version "v3" and takes work
    When the orders to engine-1 arrive
    Then the late order to engine-1 was taken and then repaired with a newer number
    And every engine of the fleet has version "v3" and takes work

  Scenario: The platform is down midway
    Given a loaded fleet of 3 daemons whose 6 engines check old fencing numbers
    When orders to engine-6 are kept under way
    And model version "v2" with adapter "letters" is accepted
    And the platform goes down once engine-6 was ordered
    Then no daemon holds the orders
    And no more orders come while 30 more chats are answered
    When the platform is there again
    And the orders to engine-6 arrive
    Then every engine of the fleet has version "v2" and takes work
    And no caller of the ordered engines saw an error or a cut

  Scenario: Loads of two services are paced together
    Given a fleet of 3 daemons whose 6 engines check old fencing numbers
    When model version "v2" is accepted for two services of 3 engines each, with 1 load at once
    Then every engine of the fleet has version "v2" and takes work
    And no two engines of the fleet loaded weights at once
