package io.hawthornlb.core.job;

import io.hawthornlb.core.model.JobId;

/**
 * Identifies one item of a job.
 *
 * @param job the job
 * @param index the index of the item in the job
 */
public record ItemKey(JobId job, int index) {}
