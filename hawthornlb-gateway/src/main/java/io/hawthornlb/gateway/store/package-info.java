/** The log that keeps what must last, as the gateway needs it. */
@NullMarked
package io.hawthornlb.gateway.store;

import org.jspecify.annotations.NullMarked;
