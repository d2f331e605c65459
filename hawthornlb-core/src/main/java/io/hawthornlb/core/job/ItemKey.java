package io.hawthornlb.core.job;

import io.hawthornlb.core.model.JobId;

/**
 * Names one item.
 *
 * @param job the job
 * @param index the item in the job
 */
public record ItemKey(JobId job, int index) {}
