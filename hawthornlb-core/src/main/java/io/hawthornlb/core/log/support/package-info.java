/** Base of the folds: duplicates, snapshots and when to write one. */
@NullMarked
package io.hawthornlb.core.log.support;

import org.jspecify.annotations.NullMarked;
