/** Clients of the platform's log and instance list. */
@NullMarked
package io.hawthornlb.net.platform;

import org.jspecify.annotations.NullMarked;
