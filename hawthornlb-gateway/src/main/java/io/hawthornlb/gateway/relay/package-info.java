/** Calls to the store through a peer that can reach it, and calls about jobs that peers answer. */
@NullMarked
package io.hawthornlb.gateway.relay;

import org.jspecify.annotations.NullMarked;
