/** Header names, pooled connections to endpoints and the calls on them. */
@NullMarked
package io.hawthornlb.gateway.wire;

import org.jspecify.annotations.NullMarked;
