/** Accepts callers' requests, forwards them to endpoints and relays the responses. */
@NullMarked
package io.hawthornlb.gateway.front;

import org.jspecify.annotations.NullMarked;
