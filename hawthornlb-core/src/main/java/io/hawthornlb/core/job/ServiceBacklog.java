package io.hawthornlb.core.job;

import io.hawthornlb.core.model.ServiceName;
import java.time.Instant;

/**
 * Items of one service that wait for a steward.
 *
 * @param service the service
 * @param items a count of the jobs' open items, those of other services of the same jobs included
 * @param earliestDue the earliest due time among their jobs
 */
public record ServiceBacklog(ServiceName service, long items, Instant earliestDue) {}
