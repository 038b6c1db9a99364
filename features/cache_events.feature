Feature: Events of the cache are lost, repeated and crossed, and caches are lost
  A sidecar follows the cache of its engine by events that it can't rely on; a wrong
  view may cost time, never an answer, and is dropped with the incarnation it belongs to.

  Scenario: Events are lost, repeated and out of order under load
    Given a fleet of 3 control replicas, 2 entries and 3 engines whose cache events are unreliable
    And 40 requests are under way, one each 0.05 s
    When all requests have ended
    Then every request got its complete answer
    And no answer claims more cached tokens than the engine's record

  Scenario: An engine restarts empty at its old address
    Given a fleet of 3 control replicas, 2 entries and 3 engines whose cache events are unreliable
    And 24 requests are under way, one each 0.05 s
    When all requests have ended
    And the blocks that the sidecar of engine-1 counts are noted
    And upstream-engine-1 is killed after 0 s
    And upstream-engine-1 is started again after 0 s
    And engine-1 answers again
    Then the sidecar of engine-1 soon counts nothing as cached
    When 24 requests are sent, one each 0.05 s
    Then every request got its complete answer
    And engine-1 ran some of them, the first of them with nothing cached
    And no answer claims more cached tokens than the engine's record
