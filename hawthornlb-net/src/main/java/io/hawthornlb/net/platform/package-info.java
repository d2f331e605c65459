/** Clients of the platform: log, instance list and weight store. */
@NullMarked
package io.hawthornlb.net.platform;

import org.jspecify.annotations.NullMarked;
