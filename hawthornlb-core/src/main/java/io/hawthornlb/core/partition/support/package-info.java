/** Fold of a partition's stream and the opening of a partition by its holder. */
@NullMarked
package io.hawthornlb.core.partition.support;

import org.jspecify.annotations.NullMarked;
