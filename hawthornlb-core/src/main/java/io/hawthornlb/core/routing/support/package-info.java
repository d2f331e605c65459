/** Routers, and trackers of requests in flight and of cached prefixes. */
@NullMarked
package io.hawthornlb.core.routing.support;

import org.jspecify.annotations.NullMarked;
