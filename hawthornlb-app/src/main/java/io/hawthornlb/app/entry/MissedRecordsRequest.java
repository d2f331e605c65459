package io.hawthornlb.app.entry;

import io.hawthornlb.core.log.StreamName;
import io.hawthornlb.core.peer.PeerMessage;

/**
 * Asks a peer for records that it has read.
 *
 * @param stream the stream
 * @param from the first offset wanted
 * @param max how many, at most
 */
public record MissedRecordsRequest(StreamName stream, long from, int max) implements PeerMessage {}
