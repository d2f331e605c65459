/**
 * Batch jobs: the records of jobs in the log, the messages about jobs, and the interfaces of the
 * coordinator that runs the jobs of a partition.
 */
@NullMarked
package io.hawthornlb.core.job;

import org.jspecify.annotations.NullMarked;
