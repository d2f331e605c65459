/** The list of endpoints known to this instance. */
@NullMarked
package io.hawthornlb.gateway.endpoint;

import org.jspecify.annotations.NullMarked;
