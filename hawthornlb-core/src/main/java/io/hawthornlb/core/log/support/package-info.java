/** Base class of folds, the filter of duplicates, and the assembly and scheduling of snapshots. */
@NullMarked
package io.hawthornlb.core.log.support;

import org.jspecify.annotations.NullMarked;
