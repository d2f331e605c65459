package io.hawthornlb.core.job;

import io.hawthornlb.core.model.ServiceName;
import java.time.Instant;

/**
 * Backlog of one service: the items that wait for a dispatcher.
 *
 * @param service the service
 * @param items the number of items without an outcome in the jobs that use the service; items of
 *     other services in the same jobs are included
 * @param earliestDue the earliest due time of these jobs
 */
public record ServiceBacklog(ServiceName service, long items, Instant earliestDue) {}
