/** Implementations of the endpoint table. */
@NullMarked
package io.hawthornlb.core.endpoint.support;

import org.jspecify.annotations.NullMarked;
