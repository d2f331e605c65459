/** Implementations of the log. */
@NullMarked
package io.hawthornlb.gateway.store.support;

import org.jspecify.annotations.NullMarked;
