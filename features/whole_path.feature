Feature: The whole path as separate processes
  Callers reach upstreams through entries and sidecars; profiles come from control,
  and upstreams are known only because their sidecars announce them.

  Scenario: Requests are served end to end
    Given a fleet of 3 control replicas, 2 entries and 3 engines
    When 12 requests are sent, one each 0.05 s
    Then every request got its complete answer
    And the engines ran each request once

  Scenario: A bid runs once and its resend gets the recorded answer
    Given a fleet of 3 control replicas, 2 entries and 2 services
    When a bid is sent twice under one idempotency key
    Then both answers are the same and the services ran it once
