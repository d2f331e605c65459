/** Implementations of the table of endpoints. */
@NullMarked
package io.hawthornlb.core.endpoint.support;

import org.jspecify.annotations.NullMarked;
