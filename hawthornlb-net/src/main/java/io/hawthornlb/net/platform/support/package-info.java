/** HTTP clients of the platform, the grouping writer and the follower of a stream. */
@NullMarked
package io.hawthornlb.net.platform.support;

import org.jspecify.annotations.NullMarked;
