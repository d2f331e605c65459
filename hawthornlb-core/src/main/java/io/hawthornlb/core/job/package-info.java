/** Batch jobs: their records, their state in the log, and the coordinator of a partition's jobs. */
@NullMarked
package io.hawthornlb.core.job;

import org.jspecify.annotations.NullMarked;
