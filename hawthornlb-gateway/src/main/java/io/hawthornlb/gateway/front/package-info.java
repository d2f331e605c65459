/** Callers' connections and the way of a request to an endpoint and back. */
@NullMarked
package io.hawthornlb.gateway.front;

import org.jspecify.annotations.NullMarked;
