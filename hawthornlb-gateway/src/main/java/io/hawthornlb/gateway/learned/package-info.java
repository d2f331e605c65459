/** Encoding and storage of what coordinators have learned. */
@NullMarked
package io.hawthornlb.gateway.learned;

import org.jspecify.annotations.NullMarked;
