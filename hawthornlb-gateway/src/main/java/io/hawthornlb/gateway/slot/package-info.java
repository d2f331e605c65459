/** Who may use which slot of which endpoint, and who waits. */
@NullMarked
package io.hawthornlb.gateway.slot;

import org.jspecify.annotations.NullMarked;
