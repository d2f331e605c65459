package io.hawthornlb.gateway.peer;

import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.gateway.crash.PartUpdate;
import io.hawthornlb.gateway.slot.SlotAnswer;
import io.hawthornlb.gateway.slot.SlotKey;
import io.hawthornlb.gateway.slot.SlotOutcome;
import io.hawthornlb.gateway.slot.SlotRequest;
import io.hawthornlb.gateway.slot.SlotUse;
import io.hawthornlb.gateway.stream.StreamId;
import io.hawthornlb.gateway.stream.StreamOrigin;
import io.hawthornlb.gateway.wire.ReportedLoad;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** A message between processes of the fleet, sent as one datagram that may be lost. */
public sealed interface PeerMessage {

  /** Requests a slot from a coordinator. */
  record Ask(SlotRequest request) implements PeerMessage {}

  /** A coordinator's answer to a request for a slot. */
  record Answer(SlotAnswer answer) implements PeerMessage {}

  /** Reports to a coordinator that a use has ended. */
  record Release(String service, SlotKey key, SlotOutcome outcome) implements PeerMessage {}

  /** Reports to a coordinator that the endpoint of a use is silent. */
  record Suspect(String service, SlotKey key) implements PeerMessage {}

  /** Reports to a coordinator the load that the endpoint of a use reported. */
  record Told(String service, SlotKey key, ReportedLoad load) implements PeerMessage {}

  /** Announces that the sender holds a partition of the jobs. */
  record Held(int partition, long epoch) implements PeerMessage {}

  /** Announces that a request has crashed too many endpoints of a service. */
  record Barred(String service, long fingerprint) implements PeerMessage {}

  /**
   * Reports to the other coordinators how many requests the sender has allowed since its last
   * report, net of those that did not run.
   */
  record Allowed(Map<WorkspaceId, Integer> counts) implements PeerMessage {}

  /** Asks the receiver for a sign of life. */
  record Ping() implements PeerMessage {}

  /** Answers a {@link Ping}. */
  record Pong() implements PeerMessage {}

  /**
   * Sends what a coordinator has learned to an instance that may succeed it.
   *
   * @param version version of the snapshot; the parts of one snapshot have the same
   * @param age time since the figures were learned
   * @param state encoded snapshot, or a part of it
   */
  record Learned(String service, long version, Duration age, byte[] state) implements PeerMessage {

    @Override
    public boolean equals(Object other) {
      return other instanceof Learned learned
          && version == learned.version
          && service.equals(learned.service)
          && age.equals(learned.age)
          && Arrays.equals(state, learned.state);
    }

    @Override
    public int hashCode() {
      return 31 * service.hashCode() + Long.hashCode(version);
    }
  }

  /** Tells an instance that keeps a copy where a stream began. */
  record Began(StreamId stream, StreamOrigin origin) implements PeerMessage {}

  /** Asks an instance where a stream began. */
  record FindOrigin(StreamId stream) implements PeerMessage {}

  /**
   * Answers a {@link FindOrigin}.
   *
   * @param known whether the sender has a record of the stream
   * @param origin where the stream began; null if that is not known or ambiguous
   */
  record Origin(StreamId stream, boolean known, @Nullable StreamOrigin origin)
      implements PeerMessage {}

  /** Tells what the sender has learned of parts of prompts that may crash endpoints. */
  record Parts(List<PartUpdate> updates) implements PeerMessage {

    /** Copies the updates. */
    public Parts {
      updates = List.copyOf(updates);
    }
  }

  /** Reports all uses of a holder to a coordinator. */
  record Renew(String service, String holder, List<SlotUse> uses) implements PeerMessage {}
}
