/**
 * Slots of endpoints: requests for them, grants, and the coordinator that queues and places
 * requests.
 */
@NullMarked
package io.hawthornlb.gateway.slot;

import org.jspecify.annotations.NullMarked;
