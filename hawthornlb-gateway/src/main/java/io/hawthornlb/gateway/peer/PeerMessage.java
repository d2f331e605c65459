package io.hawthornlb.gateway.peer;

import io.hawthornlb.gateway.slot.SlotAnswer;
import io.hawthornlb.gateway.slot.SlotKey;
import io.hawthornlb.gateway.slot.SlotOutcome;
import io.hawthornlb.gateway.slot.SlotRequest;
import io.hawthornlb.gateway.slot.SlotUse;
import io.hawthornlb.gateway.wire.ToldLoad;
import java.util.List;

/** A message between processes of the fleet; one datagram, which may be lost. */
public sealed interface PeerMessage {

  /** Asks a coordinator for a slot. */
  record Ask(SlotRequest request) implements PeerMessage {}

  /** A coordinator's answer. */
  record Answer(SlotAnswer answer) implements PeerMessage {}

  /** Tells a coordinator that a use has ended. */
  record Release(String service, SlotKey key, SlotOutcome outcome) implements PeerMessage {}

  /** Tells a coordinator that the endpoint of a use is silent. */
  record Suspect(String service, SlotKey key) implements PeerMessage {}

  /** Tells a coordinator the load that the endpoint of a use told. */
  record Told(String service, SlotKey key, ToldLoad load) implements PeerMessage {}

  /** Tells that the sender holds a partition of the jobs. */
  record Held(int partition, long epoch) implements PeerMessage {}

  /** Tells that a request has crashed too many endpoints of a service. */
  record Barred(String service, long fingerprint) implements PeerMessage {}

  /** Tells a coordinator all uses of a holder. */
  record Renew(String service, String holder, List<SlotUse> uses) implements PeerMessage {}
}
