/** Assembles the parts of a gateway into a process. */
@NullMarked
package io.hawthornlb.gateway.process;

import org.jspecify.annotations.NullMarked;
