package io.hawthornlb.core.suspect;

import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.peer.PeerMessage;
import java.time.Instant;
import java.util.List;

/**
 * Tells peers that an endpoint crashed while it ran certain requests.
 *
 * @param reporter the instance that observed the crash
 * @param sequence the number of the crash among those of the reporter; identifies the crash
 *     together with the reporter
 * @param endpoint the endpoint
 * @param at when the crash was observed
 * @param suspects the fingerprints of the requests that the reporter ran there
 * @param alone whether there was only one request and the endpoint was reserved for it
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
