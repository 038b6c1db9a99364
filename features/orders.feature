Feature: Orders to upstreams
  Control gives orders with fencing numbers out of the committed log; the sidecar
  carries them out, also for an engine that does not check the number itself.

  Scenario Outline: New weights are loaded under load, at most 2 at once, engines that <check>
    Given a fleet of 3 control replicas, 2 entries and 4 engines that <check>
    And 40 requests are under way, one each 0.1 s
    When every upstream is ordered to load weights "2"
    Then all orders are done and at no time more than 2 were issued
    And all requests have ended
    And every request got its complete answer
    And every upstream runs weights "2" and has taken numbers that only rise

    Examples:
      | check                    |
      | check fencing numbers    |
      | ignore fencing numbers   |

  Scenario: The leader is killed while orders are under way
    Given a fleet of 3 control replicas, 1 entries and 4 engines that ignore fencing numbers
    When every upstream is ordered to load weights "2"
    And the leader is killed
    Then all orders are done and at no time more than 2 were issued
    And every upstream runs weights "2" and has taken numbers that only rise
