Feature: An upstream that is leaving gets no new work
  The last work that it starts is timed by its own record, against the moment at which
  the operator's change was acknowledged.

  Scenario: An upstream is marked as leaving under load
    Given a fleet of 3 control replicas and 2 entries before 3 engines that run 1 request at once
    And 48 requests are under way, one each 0.15 s
    When engine-1 is marked as leaving after 2 s
    And all requests have ended
    Then engine-1 had started work before, and none later than 4 s after the change
    And the other engines started work later than 4 s after the change
    And every request got its complete answer

  Scenario: An upstream is marked as leaving while its queue is long
    Given a fleet of 3 control replicas and 2 entries before 3 engines that run 1 request at once
    And 36 requests are under way, one each 0.1 s
    When engine-1 is marked as leaving after 3.8 s
    And all requests have ended
    Then engine-1 had started work before, and none later than 4 s after the change
    And every request got its complete answer

  Scenario: Control is lost right after the change, and one entry alone has received it
    Neither the other entry nor any sidecar can reach control at any time.
    Given a fleet of 3 control replicas and 2 entries before 3 engines that run 1 request at once, where only entry-1 reaches control
    And 48 requests are under way, one each 0.15 s
    When engine-1 is marked as leaving after 2 s
    And control is killed once entry-1 has received it
    And all requests have ended
    Then engine-1 had started work before, and none later than 4 s after the change
    And the other engines started work later than 4 s after the change
    And every request got its complete answer
