package io.hawthornlb.app.entry;

import io.hawthornlb.core.peer.PeerMessage;
import io.hawthornlb.net.platform.LogPage;

/**
 * Answers a {@link MissedRecordsRequest} with records that the peer has read from the log.
 *
 * @param page the records; empty if the peer has none of the requested records
 */
public record MissedRecordsAnswer(LogPage page) implements PeerMessage {}
