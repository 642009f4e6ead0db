Feature: The platform's interfaces keep one contract in memory and over HTTP

  Scenario Outline: <interface> <where> <case>
    Given the platform contract's <interface> <where>
    Then the contract holds that it <case>

    Examples:
      | interface     | where     | case                                       |
      | table service | in memory | reads rows and leaves absent ones out      |
      | table service | over HTTP | reads rows and leaves absent ones out      |
      | table service | in memory | lists a prefix in key order and in pages   |
      | table service | over HTTP | lists a prefix in key order and in pages   |
      | table service | in memory | applies all of a transaction or none of it |
      | table service | over HTTP | applies all of a transaction or none of it |
      | table service | in memory | raises a row's version with each write     |
      | table service | over HTTP | raises a row's version with each write     |
      | object store  | in memory | gives back the bytes that were put         |
      | object store  | over HTTP | gives back the bytes that were put         |
      | object store  | in memory | lists a prefix in key order and removes    |
      | object store  | over HTTP | lists a prefix in key order and removes    |
      | object store  | in memory | has nothing under an unknown key           |
      | object store  | over HTTP | has nothing under an unknown key           |
      | weight store  | in memory | gives a version's bytes                    |
      | weight store  | over HTTP | gives a version's bytes                    |
      | weight store  | in memory | has nothing of an absent version           |
      | weight store  | over HTTP | has nothing of an absent version           |

  Scenario Outline: A write while the platform is <fault> is <failure>
    Given the platform contract's table service over HTTP
    When a row is written while the platform is <fault>
    Then the write fails as <failure> and has <effect>
    And the next write succeeds once the fault is over

    Examples:
      | fault                       | failure     | effect       |
      | down                        | unreachable | no effect    |
      | slower than the limit       | uncertain   | no effect    |
      | losing replies              | uncertain   | taken effect |
      | silent on open connections  | uncertain   | no effect    |
      | not listening               | unreachable | no effect    |

  Scenario Outline: A size asked while the weight store is <fault> fails as <failure>
    Given the platform contract's weight store over HTTP
    When a size is asked while the weight store is <fault>
    Then the asking fails as <failure>
    And the next size is given once the fault is over

    Examples:
      | fault                       | failure     |
      | down                        | unreachable |
      | slower than the limit       | uncertain   |
      | losing replies              | uncertain   |
      | silent on open connections  | uncertain   |
      | not listening               | unreachable |

  Scenario: The host list is shown with its lag
    Given the platform contract's host list over HTTP with a lag of 1500 ms
    When the list is changed and read at once and after the lag
    Then the first reading shows the old list and the second the new one

  # Guards against losing the whole list for one odd item.
  Scenario Outline: The host list is read though an item has <what>
    Given the platform contract's host list over HTTP with a lag of 0 ms
    When a list of 3 hosts, one of them with <what>, is read
    Then the list read has the other 2 hosts

    Examples:
      | what                         |
      | a port out of range          |
      | a number too large           |
      | a zone nested 90 levels deep |
      | no id                        |

  Scenario: An unchanged host list is not sent again
    Given the platform contract's host list over HTTP with a lag of 0 ms
    When a list of 100 hosts is read twice and once more after a change
    Then the second reading costs a tenth of the first at most
    And the third shows the change
