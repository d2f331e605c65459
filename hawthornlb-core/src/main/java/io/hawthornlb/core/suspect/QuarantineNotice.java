package io.hawthornlb.core.suspect;

import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.peer.PeerMessage;
import java.time.Instant;

/**
 * Tells peers to send nothing to an endpoint while it runs a suspect alone.
 *
 * @param fingerprint the fingerprint of the suspect
 * @param endpoint the endpoint
 * @param until the time at which the quarantine ends at the latest; a time in the past ends it
 *     immediately
 */
public record QuarantineNotice(Fingerprint fingerprint, EndpointId endpoint, Instant until)
    implements PeerMessage {}
