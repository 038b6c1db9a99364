Feature: Processes fail while requests run
  Whatever process ends, freezes or restarts empty, each request ends exactly once,
  with its whole right answer or with a typed error, and "not run" is never said of a
  request that an upstream ran.

  Scenario Outline: A <role> is killed in the middle of streams
    Given a fleet of 3 control replicas, 2 entries and 3 engines
    And 40 requests are under way, one each 0.05 s
    When <process> is killed after 1 s
    And <process> is started again after 1 s
    And all requests have ended
    Then every request ended once, with its complete answer or a typed error
    And no request that was said not to have run is in an upstream's record
    And at most <lost> requests ended without their complete answer

    Examples: one process of each role
      | role     | process           | lost |
      | upstream | upstream-engine-1 | 0    |
      | sidecar  | sidecar-engine-1  | 0    |
      | entry    | entry-1           | 0    |
      | control  | control-1         | 0    |

  Scenario Outline: A <role> is frozen and thaws, so that answers come late
    Given a fleet of 3 control replicas, 2 entries and 3 engines
    And 40 requests are under way, one each 0.05 s
    When <process> is frozen after 0.5 s
    And <process> thaws after 8 s
    And all requests have ended
    Then every request ended once, with its complete answer or a typed error
    And no request that was said not to have run is in an upstream's record
    And at most <lost> requests ended without their complete answer

    Examples: one process of each role
      | role     | process           | lost |
      | upstream | upstream-engine-1 | 0    |
      | sidecar  | sidecar-engine-1  | 0    |
      | entry    | entry-1           | 0    |
      | control  | control-1         | 0    |

  Scenario Outline: A graceful shutdown of a <role> under load cuts nothing
    Given a fleet of 3 control replicas, 2 entries and 3 engines
    And 40 requests are under way, one each 0.05 s
    When <process> is asked to shut down after 1 s
    And <process> has ended by itself
    And all requests have ended
    Then every request got its complete answer
    And the engines ran each request once

    Examples: one process of each role
      | role    | process          |
      | sidecar | sidecar-engine-1 |
      | entry   | entry-1          |
      | control | control-1        |

  Scenario: All entries restart at once while control is out of reach
    Given a fleet of 3 control replicas, 2 entries and 3 engines
    When control-1 is killed after 0 s
    And all entries are killed and started again
    And a request is sent as soon as an entry listens
    Then every request got its complete answer
    And the answer began within 5 s of the first listening entry

  Scenario: All entries are killed and started again at once under load
    Given a fleet of 3 control replicas, 2 entries and 3 engines
    And 40 requests are under way, one each 0.05 s
    When the load has run for 1 s
    And all entries are killed and started again
    And all requests have ended
    Then every request ended once, with its complete answer or a typed error
    And no request that was said not to have run is in an upstream's record
    And at most 0 requests ended without their complete answer
