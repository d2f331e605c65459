package io.hawthornlb.core.job;

import java.time.Instant;
import java.util.Optional;

/**
 * The state of a job as callers see it.
 *
 * @param header what was submitted
 * @param phase where the job stands
 * @param completed items that ended with a result
 * @param failed items that ended without one
 * @param endedAt when it ended or was cancelled
 * @param readableUntil until when its results stay readable
 */
public record JobStatus(
    JobHeader header,
    JobPhase phase,
    int completed,
    int failed,
    Optional<Instant> endedAt,
    Optional<Instant> readableUntil) {}
