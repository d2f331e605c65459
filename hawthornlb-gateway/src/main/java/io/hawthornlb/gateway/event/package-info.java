/** One structured line for each decision, bounded and never blocking. */
@NullMarked
package io.hawthornlb.gateway.event;

import org.jspecify.annotations.NullMarked;
