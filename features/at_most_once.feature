Feature: Work that may not be repeated runs at most once
  Whatever fails while a bid runs, the records of the services hold it at most once,
  and its caller gets the whole answer or an error that says whether it may have run.

  Scenario Outline: A <role> is killed in the middle of bids without a key
    Given a fleet of 3 control replicas, 2 entries and 2 services that take 1 s
    And 16 bids without a key are under way, one each 0.04 s
    When <process> is killed after 0.5 s
    And <process> is started again after 1 s
    And all requests have ended
    Then no bid ran twice
    And every bid ended whole, not run or with outcome_unknown, <or>
    And no bid that was said not to have run is in a service's record
    And at least 1 bid was in the middle of its run at the kill

    Examples: one process on each hop that keeps the services' records
      | role    | process           | or                      |
      | sidecar | sidecar-service-1 | and no other way        |
      | entry   | entry-1           | or by a lost connection |

  Scenario: A service is killed in the middle of bids without a key
    The record of a killed service is lost with it, so it is read right before the kill.
    Given a fleet of 3 control replicas, 2 entries and 2 services that take 1 s
    And 16 bids without a key are under way, one each 0.04 s
    When the record of service-1 is saved and its process is killed after 0.5 s
    And upstream-service-1 is started again after 1 s
    And all requests have ended
    Then no bid ran twice
    And every bid ended whole, not run or with outcome_unknown, and no other way
    And no bid that was said not to have run is in a service's record
    And at least 1 bid was in the middle of its run at the kill

  Scenario: An entry is frozen in the middle of bids with a key, and thaws after the resend
    Given a fleet of 3 control replicas, 2 entries and 2 services that take 1 s
    And 16 bids with a key are under way at entry-1, one each 0.02 s
    When entry-1 is frozen after 0.2 s
    And the bids are sent again at entry-2
    And entry-1 thaws after 0 s
    And all requests have ended
    Then every bid ran exactly once
    And every resend ended whole or with outcome_unknown
    And all whole answers of a bid are the same

  Scenario: A sidecar is killed between claim and answer, and the bids are sent again
    Given a fleet of 3 control replicas, 2 entries and 2 services that take 1 s
    And 16 bids with a key are under way at entry-1, one each 0.1 s
    When sidecar-service-1 is killed after 1.4 s
    And sidecar-service-1 is started again after 0.2 s
    And the bids are sent again at entry-2
    And all requests have ended
    Then no bid ran twice
    And every bid ended whole, not run or with outcome_unknown, and no other way
    And at least 1 bid was in the middle of its run at the kill
    And every resend ended whole or with outcome_unknown
    And all whole answers of a bid are the same
    And no bid that was said not to have run is in a service's record

  Scenario: A key is refused for another body, at each entry
    Given a fleet of 3 control replicas, 2 entries and 2 services that take 0.1 s
    When a bid with a key has ended whole
    And another body is sent under its key at each entry
    Then each of them is refused with idempotency_key_reused and was not run
    And the services' records hold the first bid alone
