package io.hawthornlb.core.job;

import java.time.Instant;
import java.util.Optional;

/**
 * State of a job as callers see it.
 *
 * @param header the fixed properties of the job
 * @param phase the phase of the job
 * @param completed the number of items that ended with a result
 * @param failed the number of items that ended without a result
 * @param endedAt when the job ended or was cancelled; empty while it runs
 * @param readableUntil until when the results stay readable; empty while the job runs
 */
public record JobStatus(
    JobHeader header,
    JobPhase phase,
    int completed,
    int failed,
    Optional<Instant> endedAt,
    Optional<Instant> readableUntil) {}
