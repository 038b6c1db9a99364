Feature: Strangers get nothing
  Every listener speaks TLS if its settings say so, and the system's own processes know
  each other by certificates and by the fleet token.

  Scenario: The whole path works over TLS on every listener
    Given a fleet over TLS of 3 control replicas, 2 entries and 2 engines
    When 12 requests are sent, one each 0.05 s
    Then every request got its complete answer
    And no listener of the system answers without TLS
    And the operators' command works with the authority's certificate alone

  Scenario: A process with another fleet token is not let in
    Given a fleet of 3 control replicas, 1 entries and 1 engines
    When a sidecar with another fleet token is started
    Then its upstream is not announced, and a call with that token is refused
    And every line of the logs is JSON, and no token or key appears in any
