/** Implementations of the contracts of {@link io.hawthornlb.core.demand}. */
@NullMarked
package io.hawthornlb.core.demand.support;

import org.jspecify.annotations.NullMarked;
