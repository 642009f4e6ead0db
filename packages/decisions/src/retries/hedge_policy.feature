Feature: A second server for requests of a slow tail

  Background:
    Given hedging with a share of 0.05 and a minimum delay of 30 ms
    And a hedged route whose servers "a,b,c" have 6 slots each
    And 240 answers on the route, of which 1 in 80 from server "c" took 400 ms and the others 40 ms

  Scenario: A request that is slow at one server is hedged at a quick one
    When a request is open at server "c" for 100 ms
    Then it is hedged at "a,b"

  Scenario: A request is not hedged before the quantile of recent latencies
    Then the delay of the route is 40 ms, from 240 samples

  Scenario: The delay is never below the minimum delay
    Given hedging with a share of 0.05 and a minimum delay of 70 ms
    Then the delay of the route is 70 ms, from 240 samples

  Scenario Outline: No delay is known from <what>
    Given hedging that was turned on anew
    And <answers> answers on the route, each after 40 ms, the last <ago> s ago
    Then the delay of the route is unknown

    Examples:
      | what                 | answers | ago |
      | too few answers      | 19      | 0   |
      | answers that are old | 200     | 6   |

  Scenario: A share of 0.01 needs as many answers as one of them is above the quantile
    Given hedging with a share of 0.01 and a minimum delay of 30 ms
    And hedging that was turned on anew
    And 99 answers on the route, each after 40 ms, the last 0 s ago
    Then the delay of the route is unknown

  # A second attempt at servers that are all slow only adds load to them.
  Scenario: No request is hedged while all servers are slow
    When requests are open at servers "a,b,c" for 100 ms
    Then no request is hedged because of "all-slow"

  Scenario: No request is hedged while most servers are slow
    When requests are open at servers "b,c" for 100 ms
    Then no request is hedged because of "all-slow"

  Scenario: Servers that answer others meanwhile are not slow by one overdue request
    When requests are open at servers "b,c" for 100 ms
    And servers "b,c" answer other requests after 40 ms
    Then it is hedged at "a,b,c"

  Scenario: Servers that become slow for good raise the delay
    When 200 more answers on the route take 300 ms each
    Then the delay of the route is at least 300 ms

  Scenario Outline: No request is hedged while slots are short
    When requests in flight at the servers are <inFlight> in all
    And a request is open at server "c" for 100 ms
    Then <result>

    Examples:
      | inFlight | result                                 |
      | 9        | it is hedged at "a,b"                  |
      | 10       | no request is hedged because of "busy" |

  Scenario: No hedge is sent to a server without a free slot, an avoided one or one that was tried
    Given servers "a" and "b" are full and avoided
    When a request is open at server "c" for 100 ms
    Then no request is hedged because of "no-server"

  # At little load only one server has recent answers.
  Scenario: A server without recent answers is used if no other quick one is left
    Given a further server "d" without answers on the route
    When a request is open at server "c" for 100 ms
    Then it is hedged at "a,b"
    Given servers "a" and "b" are full and avoided
    Then it is hedged at "d"

  Scenario: The hedges of a route reach their share of its requests
    When 250 requests arrive on the route and each asks for a hedge
    Then 10 hedges were sent
    And no request is hedged because of "share"

  # The share holds without a message, as each hedge is paid for by requests of
  # the same daemon.
  Scenario Outline: The share holds for the sum over <daemons> daemons
    When <daemons> daemons get <each> requests of the route each, and each asks for a hedge
    Then at most 0.05 hedges per request were sent

    Examples:
      | daemons | each |
      | 5       | 200  |
      | 360     | 25   |
      | 360     | 24   |

  Scenario: Hedges and retries share one budget
    Given a retry budget of 0.2 per first attempt, of which retries took all
    When a request is open at server "c" for 100 ms
    Then no request is hedged because of "retry-budget"

  # A server is judged by most of its last ten answers: one slow answer alone
  # is what a hedge is meant for.
  Scenario Outline: Latencies and server records after <what>
    Given the last 4 answers of servers "a,c" took 400 ms
    When a request is open at server "c" for 100 ms
    And its hedge at server "a" is open for <hedge> ms
    And <what>
    Then <samples> samples are known of the route
    And server "c" is <first> and server "a" is <second> on the route

    Examples:
      | what                                        | hedge | samples | first | second |
      | the hedge wins, the first attempt is closed | 20    | 249     | slow  | quick  |
      | the first attempt wins, the hedge is closed | 20    | 249     | slow  | quick  |
      | the hedge fails, the first attempt wins     | 20    | 249     | slow  | quick  |
      | the first attempt fails, the hedge wins     | 20    | 248     | quick | quick  |
      | both fail                                   | 20    | 248     | quick | quick  |
      | the client disconnects                      | 20    | 249     | slow  | quick  |
      | the client disconnects                      | 90    | 249     | slow  | slow   |

  Scenario: A request whose client disconnects early gives no latency
    When a request is open at server "c" for 10 ms
    And the client disconnects
    Then 240 samples are known of the route
    And server "c" is quick and server "a" is quick on the route

  Scenario: Hedging that is turned off sends none
    Given hedging that was turned off
    When a request is open at server "c" for 100 ms
    Then no request is hedged because of "off"
