package io.hawthornlb.core.job;

import io.hawthornlb.core.log.LogRecord;

/**
 * Hands over a record that was asked for by {@link RefreshRecord}.
 *
 * @param entry the record as it stands in the stream
 */
public record RecordReadBack(LogRecord entry) implements JobEvent {}
