/** Keeps requests with a part that crashes endpoints from reaching further ones. */
@NullMarked
package io.hawthornlb.gateway.crash;

import org.jspecify.annotations.NullMarked;
