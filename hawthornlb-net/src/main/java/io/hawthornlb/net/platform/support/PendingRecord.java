package io.hawthornlb.net.platform.support;

import io.hawthornlb.core.log.RecordId;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;

/**
 * One encoded record that is not yet known to stand in its stream.
 *
 * @param id identifies the record through resends
 * @param data the encoded record
 * @param since when the writer took it
 * @param offset completes with an offset of the record, or fails when the writer gives up
 */
record PendingRecord(RecordId id, byte[] data, Instant since, CompletableFuture<Long> offset) {}
