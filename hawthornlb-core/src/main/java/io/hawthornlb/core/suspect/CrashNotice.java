package io.hawthornlb.core.suspect;

import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.peer.PeerMessage;
import java.time.Instant;
import java.util.List;

/**
 * Tells peers that an endpoint crashed while these requests ran.
 *
 * @param reporter who saw it
 * @param sequence number of the crash at the reporter; names the crash together with it
 * @param endpoint the endpoint
 * @param at when
 * @param suspects the requests that ran there
 * @param alone whether there was only one and the endpoint was kept for it
 */
public record CrashNotice(
    InstanceId reporter,
    long sequence,
    EndpointId endpoint,
    Instant at,
    List<Fingerprint> suspects,
    boolean alone)
    implements PeerMessage {

  /** Copies the fingerprints. */
  public CrashNotice {
    suspects = List.copyOf(suspects);
  }
}
