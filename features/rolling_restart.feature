Feature: A rolling restart under load cuts nothing
  Entries and sidecars are asked to shut down one after the other; each is started
  again, under its address, once it has ended by itself.

  Scenario: All entries and sidecars restart, one after the other
    Given a fleet of 3 control replicas, 2 entries and 3 engines
    And 240 requests are under way, one each 0.15 s
    When all entries and sidecars are restarted gracefully, one after the other
    And all requests have ended
    Then every request got its complete answer
    And each request ran once, or continued where its last run ended
    And requests were still sent when the last process was back
