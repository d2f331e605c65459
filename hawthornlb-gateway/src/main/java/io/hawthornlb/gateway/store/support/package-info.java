/** Implementations of {@link io.hawthornlb.gateway.store.LogStore}. */
@NullMarked
package io.hawthornlb.gateway.store.support;

import org.jspecify.annotations.NullMarked;
