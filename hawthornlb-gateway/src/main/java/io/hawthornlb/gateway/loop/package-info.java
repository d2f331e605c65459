/** Event loop of a gateway and the accounting of its processor time. */
@NullMarked
package io.hawthornlb.gateway.loop;

import org.jspecify.annotations.NullMarked;
