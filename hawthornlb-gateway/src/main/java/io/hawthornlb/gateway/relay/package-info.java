/** Calls to the store by way of a peer that reaches it. */
@NullMarked
package io.hawthornlb.gateway.relay;

import org.jspecify.annotations.NullMarked;
