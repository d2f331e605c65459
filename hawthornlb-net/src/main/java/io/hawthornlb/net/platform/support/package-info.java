/** HTTP clients of the platform, the grouping log writer and the stream follower. */
@NullMarked
package io.hawthornlb.net.platform.support;

import org.jspecify.annotations.NullMarked;
