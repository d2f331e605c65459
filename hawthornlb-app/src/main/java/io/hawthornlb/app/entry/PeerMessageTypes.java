package io.hawthornlb.app.entry;

import io.hawthornlb.app.batch.BacklogNotice;
import io.hawthornlb.core.admission.DemandDigest;
import io.hawthornlb.core.batch.OnlineNotice;
import io.hawthornlb.core.endpoint.EndpointNotice;
import io.hawthornlb.core.peer.PeerMessage;
import io.hawthornlb.core.routing.InFlightDigest;
import io.hawthornlb.core.suspect.ClearNotice;
import io.hawthornlb.core.suspect.CrashNotice;
import io.hawthornlb.core.suspect.QuarantineNotice;
import io.hawthornlb.net.codec.MessagePackCodec;
import io.hawthornlb.net.codec.PartitionTypes;
import io.hawthornlb.net.codec.TypeRegistry;

/**
 * The type names of all messages between entry instances. The meaning of a name must never change.
 */
final class PeerMessageTypes {

  private PeerMessageTypes() {}

  /** Returns the codec of all messages. */
  static MessagePackCodec<PeerMessage> codec() {
    return new MessagePackCodec<>(
        PartitionTypes.messages(TypeRegistry.<PeerMessage>builder())
            .register("endpoint-notice", EndpointNotice.class)
            .register("in-flight", InFlightDigest.class)
            .register("demand", DemandDigest.class)
            .register("crash", CrashNotice.class)
            .register("clear", ClearNotice.class)
            .register("quarantine", QuarantineNotice.class)
            .register("online", OnlineNotice.class)
            .register("load", LoadNotice.class)
            .register("cache", CacheNotice.class)
            .register("backlog", BacklogNotice.class)
            .register("instance-list", InstanceListRequest.class)
            .register("instance-list-answer", InstanceListAnswer.class)
            .register("relayed", RelayedMessage.class)
            .register("missed-records", MissedRecordsRequest.class)
            .register("missed-records-answer", MissedRecordsAnswer.class)
            .build());
  }
}
