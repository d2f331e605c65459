/** State of jobs in the log, scheduling of their items, and the coordinator. */
@NullMarked
package io.hawthornlb.core.job.support;

import org.jspecify.annotations.NullMarked;
