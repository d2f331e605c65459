/** State of jobs as folded from the log, scheduling of their items, and the job coordinator. */
@NullMarked
package io.hawthornlb.core.job.support;

import org.jspecify.annotations.NullMarked;
