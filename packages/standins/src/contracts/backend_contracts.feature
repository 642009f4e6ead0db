Feature: Backend servers keep one contract in memory and over HTTP

  Scenario Outline: An <kind> <where> <case>
    Given the backend contract's <kind> <where>
    Then the backend contract holds that it <case>

    Examples:
      | kind   | where     | case                                                       |
      | engine | in memory | streams every event once, in order, under the attempt's id |
      | engine | over HTTP | streams every event once, in order, under the attempt's id |
      | engine | in memory | resumes after an event with none missing or twice          |
      | engine | over HTTP | resumes after an event with none missing or twice          |
      | engine | in memory | answers whole where no stream was asked for                |
      | engine | over HTTP | answers whole where no stream was asked for                |
      | engine | in memory | ends the stream of a cancelled attempt undone              |
      | engine | over HTTP | ends the stream of a cancelled attempt undone              |
      | engine | in memory | reports its load                                           |
      | engine | over HTTP | reports its load                                           |
      | worker | in memory | answers GET with its path and work under the call's id     |
      | worker | over HTTP | answers GET with its path and work under the call's id     |
      | worker | in memory | answers POST with its path and work under the call's id    |
      | worker | over HTTP | answers POST with its path and work under the call's id    |
      | worker | in memory | answers PUT with its path and work under the call's id     |
      | worker | over HTTP | answers PUT with its path and work under the call's id     |
      | worker | in memory | answers PATCH with its path and work under the call's id   |
      | worker | over HTTP | answers PATCH with its path and work under the call's id   |
      | worker | in memory | answers DELETE with its path and work under the call's id  |
      | worker | over HTTP | answers DELETE with its path and work under the call's id  |

  Scenario Outline: A call of an <kind> that is <fault> fails as <failure> and <truth>
    Given the backend contract's <kind> over HTTP
    When it gets a call while it is <fault>
    Then the call fails as <failure> and <truth>
    And the next call of the backend contract succeeds

    Examples:
      | kind   | fault                      | failure  | truth        |
      | engine | gone                       | not-sent | has not run  |
      | worker | gone                       | not-sent | has not run  |
      | engine | leaving                    | leaving  | has not run  |
      | worker | leaving                    | leaving  | has not run  |
      | engine | losing replies             | cut      | has run      |
      | worker | losing replies             | cut      | has run      |
      | engine | holding replies            | silent   | has run      |
      | worker | holding replies            | silent   | has run      |
      | engine | silent on open connections | silent   | may have run |
      | worker | silent on open connections | silent   | may have run |
      | engine | slower than the limit      | silent   | may have run |
      | worker | slower than the limit      | silent   | may have run |
      | engine | frozen                     | silent   | may have run |
      | worker | frozen                     | silent   | may have run |
      | engine | crashing on its request    | cut      | has run      |
