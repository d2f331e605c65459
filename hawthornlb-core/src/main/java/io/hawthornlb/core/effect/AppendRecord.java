package io.hawthornlb.core.effect;

import io.hawthornlb.core.log.RecordBody;
import io.hawthornlb.core.log.RecordId;
import io.hawthornlb.core.log.StreamName;

/**
 * Effect that appends a record to a stream. The append is sent again with the same record id until
 * the record is seen in its stream.
 *
 * @param stream the stream
 * @param id identifies the record across resends
 * @param body the content of the record
 */
public record AppendRecord(StreamName stream, RecordId id, RecordBody body) implements Effect {}
