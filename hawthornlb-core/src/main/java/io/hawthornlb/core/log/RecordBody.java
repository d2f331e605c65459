package io.hawthornlb.core.log;

/**
 * Marks the immutable content of a log record.
 *
 * <p>Implementations are Java records. The codec writes the registered type name before the
 * content.
 */
public interface RecordBody {}
