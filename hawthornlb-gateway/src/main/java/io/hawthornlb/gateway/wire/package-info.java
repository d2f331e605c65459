/** Names that callers and endpoints use, and calls to endpoints. */
@NullMarked
package io.hawthornlb.gateway.wire;

import org.jspecify.annotations.NullMarked;
