Feature: Handling of failures
  Each failure on the users' list, reproduced on a fleet of five VMs in three
  availability zones.

  Background:
    Given a fleet that serves two client accounts

  Scenario Outline: Popularity shifts
    Given adapter "<first>" has been popular for <seconds> s
    When <count> requests arrive for adapter "<second>" at every VM
    Then every request is answered completely on its own adapter
    And no adapter in use was evicted

    Examples:
      | first | second | seconds | count |
      | ad0@1 | ad3@2  | 4       | 3     |
      | ad1@2 | ad4@1  | 8       | 2     |

  Scenario Outline: An engine restarts empty
    Given adapter "ad0@1" has been popular for 4 s
    When target "<target>" restarts after <pause> s
    And 3 requests arrive for adapter "ad0@1" at every VM
    Then every request is answered completely on its own adapter
    And no cold target exceeded its concurrency limit

    Examples:
      | target | pause |
      | base0  | 0.05  |
      | base1  | 0.6   |
      | base2  | 3     |

  Scenario: Loads fail
    Given the next 2 loads fail at every target
    When 1 requests arrive for adapter "ad2@1" at every VM
    Then every request is answered, or refused as not run
    When 1 requests arrive for adapter "ad2@1" at every VM
    Then the last requests are answered completely

  Scenario Outline: A key is withdrawn from callers still connected
    When the key "a1" is withdrawn at "<vm>"
    And 3 s pass
    And a request with the key "a1" arrives at every VM
    Then the last requests are refused with "key-unknown" as not run

    Examples:
      | vm  |
      | vm0 |
      | vm3 |

  Scenario: A key is withdrawn while a VM is cut off
    Given "vm1" is partitioned from all other VMs
    When the key "a1" is withdrawn at "vm2"
    And 14 s pass
    And a request with the key "a1" arrives at "vm1"
    Then the last requests are refused with "key-stale" as not run

  Scenario: A target falls back into cold start without warning
    Given adapter "ad0@1" has been popular for 20 s
    When target "base0" returns to cold start
    And adapter "ad0@1" is popular for 20 s more
    Then the limit of target "base0" was reset
    And every request is eventually answered completely

  Scenario: A control VM is isolated by a silent cut for a long time
    Given "vm0" is partitioned from all other VMs
    When 60 s pass
    And 5 changes are applied at "vm2"
    Then the changes are in force at "vm1, vm2, vm3, vm4" within 2 s
    When the partition ends
    Then the changes are in force at "vm0" within 3 s
    And no configuration was reverted

  Scenario: Operators race under equal numbers and resend
    When two changes are applied at "vm0" and "vm3" at the same revision
    Then exactly one of them is accepted
    When the accepted change is sent again at "vm2"
    Then it is accepted as the same revision

  Scenario: A second VM is lost right after a repair
    When 20 changes are applied at "vm0"
    And "vm2" loses its disk and comes back
    And 4 s pass
    And "vm0" is lost
    And 4 s pass
    Then all accepted changes are in force at "vm2, vm4"
    And a change can be applied at "vm4"

  Scenario: Processes restart after hundreds of changes
    When 600 changes are applied at "vm0"
    And every VM is restarted
    And 6 s pass
    Then all accepted changes are in force at "vm0, vm1, vm2, vm3, vm4"

  Scenario: A request crashes each target that runs it
    When a request that crashes its target arrives at "vm0"
    And its caller sends it again at "vm1", "vm2" and "vm3"
    Then at most 2 targets have crashed
    And the last requests are refused with "quarantined" as not run

  Scenario Outline: Open connections go silent for good
    Given adapter "ad0@1" has been popular for 4 s
    When target "<target>" stops responding
    And 2 requests arrive for adapter "ad0@1" at every VM
    Then every request is answered within <limit> s

    Examples:
      | target | limit |
      | base0  | 12    |
      | base2  | 12    |

  Scenario Outline: A whole zone is cut off and returns
    When zone "<zone>" is partitioned for <seconds> s
    And 2 requests arrive for adapter "ad0@1" at every VM
    Then every request is answered completely on its own adapter
    When the partition ends
    And 2 requests arrive for adapter "ad0@1" at every VM
    Then every request is answered completely on its own adapter

    Examples:
      | zone | seconds |
      | z0   | 5       |
      | z1   | 5       |
      | z2   | 8       |

  Scenario: A zone is taken out
    When zone "z1" is taken out
    And 3 s pass
    And 3 requests arrive for adapter "ad0@1" at every VM
    Then every request is answered completely on its own adapter
    And no target of zone "z1" ran the last requests

  Scenario: A VM is shut down while it serves
    When 4 requests arrive for adapter "ad0@1" at every VM
    And "vm1" is shut down gracefully
    Then every request is answered completely on its own adapter
