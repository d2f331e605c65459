/** The durable log that the gateway needs, and the classes that follow it. */
@NullMarked
package io.hawthornlb.gateway.store;

import org.jspecify.annotations.NullMarked;
