package io.hawthornlb.core.runonce;

import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.log.StreamName;

/**
 * Effect that reads an {@link EntriesRecorded} record from the log.
 *
 * <p>The adapter reports {@link OutcomeRead} or {@link OutcomeUnreadable}.
 *
 * @param stream the stream that holds the record
 * @param offset the offset of the record
 */
public record ReadOutcome(StreamName stream, long offset) implements Effect {}
