package io.hawthornlb.core.suspect;

import io.hawthornlb.core.peer.PeerMessage;
import java.time.Instant;

/**
 * Tells peers that a suspect ran alone and did not crash its endpoint.
 *
 * @param fingerprint the fingerprint of the suspect
 * @param at when it ended
 */
public record ClearNotice(Fingerprint fingerprint, Instant at) implements PeerMessage {}
