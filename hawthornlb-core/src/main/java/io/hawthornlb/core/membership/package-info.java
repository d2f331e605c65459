/** Processes in the instance list of the platform, which lags behind the actual state. */
@NullMarked
package io.hawthornlb.core.membership;

import org.jspecify.annotations.NullMarked;
