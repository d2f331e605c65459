/** Messages between the gateways of one fleet, and the slot client that uses them. */
@NullMarked
package io.hawthornlb.gateway.peer;

import org.jspecify.annotations.NullMarked;
