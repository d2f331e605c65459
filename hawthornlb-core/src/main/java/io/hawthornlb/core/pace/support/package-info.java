/** Implementations of the contracts of {@link io.hawthornlb.core.pace}. */
@NullMarked
package io.hawthornlb.core.pace.support;

import org.jspecify.annotations.NullMarked;
