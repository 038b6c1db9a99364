Feature: The example deployments start and serve
  The settings and declarations under examples/ run as they stand, but for addresses.

  Scenario Outline: <deployment> serves its profiles
    Given the deployment <deployment> was started from its settings
    And its declarations were applied by an operator and are in force everywhere
    When the workspace <workspace> asks profile <completion> 6 times and <service> once
    Then every request got its complete answer
    And <upstreams> upstreams have announced themselves

    Examples:
      | deployment  | workspace   | completion | service   | upstreams |
      | fraserline  | bidding     | answers    | bids      | 9         |
      | red-clay    | members     | verdicts   | inventory | 12        |
