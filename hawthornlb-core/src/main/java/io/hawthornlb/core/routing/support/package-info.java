/** Routers, and what they know about requests in flight and cached prefixes. */
@NullMarked
package io.hawthornlb.core.routing.support;

import org.jspecify.annotations.NullMarked;
