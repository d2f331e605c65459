package io.hawthornlb.app.entry;

import io.hawthornlb.core.log.StreamName;
import io.hawthornlb.core.peer.PeerMessage;

/**
 * Requests records that a peer has read from the log.
 *
 * @param stream the stream of the records
 * @param from the first requested offset
 * @param max the maximum number of records
 */
public record MissedRecordsRequest(StreamName stream, long from, int max) implements PeerMessage {}
