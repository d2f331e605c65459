package io.hawthornlb.gateway.peer;

import io.hawthornlb.core.crash.PromptParts;
import io.hawthornlb.gateway.crash.EvidenceChannel;
import io.hawthornlb.gateway.crash.EvidenceReceiver;
import io.hawthornlb.gateway.crash.PartUpdate;
import java.util.List;
import java.util.Set;

/**
 * Tells urgent evidence to all other instances by datagrams, which also arrive while the store is
 * down.
 *
 * <p>What is known of the content of single requests is left to the store: each crash concerns the
 * content of several requests, most of which never return.
 */
public final class PeerEvidence implements EvidenceChannel {

  /** Number of updates in a datagram; an update with all its crashes takes some 500 bytes. */
  private static final int UPDATES_PER_DATAGRAM = 2;

  private final FleetView fleet;
  private final PeerTransport transport;

  /** Creates a channel; updates of other instances are passed to the receiver. */
  public PeerEvidence(FleetView fleet, PeerTransport transport, EvidenceReceiver receiver) {
    this.fleet = fleet;
    this.transport = transport;
    transport.onMessage(
        envelope -> {
          if (envelope.message() instanceof PeerMessage.Parts parts) {
            parts.updates().forEach(update -> receiver.receive(envelope.sender(), update));
          }
        });
  }

  @Override
  public void expired(Set<String> parts) {
    // The others notice it by themselves.
  }

  @Override
  public void publish(List<PartUpdate> updates, boolean urgent) {
    if (!urgent) {
      return;
    }
    List<PartUpdate> told =
        updates.stream().filter(update -> !PromptParts.isContent(update.part())).toList();
    for (int from = 0; from < told.size(); from += UPDATES_PER_DATAGRAM) {
      int to = Math.min(told.size(), from + UPDATES_PER_DATAGRAM);
      PeerMessage.Parts message = new PeerMessage.Parts(told.subList(from, to));
      fleet.others().forEach(other -> transport.send(other, message));
    }
  }
}
