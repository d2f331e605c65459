/** Routing: chooses the endpoint of each online request. */
@NullMarked
package io.hawthornlb.core.routing;

import org.jspecify.annotations.NullMarked;
