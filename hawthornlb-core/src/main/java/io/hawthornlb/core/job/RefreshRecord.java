package io.hawthornlb.core.job;

import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.log.StreamName;

/**
 * Requests that a record be read from the log and delivered to the coordinator as {@link
 * RecordReadBack}.
 *
 * @param stream the stream
 * @param offset the offset of the record
 */
public record RefreshRecord(StreamName stream, long offset) implements Effect {}
