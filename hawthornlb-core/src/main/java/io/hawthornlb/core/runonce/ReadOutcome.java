package io.hawthornlb.core.runonce;

import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.log.StreamName;

/**
 * Asks for an {@link EntriesRecorded} record to be read from the log.
 *
 * <p>Answered by {@link OutcomeRead} or {@link OutcomeUnreadable}.
 *
 * @param stream the stream
 * @param offset the offset of the record
 */
public record ReadOutcome(StreamName stream, long offset) implements Effect {}
