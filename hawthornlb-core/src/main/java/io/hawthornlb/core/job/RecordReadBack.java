package io.hawthornlb.core.job;

import io.hawthornlb.core.log.LogRecord;

/**
 * Delivers a record that the coordinator requested by {@link RefreshRecord}.
 *
 * @param entry the record as read from the stream
 */
public record RecordReadBack(LogRecord entry) implements JobEvent {}
