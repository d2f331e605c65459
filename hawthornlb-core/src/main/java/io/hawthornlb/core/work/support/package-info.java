/** Implementations of the contracts of {@link io.hawthornlb.core.work}. */
@NullMarked
package io.hawthornlb.core.work.support;

import org.jspecify.annotations.NullMarked;
