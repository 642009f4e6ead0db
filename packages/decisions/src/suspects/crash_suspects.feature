Feature: Attributing crashes of engines to the prompt part that causes them

  Background:
    Given two daemons without crash suspects

  Scenario: The part that waited at three crashes in a row is condemned on both daemons
    When engines crash in turn under prompts "first,dead | first,dead | first,dead" while "first" is answered between
    Then the daemons condemn "dead"

  Scenario: Two crashes condemn nothing
    When engines crash in turn under prompts "first,dead | first,dead" while "first" is answered between
    Then the daemons condemn ""

  Scenario: The whole of the evidence counts if each daemon saw other crashes
    When engines crash in turn under prompts "x,dead | y,dead | z,dead", seen by one daemon after the other
    Then the daemons condemn "dead"

  # A request that waited beside the deadly one at each crash would be blamed as
  # much; the next answer with one of its parts clears it.
  Scenario: A sound part that waited beside a deadly one is cleared by its next answer
    When engines crash in turn under prompts "first,dead & first,sound | first,dead & first,sound" while "first,sound" is answered between
    And engines crash in turn under prompts "first,dead & first,sound" while "first" is answered between
    Then the daemons condemn "dead"

  Scenario: Without other requests to clear it, a first part is not blamed beside the more specific part
    When engines crash in turn under prompts "first,dead | first,dead | first,dead"
    Then the daemons condemn "dead"

  Scenario: A first part under which every subject crashes is condemned in place of the subject
    When engines crash in turn under prompts "first,a | first,a | first,a | first,b"
    Then the daemons condemn "first"

  Scenario: Engines that go down together do not condemn a popular part
    When 10 engines go down within 50 ms while requests with the part "popular" wait at each
    Then the daemons condemn ""

  Scenario: An answer on either daemon clears a condemned part on both
    When engines crash in turn under prompts "first,dead | first,dead | first,dead"
    And the second daemon sees an answer begin with "first,dead"
    Then the daemons condemn ""

  Scenario: A crash that is reported again after the part was cleared does not count
    When engines crash in turn under prompts "first,dead | first,dead | first,dead"
    And the second daemon sees an answer begin with "first,dead"
    And the first daemon's reports from before that arrive once more
    Then the daemons condemn ""

  # The first daemon's later reports show no crash; a daemon that knew none must
  # remember the answer all the same.
  Scenario: An answer is remembered where the crashes before it were not known
    When engines crash in turn under prompts "first,dead | first,dead | first,dead", of which the second daemon learns nothing
    And the first daemon sees an answer begin with "first,dead"
    And the first daemon's reports from before that arrive once more
    Then the daemons condemn ""

  Scenario Outline: A condemned part is tried again after <seconds> s if <trials> trials crashed an engine
    When engines crash in turn under prompts "first,dead | first,dead | first,dead"
    And <trials> trials of "dead" crash an engine, each when it is due
    Then "dead" is due for a trial <seconds> s after its last crash

    Examples:
      | trials | seconds |
      | 0      | 60      |
      | 1      | 120     |
      | 2      | 240     |
      | 6      | 600     |

  # What ran beside a crash is innocent nearly always.
  Scenario Outline: Crashes that no part causes condemn no part in 40 runs of <requests> requests a second
    When in 40 seeded runs of 30 s, <requests> requests a second of 256 subjects go to <engines> engines of which <crashes> a second crash for 3 s
    Then no run condemned a part

    Examples:
      | requests | engines | crashes |
      | 74       | 13      | 2       |
      | 450      | 65      | 6       |

  Scenario Outline: Only the deadly part is condemned in 40 runs in which <share> in 100 requests of <requests> a second have it
    When in 40 seeded runs of 30 s, <requests> requests a second of 256 subjects go to <engines> engines of which 0 a second crash for 3 s, and <share> in 100 have a deadly part
    Then each run condemned the deadly part alone, and sent it no later than 3 s after the fifth crash

    Examples:
      | requests | engines | share |
      | 74       | 13      | 2     |
      | 74       | 13      | 10    |
      | 450      | 65      | 2     |

  # The later of two parts that were at the same crashes was condemned, also when
  # it was the harmless one, and with it all sound prompts that have it.
  Scenario: A sound part that all deadly prompts have is refused with the deadly one only
    When engines crash in turn under prompts "dead,shared | dead,shared | dead,shared"
    Then the daemons refuse the prompt "dead,shared"
    And the daemons let pass the prompt "other,shared"
    And the daemons let pass the prompt "dead,other"

  Scenario: One more crash tells which of two parts is deadly
    When engines crash in turn under prompts "dead,shared | dead,shared | dead,shared | dead,third"
    Then the daemons refuse the prompt "dead,other"
    And the daemons let pass the prompt "other,shared"

  Scenario: An answer tells which of two parts is deadly
    When engines crash in turn under prompts "dead,shared | dead,shared | dead,shared"
    And the second daemon sees an answer begin with "other,shared"
    Then the daemons refuse the prompt "dead,other"
    And the daemons let pass the prompt "other,shared"

  # A client may name thousands of parts in one prompt.
  Scenario: Checking a prompt of many parts that are condemned together takes time in proportion to them
    Given the work of checking a prompt whose parts are condemned together
    When its processor time is measured for 400 and for 1600 repetitions
    Then four times the input takes less than 8 times the processor time
