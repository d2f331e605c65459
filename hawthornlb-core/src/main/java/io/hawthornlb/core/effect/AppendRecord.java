package io.hawthornlb.core.effect;

import io.hawthornlb.core.log.RecordBody;
import io.hawthornlb.core.log.RecordId;
import io.hawthornlb.core.log.StreamName;

/**
 * Asks for a record to be appended, resent with the same id until it is seen in its stream.
 *
 * @param stream the stream
 * @param id identifies the record through resends
 * @param body its content
 */
public record AppendRecord(StreamName stream, RecordId id, RecordBody body) implements Effect {}
