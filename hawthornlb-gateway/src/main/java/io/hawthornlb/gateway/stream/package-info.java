/** Streams that are continued at the software version that began them. */
@NullMarked
package io.hawthornlb.gateway.stream;

import org.jspecify.annotations.NullMarked;
