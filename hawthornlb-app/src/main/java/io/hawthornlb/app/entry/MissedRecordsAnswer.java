package io.hawthornlb.app.entry;

import io.hawthornlb.core.peer.PeerMessage;
import io.hawthornlb.net.platform.LogPage;

/**
 * Gives records that a peer has read; empty where it has none.
 *
 * @param page the records
 */
public record MissedRecordsAnswer(LogPage page) implements PeerMessage {}
