Feature: Connections that go silent are found and replaced while the work goes on
  A relay on one hop stops passing bytes on without closing anything, on the
  connections that are open at that moment; new connections through it work.

  Scenario Outline: All connections between <hop> go silent in the middle of streams
    Given a fleet of 3 control replicas, 2 entries and 3 engines, with relays between <hop>
    And 40 <form> are under way, one each 0.05 s
    When all connections open at the relays go silent after 1.5 s
    And all requests have ended
    Then every request got its complete answer
    And every request ended within 30 s of its start
    And each relay forwards new connections

    Examples: the hops inside the system, where requests are streams and others
      | hop                    | form             |
      | sidecars and upstreams | streams          |
      | entries and sidecars   | requests         |

  Scenario: Connections to upstreams go silent under answers in one piece
    Given a fleet of 3 control replicas, 2 entries and 3 engines, with relays between sidecars and upstreams
    And 12 answers in one piece are asked for, one each 0.05 s
    When all connections open at the relays go silent after 1 s
    And all requests have ended
    Then every request got its complete answer
    And every request ended within 30 s of its start

  Scenario: A caller whose connection goes silent gets the rest on a new one
    Given a fleet of 3 control replicas, 2 entries and 3 engines, with relays between callers and entries
    And 12 slow streams are under way, whose callers give a silent connection up after 3 s
    When all connections open at the relays go silent after 3 s
    And all requests have ended
    Then every request got its complete answer
    And at least 4 of them were attached to again by the last event's id
    And the engines ran each request once
