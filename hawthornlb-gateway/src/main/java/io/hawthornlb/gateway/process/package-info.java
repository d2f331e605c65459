/** Puts the parts of a gateway together. */
@NullMarked
package io.hawthornlb.gateway.process;

import org.jspecify.annotations.NullMarked;
