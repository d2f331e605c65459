/** Implementations of the retry policy. */
@NullMarked
package io.hawthornlb.core.retry.support;

import org.jspecify.annotations.NullMarked;
